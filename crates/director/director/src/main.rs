//! Entry point of the program `rushcourse`, which runs a director.

use std::process::ExitCode;

fn main() -> ExitCode {
    rushcourse_director::run()
}
