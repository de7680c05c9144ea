//! What a controller answers that has lost the majority, on loopback: three real processes, of which two are killed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A controller without a majority says so within this time: under the 850 ms that an order may wait for one.
const AT_ONCE: Duration = Duration::from_millis(700);
/// What it says: it did not ask anybody first.
const WHY: &str = "no recent contact with a majority";
/// Time in which three controllers find each other and agree on the first voting set, on a busy machine.
const FORMING: Duration = Duration::from_secs(20);

const CONFIGURATION: &str = r#"{"version":VERSION,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","maximum_attempts","service"],
"rows":[["r1","a.example","/x/","read_only",1.5,0.25,2,"s1"]]},"services":{"columns":["name","connection_capacity"],"rows":[["s1",110]]},
"limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}"#;

struct Controllers {
    folder: PathBuf,
    net: String,
    children: Vec<Child>,
}

impl Controllers {
    fn start() -> Controllers {
        let process = std::process::id();
        let net = format!("127.{}.{}", 40 + process % 100, process / 100 % 250);
        let folder = std::env::temp_dir().join(format!("cut-off-{process}"));
        let seeds: Vec<String> = (1..=3).map(|k| format!("{net}.{k}:8544")).collect();
        let start = |k: u32| {
            let data = folder.join(format!("core-{k}"));
            std::fs::create_dir_all(&data).expect("a folder");
            let settings = data.join("settings");
            let text = format!(
                "node_name=core-{k}\nzone=z1\nip_address={net}.{k}\nlisten_addresses.control_plane={net}.{k}:8544\n\
                 internal_port_range=7540,7555\nseed_nodes={}\nfirst_start=true\ndata_directory={}\n",
                seeds.join(","),
                data.display()
            );
            std::fs::write(&settings, text).expect("a settings file");
            let mut command = Command::new(env!("CARGO_BIN_EXE_controller"));
            let quiet = command.stdout(Stdio::null()).stderr(Stdio::null());
            quiet
                .arg("--settings")
                .arg(settings)
                .spawn()
                .expect("a controller")
        };
        let children = (1..=3).map(start).collect();
        Controllers {
            folder,
            net,
            children,
        }
    }

    /// One call to a controller: status, body, and how long it took.
    fn call(
        &self,
        at: u32,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String, Duration)> {
        let begun = Instant::now();
        let mut stream = TcpStream::connect(format!("{}.{at}:8544", self.net)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer, begun.elapsed()))
    }

    /// Calls until the answer has this status.
    fn until(&self, at: u32, method: &str, path: &str, body: &str, status: u16) {
        let begun = Instant::now();
        while self
            .call(at, method, path, body)
            .is_none_or(|c| c.0 != status)
        {
            assert!(begun.elapsed() < FORMING, "{method} {path}: never {status}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Controllers {
    /// Waits until a controller has noticed that all others are gone.
    fn until_alone(&self, at: u32) {
        let begun = Instant::now();
        let alone = |c: (u16, String, Duration)| c.1.contains(r#""peers":[]"#);
        while !self.call(at, "GET", "/-/status", "").is_some_and(alone) {
            assert!(begun.elapsed() < FORMING, "it never noticed");
            std::thread::sleep(Duration::from_millis(50));
        }
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

fn beat(state: &str, sequence: u32) -> String {
    format!(
        r#"{{"address":"10.128.0.9:8080","information":{{"service":"s1","version":"v1","zone":"z1","available_slots":4}},"status":{{"state":"{state}","call_sequence":{sequence},"cold_remaining_s":0}}}}"#
    )
}

fn configuration(version: u32) -> String {
    CONFIGURATION.replace("VERSION", &version.to_string())
}

#[test]
fn a_controller_without_a_majority_answers_503_at_once_and_still_takes_what_hosts_say() {
    let mut all = Controllers::start();
    all.until(1, "PUT", "/-/configuration", &configuration(1), 200);
    all.until(1, "GET", "/-/configuration", "", 200);
    all.until(1, "PUT", "/-/instances/i-1", &beat("ready", 1), 200);
    all.until(1, "PUT", "/-/instances/i-2", &beat("draining", 1), 200);
    for child in &mut all.children[1..] {
        child.kill().expect("it ran");
        child.wait().expect("it ends");
    }
    all.until_alone(1);
    let (higher, same) = (configuration(2), configuration(1));
    let (ready, draining) = (beat("ready", 2), beat("draining", 3));
    let calls = [
        ("PUT", "/-/configuration", higher.as_str()),
        ("PUT", "/-/configuration", same.as_str()),
        ("GET", "/-/configuration", ""),
        ("PUT", "/-/instances/i-1", ready.as_str()),
        ("PUT", "/-/instances/i-1", draining.as_str()),
        ("PUT", "/-/instances/i-3", ready.as_str()),
        ("DELETE", "/-/instances/i-2", ""),
    ];
    for (method, path, body) in calls {
        let (status, answer, took) = all.call(1, method, path, body).expect("an answer");
        assert_eq!(status, 503, "{method} {path}: {answer}");
        assert!(answer.contains(WHY), "{method} {path}: {answer}");
        assert!(took < AT_ONCE, "{method} {path}: after {took:?}");
    }
    let (_, page, _) = all.call(1, "GET", "/-/status", "").expect("an answer");
    let state = |id: &str| {
        let host = page
            .split(r#"{"id":"#)
            .find(|h| h.starts_with(&format!("\"{id}\"")))
            .unwrap_or_default();
        let found =
            ["ready", "draining", "gone"].map(|s| host.contains(&format!(r#""state":"{s}""#)));
        found.iter().position(|f| *f)
    };
    assert_eq!(
        [state("i-1"), state("i-2"), state("i-3")],
        [Some(1), Some(2), Some(0)],
        "{page}"
    );
    assert!(page.contains(r#""held":1,"#), "no order was taken: {page}");
}
