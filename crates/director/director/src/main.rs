//! `rushcourse`: a director on sockets.

use std::process::ExitCode;

fn main() -> ExitCode {
    rushcourse_director::run()
}
