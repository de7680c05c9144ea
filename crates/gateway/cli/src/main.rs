//! Entry of rushctl. Ends with 0 when it is done, 1 when it was rejected or something is wrong with a file, 2 when no
//! controller answered clearly or no command was given.

use std::process::ExitCode;

fn main() -> ExitCode {
    rushcourse_cli::run()
}
