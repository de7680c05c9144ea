//! The configuration: one JSON file, named by RELAY_CONFIG.

mod error;
mod file;

use crate::fronts::{FrontsSource, GrpcFront};
use bytes::Bytes;
pub(crate) use error::ConfigError;
use error::FieldError;
use file::ConfigFile;
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{ProcessLimits, ReloadedConfig, ServiceAddresses, SessionConfig};
use rushcourse_grpc::GrpcServerConfig;
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// A configuration that can be used.
pub(crate) struct Config {
    /// The director's name.
    pub(crate) name: String,
    /// The address of its protocol and its pages.
    pub(crate) listen: SocketAddr,
    /// What the session starts from.
    pub(crate) session: SessionConfig,
    /// How gRPC is served, if it is.
    pub(crate) grpc: Option<GrpcServerConfig>,
    /// To read it again.
    pub(crate) source: ConfigSource,
}

/// A variable of the environment that says something else than the configuration, which counts.
pub(crate) struct EnvironmentDifference {
    variable: &'static str,
    environment: String,
    configuration: String,
}

impl fmt::Display for EnvironmentDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} says {}, the configuration says {}; that counts",
            self.variable, self.environment, self.configuration
        )
    }
}

/// Where a running director's configuration came from, and the parts of it that hold until a restart.
pub(crate) struct ConfigSource {
    path: PathBuf,
    fronts: FrontsSource,
    incarnation: u64,
    name: String,
    listen: SocketAddr,
    settings: Box<RawValue>,
    relay: bool,
}

/// A configuration that was read again.
pub(crate) struct Reloaded {
    /// For the session.
    pub(crate) session: ReloadedConfig,
    /// How gRPC is served from now on, if it is.
    pub(crate) grpc: Option<GrpcServerConfig>,
}

impl ConfigSource {
    /// The director's name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Reads the configuration again. Only the addresses of others and the gRPC front may change while a director runs.
    pub(crate) fn reload(&self) -> Result<Reloaded, ConfigError> {
        let new = Config::read_as(&self.path, &self.fronts, self.incarnation)?;
        let unchanged = [
            ("name", new.name == self.name),
            ("listen", new.listen == self.listen),
            ("settings", new.source.settings.get() == self.settings.get()),
            ("platform(relay)", new.session.has_relay == self.relay),
        ];
        let kept = unchanged
            .iter()
            .filter(|(_, is_same)| !is_same)
            .map(|(key, _)| format!("{key} has changed: that needs a restart, the old one is kept"))
            .collect();
        Ok(Reloaded {
            session: ReloadedConfig {
                addresses: new.session.addresses,
                streams: new.session.streams,
                needs_restart: kept,
            },
            grpc: new.grpc,
        })
    }
}

impl Config {
    /// Reads the configuration, and the operators' file of fronts beside it. The time of day is the incarnation.
    pub(crate) fn read(path: &Path, fronts: &FrontsSource) -> Result<Config, ConfigError> {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Config::read_as(path, fronts, since_epoch.as_micros() as u64)
    }

    /// What `serve` runs with: the file that the environment names.
    pub(crate) fn from_environment(fronts: &FrontsSource) -> Result<Config, ConfigError> {
        let path = std::env::var_os("RELAY_CONFIG").ok_or(ConfigError::NotNamed)?;
        Config::read(Path::new(&path), fronts)
    }

    fn read_as(
        path: &Path,
        fronts_source: &FrontsSource,
        incarnation: u64,
    ) -> Result<Config, ConfigError> {
        let file = ConfigFile::read(path)?;
        let process = ProcessLimits {
            memory_mb: file.limits.memory_mb,
            descriptors: file.limits.sockets,
        };
        let fronts = fronts_source.load(process, incarnation)?;
        let (streams, grpc) = match fronts.grpc {
            Some(GrpcFront { streams, server }) => (Some(streams), Some(server)),
            None => (None, None),
        };
        let checked = check_fields(&file).map_err(|error| error.in_file(path))?;
        Ok(Config {
            session: SessionConfig {
                names: Names::from(&checked.settings),
                batch_interval: checked.settings.batch_interval(),
                settings: checked.settings.to_policy(),
                limits: fronts.limits,
                has_relay: fronts.relay,
                streams,
                addresses: checked.addresses,
                cached_endpoints: checked.known_list,
            },
            grpc,
            source: ConfigSource {
                path: path.into(),
                fronts: fronts_source.clone(),
                incarnation,
                name: file.name.clone(),
                listen: checked.listen,
                settings: file.settings,
                relay: fronts.relay,
            },
            name: file.name,
            listen: checked.listen,
        })
    }

    /// Where the environment says something else than the configuration.
    pub(crate) fn environment_differences(&self) -> Vec<EnvironmentDifference> {
        let addresses = self.session.addresses;
        let expected = [
            ("RELAY_NAME", self.name.clone()),
            ("RELAY_LISTEN", self.listen.to_string()),
            ("RELAY_DISCOVERY", addresses.discovery.to_string()),
        ];
        expected
            .into_iter()
            .filter_map(|(variable, configuration)| {
                let environment = std::env::var(variable).ok()?;
                (environment != configuration).then_some(EnvironmentDifference {
                    variable,
                    environment,
                    configuration,
                })
            })
            .collect()
    }
}

/// The fields of a file that are more than text.
struct CheckedFields {
    settings: DeploymentSettings,
    known_list: Bytes,
    listen: SocketAddr,
    addresses: ServiceAddresses,
}

fn check_fields(file: &ConfigFile) -> Result<CheckedFields, FieldError> {
    let settings = file.settings()?;
    // Decisions draw no random numbers, yet a seed that is none is a mistake in the file.
    file.seed()?;
    Ok(CheckedFields {
        settings,
        known_list: file.known_list()?,
        listen: file::address("listen", &file.listen)?,
        addresses: ServiceAddresses {
            discovery: file::address("discovery", &file.discovery)?,
            relay: file::address("store.address", &file.store.address)?,
        },
    })
}
