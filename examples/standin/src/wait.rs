//! Polls a condition until it holds.

use std::fmt;
use std::time::{Duration, Instant};

/// Default time limit of [`wait_until`] and of the scenario's steps.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A condition did not hold within [`WAIT_TIMEOUT`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitTimeout {
    /// The awaited condition in words, for the error message.
    pub description: String,
}

impl fmt::Display for WaitTimeout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "timed out waiting for: {}", self.description)
    }
}

impl std::error::Error for WaitTimeout {}

/// Polls `condition` until it returns true. `description` names it in the error.
///
/// # Errors
/// Returns an error if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until(
    description: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), WaitTimeout> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(WaitTimeout {
                description: description.into(),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
