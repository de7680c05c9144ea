//! The command line.

use crate::config::Config;
use crate::effects;
use crate::failure::Failure;
use crate::fronts::Place;
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// A director: it sends routing tables to a service's proxies, and never leaves one without a line.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done or ended by SIGTERM, 1 something is wrong with the configuration or the
machine, 2 the command line or the environment is wrong."
)]
struct Rushcourse {
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

pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|a| a.to_string_lossy().into_owned())
        .collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let command = match Rushcourse::from_args(&["rushcourse"], &args) {
        Ok(parsed) => parsed.command,
        Err(early) => {
            return if early.status.is_ok() {
                print!("{}", early.output);
                ExitCode::SUCCESS
            } else {
                eprint!("{}", early.output);
                ExitCode::from(2)
            };
        }
    };
    let done = match command {
        Command::Version(_) => {
            println!("rushcourse {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(check) => Config::read(&check.file, &Place::of(check.fronts))
            .map_err(Failure::Other)
            .map(|c| {
                println!(
                    "{}: director {}, listens on {}",
                    check.file.display(),
                    c.name,
                    c.listen
                );
                if let Some(grpc) = c.grpc {
                    println!(
                        "gRPC on {}, {} connections at most",
                        grpc.listen, grpc.connections
                    );
                }
            }),
        Command::Serve(serve) => effects::serve(&Place::of(serve.fronts)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(text)) => {
            eprintln!("rushcourse: {text}");
            ExitCode::from(2)
        }
        Err(Failure::Other(text)) => {
            eprintln!("rushcourse: {text}");
            ExitCode::from(1)
        }
    }
}
