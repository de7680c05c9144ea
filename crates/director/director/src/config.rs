//! The configuration: one JSON file, named by RELAY_CONFIG.

use crate::failure::Failure;
use crate::fronts::{self, Opened};
use bytes::Bytes;
use rushcourse_director_settings::{Names, Options};
use rushcourse_director_state::{Places, Reread, Setup};
use rushcourse_grpc::Serving;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

const EMPTY_LIST: &str = r#"{"revision":0,"complete":true,"members":[]}"#;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    store: Store,
    #[serde(default)]
    limits: Limits,
    /// A director that never had a list has none.
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

/// Without limits, those of the largest director hold.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: 192.0,
            sockets: 1024,
        }
    }
}

#[derive(Deserialize)]
struct Store {
    address: String,
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub setup: Setup,
    /// Where the environment says something else than the file.
    pub differs: Vec<String>,
    pub kept: Kept,
    /// How gRPC is served, if it is.
    pub grpc: Option<Serving>,
}

/// What a director keeps of its configuration, to read it again.
pub struct Kept {
    path: PathBuf,
    fronts: fronts::Place,
    epoch: u64,
    relay: bool,
    pub name: String,
    listen: SocketAddr,
    settings: Box<RawValue>,
}

impl Kept {
    /// Reads the file again. Only the addresses of others may change while a director runs.
    pub fn read_again(&self) -> Result<(Reread, Option<Serving>), String> {
        let new = Config::read_with(&self.path, &self.fronts, self.epoch)?;
        let mut left = Vec::new();
        let mut kept =
            |key: &str, same: bool| {
                left.extend((!same).then(|| {
                    format!("{key} has changed: that needs a restart, the old one is kept")
                }));
            };
        kept("name", new.name == self.name);
        kept("listen", new.listen == self.listen);
        kept("settings", new.kept.settings.get() == self.settings.get());
        kept("platform(relay)", new.setup.relay == self.relay);
        Ok((
            Reread {
                places: new.setup.places,
                streams: new.setup.streams,
                left,
            },
            new.grpc,
        ))
    }
}

impl Config {
    /// Reads the configuration, and the operators' file of fronts beside it.
    pub fn read(path: &Path, fronts: &fronts::Place) -> Result<Config, String> {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Config::read_with(path, fronts, unix.as_micros() as u64)
    }

    fn read_with(path: &Path, fronts: &fronts::Place, epoch: u64) -> Result<Config, String> {
        let place = path.display();
        let text = std::fs::read(path).map_err(|e| format!("{place}: can't be read: {e}"))?;
        let file: File = serde_json::from_slice(&text).map_err(|e| format!("{place}: {e}"))?;
        let opened = fronts.open(file.limits.memory_mb, file.limits.sockets, epoch)?;
        Config::parse(path, file, fronts, epoch, opened).map_err(|e| format!("{place}: {e}"))
    }

    fn parse(
        path: &Path,
        file: File,
        fronts: &fronts::Place,
        epoch: u64,
        opened: Opened,
    ) -> Result<Config, String> {
        let settings: Options =
            serde_json::from_str(file.settings.get()).map_err(|e| format!("settings: {e}"))?;
        if let Some(text) = rushcourse_director_settings::senseless(&settings) {
            return Err(text);
        }
        let address = |key: &str, value: &str| {
            value
                .parse::<SocketAddr>()
                .map_err(|_| format!("{key} is no address and port: {value:?}"))
        };
        // No decision draws random numbers, yet a seed that is no number is a fault of the configuration.
        if !file.seed.is_empty() && u64::from_str_radix(&file.seed, 16).is_err() {
            return Err(format!("seed is no hex number: {:?}", file.seed));
        }
        let known = file
            .known
            .as_ref()
            .map_or(EMPTY_LIST, |raw| raw.get())
            .as_bytes();
        rushcourse_director_protocol::discovery::decode(known)
            .map_err(|e| format!("known: {e}"))?;
        let listen = address("listen", &file.listen)?;
        Ok(Config {
            kept: Kept {
                path: path.into(),
                fronts: fronts.clone(),
                epoch,
                relay: opened.relay,
                name: file.name.clone(),
                listen,
                settings: file.settings,
            },
            grpc: opened.streams.as_ref().map(|(_, options)| options.clone()),
            listen,
            name: file.name,
            setup: Setup {
                names: Names::of(&settings),
                settings: rushcourse_director_settings::settings(settings),
                bounds: opened.bounds,
                relay: opened.relay,
                streams: opened.streams.map(|(rules, _)| rules),
                places: Places {
                    discovery: address("discovery", &file.discovery)?,
                    relay: address("store.address", &file.store.address)?,
                },
                known: Bytes::copy_from_slice(known),
            },
            differs: Vec::new(),
        })
    }
}

/// What `serve` runs with.
pub fn from_environment(fronts: &fronts::Place) -> Result<Config, Failure> {
    let path = std::env::var_os("RELAY_CONFIG").ok_or_else(|| {
        Failure::Usage("RELAY_CONFIG is not set: it names the configuration".into())
    })?;
    let mut config = Config::read(Path::new(&path), fronts).map_err(Failure::Other)?;
    let said = [
        ("RELAY_NAME", config.name.clone()),
        ("RELAY_LISTEN", config.listen.to_string()),
        ("RELAY_DISCOVERY", config.setup.places.discovery.to_string()),
    ];
    for (variable, value) in said {
        if let Ok(other) = std::env::var(variable)
            && other != value
        {
            config.differs.push(format!(
                "{variable} says {other}, the configuration says {value}; that counts"
            ));
        }
    }
    Ok(config)
}
