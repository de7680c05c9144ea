//! Three controllers as real processes on loopback, called over HTTP.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time in which three controllers find each other and agree on the first voting set, on a busy machine.
const FORMING_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_secs(3);

const CONFIGURATION: &str = r#"{"version":VERSION,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","maximum_attempts","service"],
"rows":[["r1","a.example","/x/","read_only",1.5,0.25,2,"s1"]]},"services":{"columns":["name","connection_capacity"],"rows":[["s1",110]]},
"limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// A configuration of a version.
pub fn configuration(version: u32) -> String {
    CONFIGURATION.replace("VERSION", &version.to_string())
}

/// What a controller answered, and after how long.
pub struct Answer {
    pub status: u16,
    /// Head and body.
    pub text: String,
    pub elapsed: Duration,
}

/// Controllers 1 to 3; their processes end with this.
pub struct Controllers {
    folder: PathBuf,
    net: String,
    children: Vec<Child>,
}

impl Controllers {
    pub fn start() -> Controllers {
        Controllers::start_with(|_| {})
    }

    /// `prepare` does something to the data folders before any controller starts.
    pub fn start_with(prepare: impl Fn(&Controllers)) -> Controllers {
        let process = std::process::id();
        let net = format!("127.{}.{}", 40 + process % 100, process / 100 % 250);
        let folder = std::env::temp_dir().join(format!("cut-off-{process}"));
        let mut controllers = Controllers {
            folder,
            net,
            children: Vec::new(),
        };
        for number in 1..=3 {
            std::fs::create_dir_all(controllers.data_folder(number)).expect("a folder");
        }
        prepare(&controllers);
        for number in 1..=3 {
            let child = controllers.spawn(number);
            controllers.children.push(child);
        }
        controllers
    }

    /// Where a controller keeps its state file.
    pub fn data_folder(&self, number: u32) -> PathBuf {
        self.folder.join(format!("core-{number}"))
    }

    fn spawn(&self, number: u32) -> Child {
        let net = &self.net;
        let data = self.data_folder(number);
        let seeds: Vec<String> = (1..=3).map(|seed| format!("{net}.{seed}:8544")).collect();
        let settings = format!(
            "node_name=core-{number}\nzone=z1\nip_address={net}.{number}\n\
             listen_addresses.control_plane={net}.{number}:8544\ninternal_port_range=7540,7555\n\
             seed_nodes={}\nfirst_start=true\ndata_directory={}\n",
            seeds.join(","),
            data.display()
        );
        let file = data.join("settings");
        std::fs::write(&file, settings).expect("a settings file");
        Command::new(env!("CARGO_BIN_EXE_controller"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .arg("--settings")
            .arg(file)
            .spawn()
            .expect("a controller")
    }

    /// Kills a controller, so that it says nothing any more.
    pub fn kill(&mut self, number: usize) {
        let child = &mut self.children[number - 1];
        child.kill().expect("it ran");
        child.wait().expect("it ends");
    }

    /// One request to a controller. `None`: no answer.
    pub fn request(&self, number: u32, method: &str, path: &str, body: &str) -> Option<Answer> {
        let begun = Instant::now();
        let mut stream = TcpStream::connect(format!("{}.{number}:8544", self.net)).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(Answer {
            status: text.split(' ').nth(1)?.parse().ok()?,
            text,
            elapsed: begun.elapsed(),
        })
    }

    /// Repeats a request until it is answered with 200.
    pub fn request_until_acknowledged(&self, number: u32, method: &str, path: &str, body: &str) {
        let is_acknowledged = |answer: Answer| answer.status == 200;
        wait_until(&format!("{method} {path} is acknowledged"), || {
            self.request(number, method, path, body)
                .is_some_and(is_acknowledged)
        });
    }

    /// The status page of a controller.
    pub fn status(&self, number: u32) -> Option<String> {
        self.request(number, "GET", "/-/status", "")
            .map(|answer| answer.text)
    }

    /// Waits until a controller has noticed that all others are gone.
    pub fn wait_until_alone(&self, number: u32) {
        wait_until("it notices that the others are gone", || {
            self.status(number)
                .is_some_and(|page| page.contains(r#""peers":[]"#))
        });
    }
}

pub fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is_so() {
        assert!(begun.elapsed() < FORMING_TIMEOUT, "never: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
