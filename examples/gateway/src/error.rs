//! Why a step of the scenario failed.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The first thing that went wrong; it ends the scenario.
#[derive(Debug)]
pub enum ScenarioError {
    /// A file of the scenario can't be read or written.
    File {
        /// Which one.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// A program can't be started, or not be ended.
    Process {
        /// Its name.
        program: String,
        /// What the system says.
        cause: io::Error,
    },
    /// An operator's command ended with an error.
    Command {
        /// Its words, without `rushctl`.
        words: String,
        /// What it wrote to standard error.
        output: String,
    },
    /// The output of a command is not of the form that is read here.
    CommandOutput(&'static str),
    /// A connection could not be made, or broke.
    Connection(io::Error),
    /// HTTP's rules were broken, here or on the other side.
    Http(hyper::Error),
    /// A request can't be written.
    Request(hyper::http::Error),
    /// No response came in time.
    NoResponse,
    /// What was waited for did not come.
    TimedOut {
        /// What was waited for.
        awaited: &'static str,
        /// For how long.
        limit: Duration,
    },
    /// The gateway did not do what this step shows.
    Unexpected(&'static str),
}

impl ScenarioError {
    /// For errors of the system at a file.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> ScenarioError {
        let path = path.to_path_buf();
        move |cause| ScenarioError::File { path, cause }
    }

    /// For errors of the system at a program.
    pub fn process(program: &str) -> impl FnOnce(io::Error) -> ScenarioError {
        let program = program.to_string();
        move |cause| ScenarioError::Process { program, cause }
    }
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::File { path, cause } => write!(f, "{}: {cause}", path.display()),
            ScenarioError::Process { program, cause } => write!(f, "{program}: {cause}"),
            ScenarioError::Command { words, output } => write!(f, "rushctl {words}: {output}"),
            ScenarioError::CommandOutput(problem) => f.write_str(problem),
            ScenarioError::Connection(cause) => write!(f, "connection: {cause}"),
            ScenarioError::Http(cause) => write!(f, "HTTP: {cause}"),
            ScenarioError::Request(cause) => write!(f, "request: {cause}"),
            ScenarioError::NoResponse => f.write_str("no response in time"),
            ScenarioError::TimedOut { awaited, limit } => {
                write!(f, "{awaited}: not within {} s", limit.as_secs())
            }
            ScenarioError::Unexpected(problem) => f.write_str(problem),
        }
    }
}

impl std::error::Error for ScenarioError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ScenarioError::File { cause, .. }
            | ScenarioError::Process { cause, .. }
            | ScenarioError::Connection(cause) => Some(cause),
            ScenarioError::Http(cause) => Some(cause),
            ScenarioError::Request(cause) => Some(cause),
            _ => None,
        }
    }
}

impl From<hyper::Error> for ScenarioError {
    fn from(cause: hyper::Error) -> ScenarioError {
        ScenarioError::Http(cause)
    }
}

impl From<hyper::http::Error> for ScenarioError {
    fn from(cause: hyper::http::Error) -> ScenarioError {
        ScenarioError::Request(cause)
    }
}
