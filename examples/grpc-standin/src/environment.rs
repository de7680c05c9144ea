//! Starts a director's process with a generated fronts file, and the relay and discovery stand-ins that it connects to.

use crate::error::StandinError;
use rushcourse_standin::discovery::Discovery;
use rushcourse_standin::relay::Relay;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::process::{Child, Command};

/// Index of `utime` among the fields of `/proc/PID/stat` after the closing parenthesis of the process name.
const USER_TIME_FIELD: usize = 11;
/// Index of `stime`, counted like [`USER_TIME_FIELD`].
const SYSTEM_TIME_FIELD: usize = 12;
/// Unit of the CPU times in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources used by a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// CPU time in user and kernel mode since the process started, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Temporary files of a director, deleted on drop.
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

/// A director's process with its stand-ins. The process is killed on drop.
pub struct Environment {
    /// Relay that the director connects to.
    pub relay: Relay,
    /// Discovery service with the host list, empty at the start.
    pub discovery: Discovery,
    /// Address on which the director serves gRPC.
    pub grpc: SocketAddr,
    director: Child,
    _files: TemporaryFiles,
}

impl Environment {
    /// Starts the stand-ins on the addresses in `config` and a director that serves gRPC on `grpc`. `arguments` is
    /// appended to the argument list of `grpc(...)` in the fronts file and must be empty or begin with a comma.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound, a file can't be written, or the program can't be started.
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

    /// Returns the resource usage of the director's process. `None` if it has exited or `/proc` is not available.
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
