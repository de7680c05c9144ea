//! rushctl, the command-line client of the gateway's control API.
//!
//! * `arguments.rs`: command-line arguments; `commands.rs`: the commands; `manual.rs`: the text of `rushctl manual`.
//! * [`control_api`]: HTTP client of the controllers.
//! * [`views`]: controllers' status pages (`status_page.rs`) rendered as text tables (`text_table.rs`).
//! * `configuration_diff.rs`, `tenant_diff.rs`, `shedding_order.rs`: offline analysis of configurations.
//! * `certificates.rs`, `example_settings.rs`: generation of certificates and settings files.
//! * [`error`]: errors and exit codes.

mod arguments;
mod certificates;
mod commands;
mod configuration_diff;
pub mod control_api;
pub mod error;
mod example_settings;
mod manual;
mod shedding_order;
mod status_page;
mod tenant_diff;
mod text_table;
pub mod views;

use arguments::{Arguments, Command};
use gumdrop::Options;
use std::process::ExitCode;

/// Exit code if no command is given.
const NO_COMMAND: u8 = 2;

/// Runs the command given on the command line and prints its result. Exits the process directly if the command line is
/// invalid or asks for help.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = &arguments.command else {
        println!("{}\n\nCommands:\n{}", Arguments::usage(), Command::usage());
        return NO_COMMAND.into();
    };
    match commands::run(&arguments, command) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("rushctl: {error}");
            error.exit_code().into()
        }
    }
}
