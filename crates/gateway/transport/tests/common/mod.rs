//! Nodes on loopback, an address each, and the authorities of their certificates.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod authority;
pub mod node;

use std::time::Duration;

/// Nothing here takes longer; a test that waits for what does not come fails by this.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a test and the tasks that it spawns on this thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
