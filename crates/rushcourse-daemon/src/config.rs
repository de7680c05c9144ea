//! The configuration: one JSON file, named by RELAY_CONFIG.

use crate::failure::Failure;
use bytes::Bytes;
use rushcourse_reducer::{Bounds, Places, Reread, Setup};
use rushcourse_settings::{Names, Options};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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
        Limits { memory_mb: 192.0, sockets: 1024 }
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
}

/// What a director keeps of its configuration, to read it again.
pub struct Kept {
    path: PathBuf,
    name: String,
    listen: SocketAddr,
    settings: Box<RawValue>,
}

impl Kept {
    /// Reads the file again. Only the addresses of others may change while a director runs.
    pub fn read_again(&self) -> Result<Reread, String> {
        let new = Config::read(&self.path)?;
        let mut left = Vec::new();
        let mut kept = |key: &str, same: bool| {
            left.extend(
                (!same).then(|| format!("{key} has changed: that needs a restart, the old one is kept")),
            );
        };
        kept("name", new.name == self.name);
        kept("listen", new.listen == self.listen);
        kept("settings", new.kept.settings.get() == self.settings.get());
        Ok(Reread { places: new.setup.places, left })
    }
}

impl Config {
    pub fn read(path: &Path) -> Result<Config, String> {
        let place = path.display();
        let text = std::fs::read(path).map_err(|e| format!("{place}: can't be read: {e}"))?;
        Config::parse(path, &text).map_err(|e| format!("{place}: {e}"))
    }

    fn parse(path: &Path, text: &[u8]) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let settings: Options =
            serde_json::from_str(file.settings.get()).map_err(|e| format!("settings: {e}"))?;
        if let Some(text) = rushcourse_settings::senseless(&settings) {
            return Err(text);
        }
        let address = |key: &str, value: &str| {
            value.parse::<SocketAddr>().map_err(|_| format!("{key} is no address and port: {value:?}"))
        };
        let seed = if file.seed.is_empty() {
            0
        } else {
            u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed is no hex number: {:?}", file.seed))?
        };
        let known = file.known.as_ref().map_or(EMPTY_LIST, |raw| raw.get()).as_bytes();
        rushcourse_protocol::discovery::decode(known).map_err(|e| format!("known: {e}"))?;
        let listen = address("listen", &file.listen)?;
        Ok(Config {
            kept: Kept { path: path.into(), name: file.name.clone(), listen, settings: file.settings },
            listen,
            name: file.name,
            setup: Setup {
                names: Names::of(&settings),
                settings: rushcourse_settings::settings(settings),
                seed,
                bounds: Bounds::of(file.limits.memory_mb, file.limits.sockets),
                relay: true,
                streams: None,
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
pub fn from_environment() -> Result<Config, Failure> {
    let path = std::env::var_os("RELAY_CONFIG")
        .ok_or_else(|| Failure::Usage("RELAY_CONFIG is not set: it names the configuration".into()))?;
    let mut config = Config::read(Path::new(&path)).map_err(Failure::Other)?;
    let said = [
        ("RELAY_NAME", config.name.clone()),
        ("RELAY_LISTEN", config.listen.to_string()),
        ("RELAY_DISCOVERY", config.setup.places.discovery.to_string()),
    ];
    for (variable, value) in said {
        if let Ok(other) = std::env::var(variable)
            && other != value
        {
            config
                .differs
                .push(format!("{variable} says {other}, the configuration says {value}; that counts"));
        }
    }
    Ok(config)
}
