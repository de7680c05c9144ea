//! Errors of the scenario's steps.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Error that ends the scenario.
#[derive(Debug)]
pub enum ScenarioError {
    /// A file of the scenario can't be read or written.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        cause: io::Error,
    },
    /// A program can't be started or killed.
    Process {
        /// File name of the program, or the process's node name.
        program: String,
        /// Error from the operating system.
        cause: io::Error,
    },
    /// `rushctl` exited with a non-zero code.
    Command {
        /// Command line without the program name.
        arguments: String,
        /// Trimmed standard error output.
        output: String,
    },
    /// The output of `rushctl` has an unexpected format.
    CommandOutput(&'static str),
    /// A TCP connection can't be established.
    Connection(io::Error),
    /// An HTTP connection failed or its peer violated the protocol.
    Http(hyper::Error),
    /// A request has an invalid path or header.
    Request(hyper::http::Error),
    /// A request timed out.
    NoResponse,
    /// A condition did not become true in time.
    TimedOut {
        /// Description of the condition.
        awaited: &'static str,
        /// Time after which waiting ended.
        limit: Duration,
    },
    /// A step's check of the gateway's responses failed.
    Unexpected(&'static str),
}

impl ScenarioError {
    /// Returns a converter for I/O errors of a file.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> ScenarioError {
        let path = path.to_path_buf();
        move |cause| ScenarioError::File { path, cause }
    }

    /// Returns a converter for errors of starting or killing a program.
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
            ScenarioError::Command { arguments, output } => {
                write!(f, "rushctl {arguments}: {output}")
            }
            ScenarioError::CommandOutput(problem) => f.write_str(problem),
            ScenarioError::Connection(cause) => write!(f, "connection: {cause}"),
            ScenarioError::Http(cause) => write!(f, "HTTP: {cause}"),
            ScenarioError::Request(cause) => write!(f, "request: {cause}"),
            ScenarioError::NoResponse => f.write_str("request timed out"),
            ScenarioError::TimedOut { awaited, limit } => {
                write!(f, "{awaited}: timed out after {} s", limit.as_secs())
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
