//! A director's process with stand-ins around it, all on loopback ports that are free.
#![allow(dead_code)]

use rushcourse_standin::collector::ping;
use rushcourse_standin::discovery::Discovery;
use rushcourse_standin::relay::Relay;
use rushcourse_standin::wait::wait_until;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rushcourse");

/// A free port. On Linux all of 127/8 is loopback: each has an address of its own there, so that no connection
/// of another test takes the port before its server does.
pub fn free() -> SocketAddr {
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
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port");
    listener.local_addr().expect("an address")
}

/// The example's configuration.
pub fn example() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/config.json");
    serde_json::from_slice(&std::fs::read(path).expect("the example")).expect("JSON")
}

/// The example's configuration with free addresses.
pub fn config() -> Value {
    let mut config = example();
    for path in [
        "/listen",
        "/discovery",
        "/store/address",
        "/known/members/0/host_port",
        "/known/members/1/host_port",
    ] {
        *config.pointer_mut(path).expect("a field") = free().to_string().into();
    }
    config
}

/// A file of this test's own.
pub fn file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{n}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

pub fn spawn(config: &Path, log: &Path) -> Child {
    spawn_with(config, log, None)
}

/// A director with an operators' file of fronts.
pub fn spawn_with(config: &Path, log: &Path, fronts: Option<&Path>) -> Child {
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

pub struct Bench {
    pub config: Value,
    pub address: SocketAddr,
    pub relay: Relay,
    pub discovery: Discovery,
    pub child: Child,
    pub path: PathBuf,
    pub log: PathBuf,
    /// The operators' file of fronts, where there is one.
    pub fronts: Option<PathBuf>,
}

impl Drop for Bench {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.path);
        _ = std::fs::remove_file(&self.log);
        _ = self.fronts.as_ref().map(std::fs::remove_file);
    }
}

impl Bench {
    /// Stand-ins and a director that answers, with two hosts listed.
    pub async fn start() -> Bench {
        Bench::start_with(config(), None).await
    }

    /// The same with this configuration, and this text as the operators' file of fronts.
    pub async fn start_with(config: Value, fronts: Option<&str>) -> Bench {
        let at = |path: &str| {
            config
                .pointer(path)
                .and_then(Value::as_str)
                .expect("a field")
                .parse()
                .expect("one")
        };
        let relay = Relay::start(at("/store/address")).await.expect("a relay");
        let discovery = Discovery::start(at("/discovery")).await.expect("discovery");
        ["h-1", "h-2"]
            .iter()
            .for_each(|h| discovery.set_host(h, "east", "Ready", "127.0.0.1:1", 0.0));
        let path = file("config.json", &config.to_string());
        let log = file("log", "");
        let fronts = fronts.map(|text| file("fronts.star", text));
        let child = spawn_with(&path, &log, fronts.as_deref());
        let bench = Bench {
            address: at("/listen"),
            config,
            relay,
            discovery,
            child,
            path,
            log,
            fronts,
        };
        bench.answers().await;
        // An install with streams alone has no relay to watch.
        let relay = !bench
            .fronts
            .as_ref()
            .is_some_and(|f| std::fs::read_to_string(f).is_ok_and(|t| t.contains("relay = False")));
        if relay {
            wait_until("it watches", || bench.relay.watcher_count() == 1)
                .await
                .expect("a watch");
        }
        bench
    }

    /// Ends the director at once and starts it anew.
    pub async fn restart(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        self.child = spawn_with(&self.path, &self.log, self.fronts.as_deref());
        self.answers().await;
    }

    /// The same with proxy 0 joined and bound to both hosts.
    pub async fn bound() -> Bench {
        let bench = Bench::start().await;
        bench.relay.join_proxy(0, "east", 5.0);
        wait_until("bound", || bench.relay.endpoints(0).len() == 2)
            .await
            .expect("bound");
        bench
    }

    /// Waits for a pong.
    pub async fn answers(&self) {
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
        panic!("no pong; its log: {}", self.logged());
    }

    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub async fn log_has(&self, text: &str) {
        if let Err(e) = wait_until(text, || self.logged().contains(text)).await {
            panic!("{e}; its log: {}", self.logged());
        }
    }

    pub async fn holds(&self, what: &str, holds: impl FnMut() -> bool) {
        if let Err(e) = wait_until(what, holds).await {
            panic!("{e}; its log: {}", self.logged());
        }
    }

    /// A page by HTTP: status line and body.
    pub async fn page(&self, path: &str) -> (String, String) {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        let ask = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(ask.as_bytes()).await.expect("asked");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("an answer");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        (
            head.lines().next().unwrap_or("").to_string(),
            body.to_string(),
        )
    }

    /// A figure of the metrics page.
    pub async fn metric(&self, name: &str) -> f64 {
        let (_, body) = self.page("/metrics").await;
        let line = body.lines().find(|l| l.split(' ').next() == Some(name));
        line.and_then(|l| l.split(' ').nth(1)?.parse().ok())
            .unwrap_or(0.0)
    }

    pub async fn metric_reaches(&self, name: &str, least: f64) {
        for _ in 0..1500 {
            if self.metric(name).await >= least {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{name} stays under {least}; its log: {}", self.logged());
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

    /// Replaces the configuration and tells the director.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.path, text).expect("a file");
        self.signal("HUP");
    }

    pub async fn ended(&mut self) -> ExitStatus {
        for _ in 0..3000 {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("it does not end; its log: {}", self.logged());
    }
}
