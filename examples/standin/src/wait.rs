//! Waiting until something holds.

use std::fmt;
use std::time::{Duration, Instant};

/// How long anything may take.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Something did not come to hold in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitTimeout {
    /// What was waited for.
    pub what: String,
}

impl fmt::Display for WaitTimeout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "waited in vain: {}", self.what)
    }
}

impl std::error::Error for WaitTimeout {}

/// Waits until something holds; `what` says in an error what that was.
///
/// # Errors
/// It did not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), WaitTimeout> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(WaitTimeout { what: what.into() });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
