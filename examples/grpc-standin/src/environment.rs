//! What stands around a director: the platform's stand-ins, and the director's process with a file of fronts.

use crate::error::StandinError;
use rushcourse_standin::discovery::Discovery;
use rushcourse_standin::relay::Relay;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::process::{Child, Command};

/// Fields of `/proc/PID/stat` after the name, which ends with `)`: time in user mode and in the kernel.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Seconds of processor time.
    pub cpu_seconds: f64,
    /// KiB of memory that are resident.
    pub resident_kib: u64,
}

/// Files that are removed with it.
struct TemporaryFiles {
    config: PathBuf,
    fronts: PathBuf,
}

impl Drop for TemporaryFiles {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.config);
        _ = std::fs::remove_file(&self.fronts);
    }
}

impl TemporaryFiles {
    fn write(config: &Value, fronts: &str) -> Result<TemporaryFiles, StandinError> {
        let folder = std::env::temp_dir();
        let path = |name: &str| folder.join(format!("toy-grpc-{}-{name}", std::process::id()));
        let files = TemporaryFiles {
            config: path("config.json"),
            fronts: path("fronts.star"),
        };
        write_file(&files.config, &config.to_string())?;
        write_file(&files.fronts, fronts)?;
        Ok(files)
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), StandinError> {
    std::fs::write(path, text).map_err(|source| StandinError::File {
        path: path.into(),
        source,
    })
}

/// A director and what stands around it; all of it ends with this.
pub struct Environment {
    /// The platform's relay.
    pub relay: Relay,
    /// Discovery, which serves the membership list.
    pub discovery: Discovery,
    /// Where the director serves gRPC.
    pub grpc: SocketAddr,
    director: Child,
    _files: TemporaryFiles,
}

impl Environment {
    /// Stand-ins at the configuration's addresses, and a director of this program that serves gRPC at `grpc`.
    /// `arguments` are added to the call of `grpc(...)`; they begin with a comma.
    ///
    /// # Errors
    /// An address can't be bound, a file can't be written, or the program can't be started.
    pub async fn start(
        config: &Value,
        grpc: SocketAddr,
        program: &Path,
        arguments: &str,
    ) -> Result<Environment, StandinError> {
        let relay = Relay::start(config_address(config, "/store/address")?)
            .await
            .map_err(StandinError::start("relay"))?;
        let discovery = Discovery::start(config_address(config, "/discovery")?)
            .await
            .map_err(StandinError::start("discovery"))?;
        let fronts = format!("grpc(listen = \"{grpc}\"{arguments})\n");
        let files = TemporaryFiles::write(config, &fronts)?;
        let director = Command::new(program)
            .arg("serve")
            .arg("--fronts")
            .arg(&files.fronts)
            .env("RELAY_CONFIG", &files.config)
            .kill_on_drop(true)
            .spawn()
            .map_err(StandinError::start(program.display().to_string()))?;
        Ok(Environment {
            relay,
            discovery,
            grpc,
            director,
            _files: files,
        })
    }

    /// What the director's process has taken so far, where `/proc` says so.
    pub fn usage(&self) -> Option<ProcessUsage> {
        let pid = self.director.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, fields) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some(ProcessUsage {
            cpu_seconds: (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND,
            resident_kib: resident.split_whitespace().next()?.parse().ok()?,
        })
    }
}

fn config_address(config: &Value, field: &'static str) -> Result<SocketAddr, StandinError> {
    let value = config.pointer(field).and_then(Value::as_str).unwrap_or("");
    value.parse().map_err(|_| StandinError::ConfigAddress {
        field,
        value: value.into(),
    })
}
