//! Why a command failed, and the exit code that says so.

use hyper::StatusCode;
use rushcourse_config::{SettingsError, ValidationError};
use rushcourse_types::ConfigurationVersion;
use std::fmt;
use std::path::{Path, PathBuf};

/// Exit code where the command was rejected, or something is wrong with a file or the command line.
const REJECTED: u8 = 1;
/// Exit code where no controller answered clearly: the same call may be made again.
const UNCLEAR: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The command line lacks this.
    MissingArgument(&'static str),
    /// Something is wrong with a file or folder.
    File {
        /// The file or folder.
        path: PathBuf,
        /// What is wrong with it.
        problem: FileProblem,
    },
    /// A controller rejected the call.
    Rejected {
        /// Its control address.
        controller: String,
        /// The status that it answered with.
        status: StatusCode,
        /// Why, in its words.
        reason: String,
    },
    /// The configuration that was put changed nothing: another text is committed under its version.
    VersionConflict(ConfigurationVersion),
    /// No controller answered clearly; a line for each failure.
    AllControllersFailed(Vec<String>),
    /// The page of a controller is no JSON.
    InvalidPage(String),
    /// The configuration that a controller sent can't be read here.
    InvalidConfiguration {
        /// Its control address.
        controller: String,
        /// What is wrong with the configuration.
        reason: ValidationError,
    },
}

impl CliError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::MissingArgument(_)
            | CliError::File { .. }
            | CliError::Rejected { .. }
            | CliError::VersionConflict(_) => REJECTED,
            CliError::AllControllersFailed(_)
            | CliError::InvalidPage(_)
            | CliError::InvalidConfiguration { .. } => UNCLEAR,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::MissingArgument(what) => write!(f, "{what} must be named"),
            CliError::File { path, problem } => write!(f, "{}: {problem}", path.display()),
            CliError::Rejected {
                controller,
                status,
                reason,
            } => write!(f, "{controller} rejects it ({status}): {reason}"),
            CliError::VersionConflict(version) => write!(
                f,
                "version {version}: another text is committed, this one changed nothing"
            ),
            CliError::AllControllersFailed(failures) => {
                write!(f, "no controller answered clearly: {}", failures.join("; "))
            }
            CliError::InvalidPage(reason) => write!(f, "a page can't be read: {reason}"),
            CliError::InvalidConfiguration { controller, reason } => {
                write!(f, "{controller}: {reason}")
            }
        }
    }
}

impl std::error::Error for CliError {}

/// What is wrong with a file or folder.
#[derive(Debug)]
pub enum FileProblem {
    /// It can't be read.
    Unreadable(std::io::Error),
    /// It is no text.
    NotText(std::string::FromUtf8Error),
    /// It is no valid configuration.
    Configuration(ValidationError),
    /// It is no valid settings file.
    Settings(SettingsError),
    /// It can't be made or written.
    Io(std::io::Error),
    /// The key or certificate in it can't be used or made.
    Certificate(rcgen::Error),
    /// The folder holds the authority's certificate or its key, not both.
    IncompleteAuthority,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileProblem::Unreadable(error) => write!(f, "can't be read: {error}"),
            FileProblem::NotText(error) => error.fmt(f),
            FileProblem::Configuration(error) => error.fmt(f),
            FileProblem::Settings(error) => error.fmt(f),
            FileProblem::Io(error) => error.fmt(f),
            FileProblem::Certificate(error) => error.fmt(f),
            FileProblem::IncompleteAuthority => {
                f.write_str("holds only one of authority.pem and authority.key")
            }
        }
    }
}

impl std::error::Error for FileProblem {}

macro_rules! file_problems {
    ($($error:ty => $variant:ident),* $(,)?) => {$(
        impl From<$error> for FileProblem {
            fn from(error: $error) -> FileProblem {
                FileProblem::$variant(error)
            }
        }
    )*};
}

file_problems! {
    std::string::FromUtf8Error => NotText,
    ValidationError => Configuration,
    SettingsError => Settings,
    std::io::Error => Io,
    rcgen::Error => Certificate,
}

/// Adds the file or folder that an error is about.
pub(crate) trait AtPath<T> {
    fn at_path(self, path: impl AsRef<Path>) -> Result<T, CliError>;
}

impl<T, E: Into<FileProblem>> AtPath<T> for Result<T, E> {
    fn at_path(self, path: impl AsRef<Path>) -> Result<T, CliError> {
        self.map_err(|error| CliError::File {
            path: path.as_ref().to_path_buf(),
            problem: error.into(),
        })
    }
}
