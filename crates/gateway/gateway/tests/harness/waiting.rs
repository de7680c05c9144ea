//! Polling for conditions, and a signal from a test to a fake host.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A wait for a condition fails the test after this time.
pub const TIMEOUT: Duration = Duration::from_secs(15);
pub const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Polls a condition until it holds. Panics with `expected`, a description of the condition, after [`TIMEOUT`].
pub async fn wait_until(expected: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {expected}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Lets real time pass, for tests of timeouts; everything else waits with [`wait_until`].
pub async fn pause(time: Duration) {
    tokio::time::sleep(time).await;
}

/// One-way signal from a test to a fake host. Clones share the same signal; once notified it stays so.
#[derive(Clone, Default)]
pub struct Signal(Rc<Cell<bool>>);

impl Signal {
    pub fn notify(&self) {
        self.0.set(true);
    }

    pub async fn notified(&self) {
        let end = Instant::now() + 4 * TIMEOUT;
        while !self.0.get() && Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
