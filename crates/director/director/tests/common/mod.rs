//! Runs a director process with stand-ins for its relay and discovery, all on free loopback ports.
#![allow(dead_code)] // Each test program uses only some of the helpers.

use rushcourse_standin::collector::ping;
use rushcourse_standin::discovery::Discovery;
use rushcourse_standin::relay::Relay;
use rushcourse_standin::wait::wait_until;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rushcourse");
/// An address without a listener, for hosts that receive no requests in a test.
pub const HOST_ADDRESS: &str = "127.0.0.1:1";

/// Returns an address with a free port. On Linux, where all of 127/8 is loopback, each call uses a different IP, so
/// that no connection of another test can take the port before the server binds it. The socket never listens: a child
/// process forked meanwhile holds a copy of it until its exec, and a listening copy would make the server's bind fail.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let own = [
        127,
        (100 + pid % 100) as u8,
        (pid / 100 % 250) as u8,
        (1 + n % 250) as u8,
    ];
    let ip = if cfg!(target_os = "linux") {
        own
    } else {
        [127, 0, 0, 1]
    };
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("the option");
    socket.bind(SocketAddr::from((ip, 0))).expect("a port");
    socket.local_addr().expect("an address")
}

pub fn example_config() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/config.json");
    serde_json::from_slice(&std::fs::read(path).expect("the example")).expect("JSON")
}

/// The example's configuration, with the addresses replaced by free ones.
pub fn config() -> Value {
    let mut config = example_config();
    for path in [
        "/listen",
        "/discovery",
        "/store/address",
        "/known/members/0/host_port",
        "/known/members/1/host_port",
    ] {
        *config.pointer_mut(path).expect("a field of the example") =
            free_address().to_string().into();
    }
    config
}

/// Writes a file with a unique name to the temporary folder of the tests.
pub fn write_temp_file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{n}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Starts a director process. Its log is appended to the file `log`; `fronts` is the operators' fronts file.
pub fn spawn_director(config: &Path, log: &Path, fronts: Option<&Path>) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let mut command = Command::new(PROGRAM);
    command.arg("serve").args(
        fronts
            .iter()
            .flat_map(|f| ["--fronts".as_ref(), f.as_os_str()]),
    );
    command
        .env("RELAY_CONFIG", config)
        .stdout(Stdio::null())
        .stderr(log);
    command.spawn().expect("the director starts")
}

/// A director process and its stand-ins. Dropping it kills the process and removes the files.
pub struct Harness {
    pub config: Value,
    /// The director's own address.
    pub address: SocketAddr,
    pub relay: Relay,
    pub discovery: Discovery,
    pub child: Child,
    pub config_path: PathBuf,
    pub log_path: PathBuf,
    /// The operators' fronts file, if the test uses one.
    pub fronts_path: Option<PathBuf>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.config_path);
        _ = std::fs::remove_file(&self.log_path);
        _ = self.fronts_path.as_ref().map(std::fs::remove_file);
    }
}

impl Harness {
    /// Starts the stand-ins and a director, with two hosts listed, and waits until the director responds.
    pub async fn start() -> Harness {
        Harness::start_with(config(), None).await
    }

    /// As [`Harness::start`], with this configuration, and `fronts` as the text of the fronts file.
    pub async fn start_with(config: Value, fronts: Option<&str>) -> Harness {
        let address = |path: &str| {
            config
                .pointer(path)
                .and_then(Value::as_str)
                .expect("an address field")
                .parse()
                .expect("an address")
        };
        let relay = Relay::start(address("/store/address"))
            .await
            .expect("a relay");
        let discovery = Discovery::start(address("/discovery"))
            .await
            .expect("discovery");
        for host in ["h-1", "h-2"] {
            discovery.set_host(host, "east", "Ready", HOST_ADDRESS, 0.0);
        }
        let config_path = write_temp_file("config.json", &config.to_string());
        let log_path = write_temp_file("log", "");
        let fronts_path = fronts.map(|text| write_temp_file("fronts.star", text));
        let child = spawn_director(&config_path, &log_path, fronts_path.as_deref());
        let harness = Harness {
            address: address("/listen"),
            config,
            relay,
            discovery,
            child,
            config_path,
            log_path,
            fronts_path,
        };
        harness.wait_for_pong().await;
        // Without the relay front, the director doesn't watch the relay.
        let has_relay = fronts.is_none_or(|text| !text.contains("relay = False"));
        if has_relay {
            wait_until("watched", || harness.relay.watcher_count() == 1)
                .await
                .expect("a watch");
        }
        harness
    }

    /// As [`Harness::start`], with proxy 0 joined at the relay and bound to both hosts.
    pub async fn start_with_bound_proxy() -> Harness {
        let harness = Harness::start().await;
        harness.relay.join_proxy(0, "east", 5.0);
        wait_until("bound", || harness.relay.endpoints(0).len() == 2)
            .await
            .expect("bound");
        harness
    }

    /// Kills the director, starts it again and waits until it responds.
    pub async fn restart(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        self.child = spawn_director(
            &self.config_path,
            &self.log_path,
            self.fronts_path.as_deref(),
        );
        self.wait_for_pong().await;
    }

    /// Changes a host's phase in the membership list.
    pub fn set_phase(&self, host: &str, phase: &str) {
        self.discovery
            .set_host(host, "east", phase, HOST_ADDRESS, 0.0);
    }

    /// Waits until the director responds to a ping.
    pub async fn wait_for_pong(&self) {
        for _ in 0..600 {
            if let Ok(Ok(text)) =
                tokio::time::timeout(Duration::from_secs(5), ping(self.address)).await
            {
                assert_eq!(
                    serde_json::from_str::<Value>(&text).expect("JSON")["@type"],
                    "pong"
                );
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no pong; log: {}", self.log_text());
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Waits until the log contains a text.
    pub async fn wait_for_log(&self, text: &str) {
        if let Err(error) = wait_until(text, || self.log_text().contains(text)).await {
            panic!("{error}; log: {}", self.log_text());
        }
    }

    /// Waits until a condition holds; on a timeout, panics with `what` and the director's log.
    pub async fn wait_until(&self, what: &str, holds: impl FnMut() -> bool) {
        if let Err(error) = wait_until(what, holds).await {
            panic!("{error}; log: {}", self.log_text());
        }
    }

    /// Requests a page over HTTP and returns its status line and body.
    pub async fn page(&self, path: &str) -> (String, String) {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("a response");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        (
            head.lines().next().unwrap_or("").to_string(),
            body.to_string(),
        )
    }

    /// The value of a metric; 0 if the metrics page doesn't hold it.
    pub async fn metric(&self, name: &str) -> f64 {
        let (_, body) = self.page("/metrics").await;
        let line = body.lines().find(|l| l.split(' ').next() == Some(name));
        line.and_then(|l| l.split(' ').nth(1)?.parse().ok())
            .unwrap_or(0.0)
    }

    /// Waits until a metric's value is at least `minimum`.
    pub async fn wait_for_metric(&self, name: &str, minimum: f64) {
        for _ in 0..1500 {
            if self.metric(name).await >= minimum {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{name} stays below {minimum}; log: {}", self.log_text());
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(done.expect("a signal").success());
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config_path, text).expect("a file");
        self.signal("HUP");
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..3000 {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the director does not exit; log: {}", self.log_text());
    }
}
