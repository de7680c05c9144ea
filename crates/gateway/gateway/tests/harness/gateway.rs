//! The gateway process under test.

use super::Setup;
use super::client::Client;
use super::waiting::{POLL_INTERVAL, TIMEOUT, wait_until};
use std::cell::RefCell;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::Instant;

/// Below the ephemeral port range, and free because each harness has a network of its own.
const CLIENT_PORT: u16 = 8548;
/// Below the ephemeral port range, and free because each harness has a network of its own.
const READINESS_PORT: u16 = 8542;
/// Zone of the gateway.
pub const GATEWAY_ZONE: &str = "z";
/// Port for sessions between nodes.
pub const INTERNAL_PORT: u16 = 7540;

/// A running gateway. Dropping it kills the process, and prints its log if the test failed.
pub struct Gateway {
    address: Ipv4Addr,
    process: RefCell<Child>,
    directory: PathBuf,
}

impl Gateway {
    /// Starts the `gateway` binary with `controllers` as its seed nodes.
    pub fn start(address: Ipv4Addr, controllers: &[Ipv4Addr], setup: Setup) -> Gateway {
        let [_, second, third, _] = address.octets();
        let directory = std::env::temp_dir().join(format!(
            "gateway-test-{}-{second}-{third}",
            std::process::id()
        ));
        std::fs::create_dir_all(&directory).expect("the directory is created");
        let settings =
            settings(address, controllers, setup) + &revocation_settings(setup.revocation);
        std::fs::write(settings_path(&directory), settings).expect("the settings are written");
        let _ = std::fs::remove_file(log_path(&directory));
        Gateway {
            address,
            process: RefCell::new(spawn(&directory)),
            directory,
        }
    }

    /// Starts the process again, after it has ended, with the same settings.
    pub fn restart(&self) {
        let mut process = self.process.borrow_mut();
        process.wait().expect("the former process has ended");
        *process = spawn(&self.directory);
    }

    /// Sends SIGKILL and does not wait.
    pub fn kill(&self) {
        self.signal("-KILL");
    }

    /// Returns what the process has logged so far, at all levels.
    pub fn log(&self) -> String {
        std::fs::read_to_string(log_path(&self.directory)).expect("the log file is readable")
    }

    pub fn client_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, CLIENT_PORT)
    }

    /// Polls the readiness endpoint until it responds with 200.
    pub async fn wait_until_ready(&self) {
        let end = Instant::now() + TIMEOUT;
        while !self.is_ready().await {
            assert!(Instant::now() < end, "the gateway is not ready in time");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the readiness endpoint responds with 200.
    pub async fn is_ready(&self) -> bool {
        is_ready(SocketAddrV4::new(self.address, READINESS_PORT)).await
    }

    /// Sends SIGSTOP and waits until the process is stopped.
    pub async fn suspend(&self) {
        self.signal("-STOP");
        wait_until("the gateway process is stopped", || self.has_state('T')).await;
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends SIGHUP and does not wait.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Sends SIGTERM and does not wait.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits until the process has ended by itself; [`Drop`] reaps it.
    pub async fn wait_until_exited(&self) {
        wait_until("the gateway process has exited", || self.has_state('Z')).await;
    }

    /// Whether the process has this state letter in `/proc`.
    fn has_state(&self, letter: char) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.borrow().id()));
        let stat = stat.unwrap_or_default();
        let after_name = stat.rsplit(')').next();
        after_name.is_some_and(|fields| fields.trim_start().starts_with(letter))
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(name)
            .arg(self.process.borrow().id().to_string())
            .status();
        assert!(status.expect("kill runs").success(), "kill {name} failed");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let process = self.process.get_mut();
        let _ = process.kill();
        let _ = process.wait();
        if std::thread::panicking()
            && let Ok(log) = std::fs::read_to_string(log_path(&self.directory))
        {
            eprintln!("log of the gateway:\n{log}");
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn settings_path(directory: &Path) -> PathBuf {
    directory.join("front.conf")
}

fn log_path(directory: &Path) -> PathBuf {
    directory.join("log")
}

/// Starts the process. Its log is appended to that of earlier ones.
fn spawn(directory: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log_path(directory))
        .expect("the log file is opened");
    Command::new(env!("CARGO_BIN_EXE_gateway"))
        .arg("--settings")
        .arg(settings_path(directory))
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the gateway starts")
}

async fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut client) = Client::connect(address).await else {
        return false;
    };
    client
        .write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        .await;
    let response = client.next_response().await;
    response.is_some_and(|response| response.status == 200)
}

fn settings(address: Ipv4Addr, controllers: &[Ipv4Addr], setup: Setup) -> String {
    let seeds: Vec<String> = controllers
        .iter()
        .map(|controller| format!("{controller}:8544"))
        .collect();
    format!(
        "node_name=front-1\nzone={GATEWAY_ZONE}\nip_address={address}\nzones.{GATEWAY_ZONE}=home\n\
         internal_port_range={INTERNAL_PORT},{INTERNAL_PORT}\nseed_nodes={}\nfirst_start=true\n\
         heartbeat_interval_s=1\nbounds.grace_period_s={}\nlimits.file_descriptors=1024\n\
         limits.memory_mb={}\nfault_tolerance.machines={}\nlog_level=debug\n\
         listen_addresses.front_http={address}:{CLIENT_PORT}\n\
         listen_addresses.readiness={address}:{READINESS_PORT}\n",
        seeds.join(","),
        setup.grace_period.as_secs_f64(),
        setup.memory_mb,
        setup.tolerated_losses
    )
}

fn revocation_settings(revocation: Option<Duration>) -> String {
    revocation.map_or(String::new(), |revocation| {
        format!(
            "bounds.revocation_closed=true\nbounds.revocation_s={}\n",
            revocation.as_secs_f64()
        )
    })
}
