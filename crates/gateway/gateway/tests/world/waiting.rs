//! Waiting for what is expected.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Nothing here takes longer; what does not come within it fails the test.
pub const TIMEOUT: Duration = Duration::from_secs(15);
/// Between two looks at what is expected.
pub const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Waits until something is so.
pub async fn wait_until(expected: &str, is_so: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < end, "never came: {expected}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A time that the test lets pass: what is tested is that something is (no longer) good after it.
pub async fn pause(time: Duration) {
    tokio::time::sleep(time).await;
}

/// Something that a host waits for and a test gives. A clone is the same signal.
#[derive(Clone, Default)]
pub struct Signal(Rc<Cell<bool>>);

impl Signal {
    pub fn give(&self) {
        self.0.set(true);
    }

    pub async fn given(&self) {
        let end = Instant::now() + 4 * TIMEOUT;
        while !self.0.get() && Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
