//! A small gateway on loopback, shown step by step: `toy-gateway FOLDER-OF-PROGRAMS`. Each step prints a line; the first
//! that fails ends it with code 1.
//!
//! * [`scenario`]: the steps.
//! * [`programs`]: the gateway's programs as processes, and the operators' command line.
//! * [`host`]: stand-in hosts.
//! * [`http_client`]: one request on a connection of its own.
//! * [`error`]: why a step failed.

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
    if let Err(error) = tasks.block_on(&runtime, scenario::play(Path::new(&binaries))) {
        eprintln!("toy-gateway: {error}");
        std::process::exit(1);
    }
}
