//! The command line of both programs of the gateway.

use crate::startup::{StartError, read_settings, settings_path};
use error_stack::Report;
use gumdrop::Options;
use rushcourse_config::NodeSettings;
use std::path::Path;
use std::process;

/// Exit code for an invalid command line, invalid settings, or a failed start.
const EXIT_START_FAILED: i32 = 2;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "settings file; else the one that RUSHCOURSE_NODE_FILE names",
        meta = "FILE"
    )]
    settings: Option<String>,
    #[options(help = "only check the settings file: file, line and field of what is wrong")]
    check: bool,
}

/// Parses the command line, reads the settings file and calls `serve` unless `--check` is given. On failure, exits the
/// process with code 2. `about` is the program description printed by `--help`.
pub fn run(about: &str, serve: impl FnOnce(&Path, NodeSettings) -> Result<(), Report<StartError>>) {
    let arguments = parse_arguments(about);
    if let Err(report) = start(&arguments, serve) {
        eprintln!("{report:?}");
        process::exit(EXIT_START_FAILED);
    }
}

/// Parses the command line. Exits the process if it is invalid or asks for help.
fn parse_arguments(about: &str) -> Arguments {
    let mut words = std::env::args();
    let program = words.next().unwrap_or_default();
    let words: Vec<String> = words.collect();
    let arguments = Arguments::parse_args_default(&words).unwrap_or_else(|error| {
        eprintln!("{program}: {error}");
        process::exit(EXIT_START_FAILED);
    });
    if arguments.help {
        eprintln!(
            "Usage: {program} [OPTIONS]\n\n{about}\n\n{}",
            Arguments::usage()
        );
        process::exit(0);
    }
    arguments
}

fn start(
    arguments: &Arguments,
    serve: impl FnOnce(&Path, NodeSettings) -> Result<(), Report<StartError>>,
) -> Result<(), Report<StartError>> {
    let path = settings_path(arguments.settings.as_deref())?;
    let settings = read_settings(&path)?;
    if arguments.check {
        return Ok(());
    }
    serve(&path, settings)
}
