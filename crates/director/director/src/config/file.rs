//! The file as it is written, and the checks of its fields.

use super::error::{ConfigError, FieldError};
use bytes::Bytes;
use rushcourse_director_protocol::discovery;
use rushcourse_director_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;

/// What a director knows of its list before it has ever had one.
const EMPTY_LIST: &str = r#"{"revision":0,"complete":true,"members":[]}"#;

/// The configuration file.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub(super) name: String,
    pub(super) listen: String,
    pub(super) discovery: String,
    /// Hexadecimal; empty stands for 0.
    #[serde(default)]
    pub(super) seed: String,
    pub(super) store: Store,
    #[serde(default)]
    pub(super) limits: Limits,
    /// The membership list that is known at the start; missing where there never was one.
    #[serde(default)]
    known: Option<Box<RawValue>>,
    pub(super) settings: Box<RawValue>,
}

/// The platform's relay.
#[derive(Deserialize)]
pub(super) struct Store {
    pub(super) address: String,
}

/// What the process may use. Without limits, those of the largest director hold.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub(super) memory_mb: f64,
    pub(super) sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: 192.0,
            sockets: 1024,
        }
    }
}

impl ConfigFile {
    pub(super) fn read(path: &Path) -> Result<ConfigFile, ConfigError> {
        let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
            path: path.into(),
            source,
        })?;
        serde_json::from_slice(&text).map_err(|source| ConfigError::Json {
            path: path.into(),
            source,
        })
    }

    /// The settings, if they make sense together.
    pub(super) fn settings(&self) -> Result<DeploymentSettings, FieldError> {
        let settings: DeploymentSettings =
            serde_json::from_str(self.settings.get()).map_err(FieldError::Settings)?;
        settings.validate().map_err(FieldError::InvalidSetting)?;
        Ok(settings)
    }

    /// The seed of chance.
    pub(super) fn seed(&self) -> Result<u64, FieldError> {
        if self.seed.is_empty() {
            return Ok(0);
        }
        u64::from_str_radix(&self.seed, 16).map_err(|_| FieldError::Seed(self.seed.clone()))
    }

    /// The membership list that is known at the start, as discovery would send it.
    pub(super) fn known_list(&self) -> Result<Bytes, FieldError> {
        let known = self.known.as_ref().map_or(EMPTY_LIST, |raw| raw.get());
        discovery::decode(known.as_bytes())
            .map_err(|error| FieldError::KnownList(error.to_string()))?;
        Ok(Bytes::copy_from_slice(known.as_bytes()))
    }
}

/// The address and port that a field holds.
pub(super) fn address(field: &'static str, value: &str) -> Result<SocketAddr, FieldError> {
    value.parse().map_err(|_| FieldError::Address {
        field,
        value: value.into(),
    })
}
