//! rushctl, the operators' command line of the gateway. It reads and writes through the control addresses of the
//! controllers.
//!
//! * `arguments.rs`: the command line; `commands.rs`: what each command does; `manual.rs`: what `rushctl manual` prints.
//! * [`control_api`]: calls of controllers over HTTP.
//! * [`views`]: pages of controllers (`status_page.rs`) as tables of text (`text_table.rs`).
//! * `configuration_diff.rs`, `shedding_order.rs`: what follows from configurations alone.
//! * `certificates.rs`, `example_settings.rs`: files that an install needs.
//! * [`error`]: why a command failed, and the exit code.

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
mod text_table;
pub mod views;

use arguments::{Arguments, Command};
use gumdrop::Options;
use std::process::ExitCode;

/// Exit code of a command line without a command.
const NO_COMMAND: u8 = 2;

/// Runs what the command line of this process says, and prints what comes of it. Ends the process itself where the
/// command line can't be read or asks for help.
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
