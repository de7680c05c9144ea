//! Entry point of rushctl. Exit codes: 0 success; 1 the request was rejected, or a file or the command line is invalid;
//! 2 no controller gave a usable response, or no command was given.

use std::process::ExitCode;

fn main() -> ExitCode {
    rushcourse_cli::run()
}
