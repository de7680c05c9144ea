//! `rushcourse`: a director on sockets.

mod cli;
mod clock;
mod config;
mod effects;
mod events;
mod failure;
mod fronts;
mod log;
mod net;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
