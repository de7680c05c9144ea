//! Runs three controller processes on loopback addresses and sends HTTP requests to them.
#![allow(dead_code)]

pub mod gateway_session;
pub mod hosts;
pub mod platform;
pub mod response_gateway;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of `wait_until`, with a margin for the formation of the first voting set on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_secs(3);

const CONFIGURATION: &str = r#"{"version":VERSION,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","maximum_attempts","service"],
"rows":[["r1","a.example","/x/","read_only",1.5,0.25,2,"s1"]]},"services":{"columns":["name","connection_capacity"],"rows":[["s1",110]]},
"limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// A valid configuration with the given version.
pub fn configuration(version: u32) -> String {
    CONFIGURATION.replace("VERSION", &version.to_string())
}

/// An HTTP response and its latency.
pub struct HttpResponse {
    pub status: u16,
    /// Response head and body.
    pub text: String,
    pub elapsed: Duration,
}

/// The processes of controllers 1 to 3. Dropping it kills them and removes their files.
pub struct Controllers {
    directory: PathBuf,
    /// The first three octets of the controllers' addresses.
    subnet: String,
    children: Vec<Child>,
    /// Further lines of the settings file.
    settings: &'static str,
}

impl Controllers {
    pub fn start() -> Controllers {
        Controllers::start_with(|_| {})
    }

    /// Starts the controllers with further lines in their settings files.
    pub fn start_with_settings(settings: &'static str) -> Controllers {
        Controllers::start_prepared(settings, |_| {})
    }

    /// Starts the controllers after `prepare`, which may change their data directories.
    pub fn start_with(prepare: impl Fn(&Controllers)) -> Controllers {
        Controllers::start_prepared("", prepare)
    }

    fn start_prepared(settings: &'static str, prepare: impl Fn(&Controllers)) -> Controllers {
        let process = std::process::id();
        let subnet = format!("127.{}.{}", 40 + process % 100, process / 100 % 250);
        let directory = std::env::temp_dir().join(format!("cut-off-{process}"));
        let mut controllers = Controllers {
            directory,
            subnet,
            children: Vec::new(),
            settings,
        };
        for number in 1..=3 {
            std::fs::create_dir_all(controllers.data_directory(number))
                .expect("create the data directory");
        }
        prepare(&controllers);
        for number in 1..=3 {
            let child = controllers.spawn(number);
            controllers.children.push(child);
        }
        controllers
    }

    /// The address of a controller, or of another node in its subnet.
    pub fn address(&self, number: u32) -> Ipv4Addr {
        let address = format!("{}.{number}", self.subnet);
        address.parse().expect("an address of the subnet")
    }

    /// The directory with the controller's settings and state file.
    pub fn data_directory(&self, number: u32) -> PathBuf {
        self.directory.join(format!("core-{number}"))
    }

    fn spawn(&self, number: u32) -> Child {
        let subnet = &self.subnet;
        let data = self.data_directory(number);
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("{subnet}.{seed}:8544"))
            .collect();
        let settings = format!(
            "node_name=core-{number}\nzone=z1\nip_address={subnet}.{number}\n\
             listen_addresses.control_plane={subnet}.{number}:8544\ninternal_port_range=7540,7555\n\
             seed_nodes={}\nfirst_start=true\ndata_directory={}\n{}",
            seeds.join(","),
            data.display(),
            self.settings
        );
        let file = data.join("settings");
        std::fs::write(&file, settings).expect("write the settings file");
        Command::new(env!("CARGO_BIN_EXE_controller"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .arg("--settings")
            .arg(file)
            .spawn()
            .expect("spawn the controller")
    }

    /// Kills the process of a controller and waits for its exit.
    pub fn kill(&mut self, number: usize) {
        let child = &mut self.children[number - 1];
        child.kill().expect("kill the controller");
        child.wait().expect("wait for the exit");
    }

    /// Starts a controller again, after its process has exited.
    pub fn restart(&mut self, number: u32) {
        self.children[number as usize - 1] = self.spawn(number);
    }

    /// Sends SIGTERM to a controller and waits for its exit.
    pub fn terminate(&mut self, number: usize) {
        let child = &mut self.children[number - 1];
        let status = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
        child.wait().expect("wait for the exit");
    }

    /// Sends one request to a controller. Returns `None` if the connection fails or the response takes over 3 seconds.
    pub fn request(
        &self,
        number: u32,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<HttpResponse> {
        let started_at = Instant::now();
        let mut stream = TcpStream::connect(format!("{}.{number}:8544", self.subnet)).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(HttpResponse {
            status: text.split(' ').nth(1)?.parse().ok()?,
            text,
            elapsed: started_at.elapsed(),
        })
    }

    /// Repeats a request until the response has status 200.
    pub fn request_until_acknowledged(&self, number: u32, method: &str, path: &str, body: &str) {
        let is_acknowledged = |response: HttpResponse| response.status == 200;
        wait_until(&format!("{method} {path} is acknowledged"), || {
            self.request(number, method, path, body)
                .is_some_and(is_acknowledged)
        });
    }

    /// The status page of a controller, including the response head.
    pub fn status(&self, number: u32) -> Option<String> {
        self.request(number, "GET", "/-/status", "")
            .map(|response| response.text)
    }

    /// Waits until a controller has no sessions with other controllers.
    pub fn wait_until_isolated(&self, number: u32) {
        wait_until("the controller has no connected peers", || {
            self.status(number)
                .is_some_and(|page| page.contains(r#""peers":[]"#))
        });
    }
}

/// Polls `condition` until it holds. Panics with `description` after `WAIT_TIMEOUT`.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {description}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
