//! The configuration: one JSON file, named by RELAY_CONFIG.

use crate::cli::Failure;
use bytes::Bytes;
use rushcourse_reducer::Setup;
use rushcourse_settings::{Names, Options};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;

const EMPTY_LIST: &str = r#"{"revision":0,"complete":true,"members":[]}"#;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    store: Store,
    /// A director that never had a list has none.
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: Options,
}

#[derive(Deserialize)]
struct Store {
    address: String,
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub setup: Setup,
    /// Where the environment says something else than the file.
    pub differs: Vec<String>,
}

impl Config {
    pub fn read(path: &Path) -> Result<Config, String> {
        let place = path.display();
        let text = std::fs::read(path).map_err(|e| format!("{place}: can't be read: {e}"))?;
        Config::parse(&text).map_err(|e| format!("{place}: {e}"))
    }

    fn parse(text: &[u8]) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        if let Some(text) = rushcourse_settings::senseless(&file.settings) {
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
        Ok(Config {
            listen: address("listen", &file.listen)?,
            discovery: address("discovery", &file.discovery)?,
            relay: address("store.address", &file.store.address)?,
            name: file.name,
            setup: Setup {
                names: Names::of(&file.settings),
                settings: rushcourse_settings::settings(file.settings),
                seed,
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
        ("RELAY_DISCOVERY", config.discovery.to_string()),
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
