//! What can be wrong with a configuration.

use rushcourse_director_settings::InvalidSetting;
use rushcourse_starlark::FrontsError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Why a configuration can't be used.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// The environment names no file.
    NotNamed,
    /// The file can't be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is not JSON of the expected form. The source names line and column.
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A field has a value that can't be used.
    Field {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: FieldError,
    },
    /// The operators' file of fronts can't be used.
    Fronts(FrontsError),
}

/// What is wrong with a field of the configuration.
#[derive(Debug)]
pub(crate) enum FieldError {
    /// `settings` don't have the expected form.
    Settings(serde_json::Error),
    /// One of the `settings` makes no sense.
    InvalidSetting(InvalidSetting),
    /// A field is no address and port.
    Address {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// `seed` is no hexadecimal number.
    Seed(String),
    /// `known` is no membership list.
    KnownList(String),
}

impl FieldError {
    pub(super) fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::Field {
            path: path.into(),
            source: self,
        }
    }
}

impl From<FrontsError> for ConfigError {
    fn from(error: FrontsError) -> ConfigError {
        ConfigError::Fronts(error)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NotNamed => {
                write!(f, "RELAY_CONFIG is not set: it names the configuration")
            }
            ConfigError::Unreadable { path, source } => {
                write!(f, "{}: can't be read: {source}", path.display())
            }
            ConfigError::Json { path, source } => write!(f, "{}: {source}", path.display()),
            ConfigError::Field { path, source } => write!(f, "{}: {source}", path.display()),
            ConfigError::Fronts(source) => write!(f, "{source}"),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::NotNamed => None,
            ConfigError::Unreadable { source, .. } => Some(source),
            ConfigError::Json { source, .. } => Some(source),
            ConfigError::Field { source, .. } => Some(source),
            ConfigError::Fronts(source) => Some(source),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Settings(source) => write!(f, "settings: {source}"),
            FieldError::InvalidSetting(source) => write!(f, "{source}"),
            FieldError::Address { field, value } => {
                write!(f, "{field} is no address and port: {value:?}")
            }
            FieldError::Seed(value) => write!(f, "seed is no hex number: {value:?}"),
            FieldError::KnownList(text) => write!(f, "known: {text}"),
        }
    }
}

impl Error for FieldError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            FieldError::Settings(source) => Some(source),
            FieldError::InvalidSetting(source) => Some(source),
            _ => None,
        }
    }
}
