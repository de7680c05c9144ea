//! Errors of commands and their exit codes.

use hyper::StatusCode;
use rushcourse_config::{SettingsError, ValidationError};
use rushcourse_types::ConfigurationVersion;
use std::fmt;
use std::path::{Path, PathBuf};

/// Exit code if a controller rejected the request, or a file or the command line is invalid.
const REJECTED: u8 = 1;
/// Exit code if no controller gave a usable response. The outcome is unknown; the command can be repeated.
const OUTCOME_UNKNOWN: u8 = 2;

/// Error of a `rushctl` command, printed to standard error. [`CliError::exit_code`] maps it to an exit code.
#[derive(Debug)]
pub enum CliError {
    /// A required operand, described by this text, is missing from the command line.
    MissingArgument(&'static str),
    /// A file or directory can't be used.
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// Cause of the error.
        problem: FileProblem,
    },
    /// A controller rejected the request with a 4xx status.
    Rejected {
        /// Control address of the controller.
        controller: String,
        /// Status code of the response.
        status: StatusCode,
        /// Body of the response, which explains the rejection.
        reason: String,
    },
    /// The uploaded configuration changed nothing, because a different text is committed under its version.
    VersionConflict(ConfigurationVersion),
    /// No controller responded with success or a rejection. Contains the distinct failures with their controllers.
    AllControllersFailed(Vec<String>),
    /// A controller's page is not valid JSON; contains the parse error.
    InvalidPage(String),
    /// A controller returned a configuration that this version of `rushctl` rejects.
    InvalidConfiguration {
        /// Control address of the controller.
        controller: String,
        /// Validation error of the configuration.
        reason: ValidationError,
    },
}

impl CliError {
    /// Returns the exit code of the process for this error, 1 or 2.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::MissingArgument(_)
            | CliError::File { .. }
            | CliError::Rejected { .. }
            | CliError::VersionConflict(_) => REJECTED,
            CliError::AllControllersFailed(_)
            | CliError::InvalidPage(_)
            | CliError::InvalidConfiguration { .. } => OUTCOME_UNKNOWN,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::MissingArgument(what) => write!(f, "missing argument: {what}"),
            CliError::File { path, problem } => write!(f, "{}: {problem}", path.display()),
            CliError::Rejected {
                controller,
                status,
                reason,
            } => write!(f, "{controller} rejected the request ({status}): {reason}"),
            CliError::VersionConflict(version) => write!(
                f,
                "version {version}: a different text is already committed; nothing was changed"
            ),
            CliError::AllControllersFailed(failures) => {
                write!(f, "all controllers failed: {}", failures.join("; "))
            }
            CliError::InvalidPage(reason) => write!(f, "invalid page from a controller: {reason}"),
            CliError::InvalidConfiguration { controller, reason } => {
                write!(f, "{controller}: {reason}")
            }
        }
    }
}

impl std::error::Error for CliError {}

/// Cause of an error with a file or directory.
#[derive(Debug)]
pub enum FileProblem {
    /// Reading the file failed.
    Unreadable(std::io::Error),
    /// The file is not valid UTF-8.
    NotText(std::string::FromUtf8Error),
    /// The file is not a valid configuration.
    Configuration(ValidationError),
    /// The file is not a valid settings file.
    Settings(SettingsError),
    /// The file or directory can't be created, read or written.
    Io(std::io::Error),
    /// A key or certificate can't be parsed or generated.
    Certificate(rcgen::Error),
    /// The directory contains only one of the authority's certificate and key.
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

/// Converts an error to [`CliError::File`] with the path of the file or directory.
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
