//! `rushcourse`: a director on sockets.

mod cli;
mod clock;
mod config;
mod effects;
mod log;
mod net;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
