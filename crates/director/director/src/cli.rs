//! Command line of the program `rushcourse`.

use crate::config::Config;
use crate::error::DirectorError;
use crate::event_loop;
use crate::fronts::FrontsSource;
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

/// A director: sends routing tables to the proxies of a service.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 success or stopped by SIGTERM, 1 invalid configuration or system error,
    2 invalid command line or environment."
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

/// Runs a director until SIGTERM. The configuration file is named by RELAY_CONFIG and is read again on SIGHUP.
/// RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY repeat values of the file; differences are logged. Logs go to standard
/// error.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the operators' fronts file; defaults to deploy/fronts.star if that exists
    #[argh(option)]
    fronts: Option<PathBuf>,
}

/// Checks a configuration as `serve` does and prints the first error, without serving.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file
    #[argh(positional)]
    file: PathBuf,
    /// the operators' fronts file, as for `serve`
    #[argh(option)]
    fronts: Option<PathBuf>,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs the command that the process's arguments name and returns its exit code.
pub fn run() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(exit_code) => return exit_code,
    };
    let result = match command {
        Command::Version(_) => {
            println!("rushcourse {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(check) => check.run(),
        Command::Serve(serve) => event_loop::serve(&FrontsSource::new(serve.fronts)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rushcourse: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Parses the command line. `Err` holds the exit code if help was printed or the command line is invalid.
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
