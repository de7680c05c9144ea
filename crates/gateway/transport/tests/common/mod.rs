//! Test nodes on loopback addresses, and certificate authorities for their keys.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod authority;
pub mod node;

use std::time::Duration;

/// Timeout of each wait in a test; a test that exceeds it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a test on a current-thread runtime. The test may call `spawn_local`.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("create the runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
