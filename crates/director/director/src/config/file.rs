//! The configuration file in its JSON form, and parsing of its fields.

use super::error::{ConfigError, FieldError};
use bytes::Bytes;
use rushcourse_director_protocol::discovery;
use rushcourse_director_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;

/// Membership list of a director that starts without a cached one.
const EMPTY_LIST: &str = r#"{"revision":0,"complete":true,"members":[]}"#;

#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub(super) name: String,
    pub(super) listen: String,
    pub(super) discovery: String,
    /// Hexadecimal; empty means 0.
    #[serde(default)]
    pub(super) seed: String,
    pub(super) store: Store,
    #[serde(default)]
    pub(super) limits: Limits,
    /// Cached membership list, used until discovery responds; missing if no list was ever received.
    #[serde(default)]
    known: Option<Box<RawValue>>,
    pub(super) settings: Box<RawValue>,
}

/// Where the platform's relay listens.
#[derive(Deserialize)]
pub(super) struct Store {
    pub(super) address: String,
}

/// Resources that the process may use. The defaults are those of the largest director.
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

    /// Parses and validates `settings`.
    pub(super) fn settings(&self) -> Result<DeploymentSettings, FieldError> {
        let settings: DeploymentSettings =
            serde_json::from_str(self.settings.get()).map_err(FieldError::Settings)?;
        settings.validate().map_err(FieldError::InvalidSetting)?;
        Ok(settings)
    }

    /// Parses `seed`; decisions don't depend on it.
    pub(super) fn seed(&self) -> Result<u64, FieldError> {
        if self.seed.is_empty() {
            return Ok(0);
        }
        u64::from_str_radix(&self.seed, 16).map_err(|_| FieldError::Seed(self.seed.clone()))
    }

    /// The cached membership list in the form that discovery sends; its entries aren't checked here.
    pub(super) fn cached_endpoints(&self) -> Result<Bytes, FieldError> {
        let known = self.known.as_ref().map_or(EMPTY_LIST, |raw| raw.get());
        discovery::decode(known.as_bytes())
            .map_err(|error| FieldError::CachedEndpoints(error.to_string()))?;
        Ok(Bytes::copy_from_slice(known.as_bytes()))
    }
}

/// Parses the IP address and port of a field; `field` is its path for the error.
pub(super) fn address(field: &'static str, value: &str) -> Result<SocketAddr, FieldError> {
    value.parse().map_err(|_| FieldError::Address {
        field,
        value: value.into(),
    })
}
