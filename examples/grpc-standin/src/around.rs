//! What stands around a director: the platform's stand-ins, and the director's process with a file of fronts.

use rushcourse_standin::discovery::Discovery;
use rushcourse_standin::relay::Relay;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::process::{Child, Command};

pub struct Around {
    pub relay: Relay,
    pub discovery: Discovery,
    /// Where the director serves gRPC.
    pub grpc: SocketAddr,
    pub director: Option<Child>,
    files: Vec<PathBuf>,
}

impl Drop for Around {
    fn drop(&mut self) {
        self.files
            .iter()
            .for_each(|path| _ = std::fs::remove_file(path));
    }
}

fn address(config: &Value, path: &str) -> Result<SocketAddr, String> {
    let text = config.pointer(path).and_then(Value::as_str).unwrap_or("");
    text.parse()
        .map_err(|_| format!("the configuration's {path} is no address: {text:?}"))
}

impl Around {
    /// Stand-ins at the configuration's addresses, and a director of this program that serves gRPC at `grpc`.
    pub async fn start(
        config: &Value,
        grpc: SocketAddr,
        program: &Path,
        more: &str,
    ) -> Result<Around, String> {
        let io = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let relay = Relay::start(address(config, "/store/address")?)
            .await
            .map_err(io("relay"))?;
        let discovery = Discovery::start(address(config, "/discovery")?)
            .await
            .map_err(io("discovery"))?;
        let folder = std::env::temp_dir();
        let file = |name: &str| folder.join(format!("toy-grpc-{}-{name}", std::process::id()));
        let files = vec![file("config.json"), file("fronts.star")];
        std::fs::write(&files[0], config.to_string()).map_err(io("configuration"))?;
        std::fs::write(&files[1], format!("grpc(listen = \"{grpc}\"{more})\n"))
            .map_err(io("fronts"))?;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg("--fronts")
            .arg(&files[1])
            .env("RELAY_CONFIG", &files[0])
            .kill_on_drop(true);
        let director = command
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Around {
            relay,
            discovery,
            grpc,
            director: Some(director),
            files,
        })
    }

    /// Seconds of processor time and KiB of memory that the director has taken.
    pub fn used(&self) -> Option<(f64, u64)> {
        let pid = self.director.as_ref()?.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // Fields 14 and 15 of the line, in hundredths of a second; the first of `fields` is the third.
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        Some((ticks / 100.0, line.split_whitespace().nth(1)?.parse().ok()?))
    }
}
