//! Errors of the configuration.

use rushcourse_director_settings::InvalidSetting;
use rushcourse_starlark::FrontsError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Why a configuration can't be used.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// RELAY_CONFIG is not set.
    NotNamed,
    Unreadable {
        path: PathBuf,
        source: io::Error,
    },
    /// The file is not JSON or lacks a required field. The source names line and column.
    Json {
        path: PathBuf,
        source: serde_json::Error,
    },
    Field {
        path: PathBuf,
        source: FieldError,
    },
    /// The operators' fronts file is invalid or can't be read.
    Fronts(FrontsError),
}

/// Why a field of the configuration is invalid.
#[derive(Debug)]
pub(crate) enum FieldError {
    /// A field of `settings` is missing or has the wrong type.
    Settings(serde_json::Error),
    /// A value within `settings` fails validation.
    InvalidSetting(InvalidSetting),
    /// The field doesn't hold an IP address and a port.
    Address { field: &'static str, value: String },
    /// `seed` is not a hexadecimal number.
    Seed(String),
    /// `known` is not a membership list; holds the decoder's message.
    CachedEndpoints(String),
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
                write!(
                    f,
                    "RELAY_CONFIG is not set; it has to name the configuration file"
                )
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
                write!(f, "{field} is not an IP address and port: {value:?}")
            }
            FieldError::Seed(value) => write!(f, "seed is not a hexadecimal number: {value:?}"),
            FieldError::CachedEndpoints(text) => write!(f, "known: {text}"),
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
