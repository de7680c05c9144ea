//! The director's configuration: the JSON file named by RELAY_CONFIG, and the operators' fronts file.

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

/// A valid configuration.
pub(crate) struct Config {
    /// Name of this director in logs, and in its gRPC responses.
    pub(crate) name: String,
    /// Serves the frame protocol and the HTTP pages.
    pub(crate) listen: SocketAddr,
    pub(crate) session: SessionConfig,
    /// `None` if the fronts file doesn't enable gRPC.
    pub(crate) grpc: Option<GrpcServerConfig>,
    /// Reads the same files again on a reload.
    pub(crate) source: ConfigSource,
}

/// An environment variable that differs from the configuration file, which takes precedence.
pub(crate) struct EnvironmentDifference {
    variable: &'static str,
    environment: String,
    configuration: String,
}

impl fmt::Display for EnvironmentDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {}, but the configuration has {}, which takes precedence",
            self.variable, self.environment, self.configuration
        )
    }
}

/// The files of a running director's configuration, and the values that can't change without a restart.
pub(crate) struct ConfigSource {
    path: PathBuf,
    fronts: FrontsSource,
    incarnation: u64,
    name: String,
    listen: SocketAddr,
    settings: Box<RawValue>,
    has_relay: bool,
}

/// The parts of a configuration that a reload may change.
pub(crate) struct Reloaded {
    pub(crate) session: ReloadedConfig,
    /// `None` if the fronts file doesn't enable gRPC any more.
    pub(crate) grpc: Option<GrpcServerConfig>,
}

impl ConfigSource {
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Reads the configuration again. Only the addresses of the relay and discovery and the gRPC front may change at
    /// runtime; other changes are reported and ignored.
    pub(crate) fn reload(&self) -> Result<Reloaded, ConfigError> {
        let new = Config::read_as(&self.path, &self.fronts, self.incarnation)?;
        let unchanged = [
            ("name", new.name == self.name),
            ("listen", new.listen == self.listen),
            ("settings", new.source.settings.get() == self.settings.get()),
            ("platform(relay)", new.session.has_relay == self.has_relay),
        ];
        let restart_notices = unchanged
            .iter()
            .filter(|(_, is_same)| !is_same)
            .map(|(key, _)| format!("{key} has changed: that needs a restart, the old one is kept"))
            .collect();
        Ok(Reloaded {
            session: ReloadedConfig {
                addresses: new.session.addresses,
                streams: new.session.streams,
                needs_restart: restart_notices,
            },
            grpc: new.grpc,
        })
    }
}

impl Config {
    /// Reads and checks the configuration file and the fronts file. The incarnation is the current Unix time in
    /// microseconds.
    pub(crate) fn read(path: &Path, fronts: &FrontsSource) -> Result<Config, ConfigError> {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Config::read_as(path, fronts, since_epoch.as_micros() as u64)
    }

    /// Reads the configuration file that the environment variable RELAY_CONFIG names.
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
                cached_endpoints: checked.cached_endpoints,
            },
            grpc,
            source: ConfigSource {
                path: path.into(),
                fronts: fronts_source.clone(),
                incarnation,
                name: file.name.clone(),
                listen: checked.listen,
                settings: file.settings,
                has_relay: fronts.relay,
            },
            name: file.name,
            listen: checked.listen,
        })
    }

    /// The environment variables that are set and differ from the configuration.
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

/// Parsed values of the fields that the file holds as strings or raw JSON.
struct CheckedFields {
    settings: DeploymentSettings,
    cached_endpoints: Bytes,
    listen: SocketAddr,
    addresses: ServiceAddresses,
}

fn check_fields(file: &ConfigFile) -> Result<CheckedFields, FieldError> {
    let settings = file.settings()?;
    // The seed is unused, but an invalid one still shows a mistake in the file.
    file.seed()?;
    Ok(CheckedFields {
        settings,
        cached_endpoints: file.cached_endpoints()?,
        listen: file::address("listen", &file.listen)?,
        addresses: ServiceAddresses {
            discovery: file::address("discovery", &file.discovery)?,
            relay: file::address("store.address", &file.store.address)?,
        },
    })
}
