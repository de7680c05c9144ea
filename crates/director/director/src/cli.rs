//! The command line.

use crate::config::Config;
use crate::error::DirectorError;
use crate::event_loop;
use crate::fronts::FrontsSource;
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code where the command line or the environment is wrong.
const USAGE_EXIT_CODE: u8 = 2;

/// A director: it sends routing tables to a service's proxies, and never leaves one without a line.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done or ended by SIGTERM, 1 something is wrong with the configuration or the
machine, 2 the command line or the environment is wrong."
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Runs a director until SIGTERM. It reads the file that RELAY_CONFIG names, again with each SIGHUP; RELAY_NAME, RELAY_LISTEN and
/// RELAY_DISCOVERY say the same as the file, and a difference is logged. Logs go to standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the operators' file of fronts; without this, deploy/fronts.star if it is there
    #[argh(option)]
    fronts: Option<PathBuf>,
}

/// Reads a configuration as `serve` does and says what is wrong with it, without serving.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration, as RELAY_CONFIG would name it
    #[argh(positional)]
    file: PathBuf,
    /// the operators' file of fronts, as `serve` would take it
    #[argh(option)]
    fronts: Option<PathBuf>,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs the program by its command line, until it ends.
pub fn run() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(exit_code) => return exit_code,
    };
    let done = match command {
        Command::Version(_) => {
            println!("rushcourse {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(check) => check.run(),
        Command::Serve(serve) => event_loop::serve(&FrontsSource::new(serve.fronts)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rushcourse: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// The command, or the exit code where none is to be run: help was asked for, or the command line is wrong.
fn parse_arguments() -> Result<Command, ExitCode> {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Arguments::from_args(&["rushcourse"], &arguments)
        .map(|arguments| arguments.command)
        .map_err(|early_exit| {
            if early_exit.status.is_ok() {
                print!("{}", early_exit.output);
                ExitCode::SUCCESS
            } else {
                eprint!("{}", early_exit.output);
                ExitCode::from(USAGE_EXIT_CODE)
            }
        })
}

impl Check {
    fn run(self) -> Result<(), DirectorError> {
        let config = Config::read(&self.file, &FrontsSource::new(self.fronts))?;
        println!(
            "{}: director {}, listens on {}",
            self.file.display(),
            config.name,
            config.listen
        );
        if let Some(grpc) = config.grpc {
            println!(
                "gRPC on {}, {} connections at most",
                grpc.listen, grpc.max_connections
            );
        }
        Ok(())
    }
}
