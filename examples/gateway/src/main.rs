//! Runs a small gateway cluster on loopback: `toy-gateway FOLDER-OF-PROGRAMS`. Each step prints a line. The program
//! exits with code 1 at the first step that fails.
//!
//! * [`scenario`]: the steps.
//! * [`programs`]: starts the gateway's programs and runs `rushctl`.
//! * [`host`]: stand-in hosts.
//! * [`http_client`]: sends HTTP requests.
//! * [`error`]: errors of the steps.

mod error;
mod host;
mod http_client;
mod programs;
mod scenario;

use std::path::Path;

fn main() {
    let binaries = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release".into());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = tokio::task::LocalSet::new();
    if let Err(error) = tasks.block_on(&runtime, scenario::run(Path::new(&binaries))) {
        eprintln!("toy-gateway: {error}");
        std::process::exit(1);
    }
}
