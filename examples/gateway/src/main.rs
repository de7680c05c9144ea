//! The story of a small gateway: `toy-gateway FOLDER-OF-PROGRAMS`. Each step prints a line; the first that fails ends
//! it with code 1.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

const CONFIGURATION: &str = r#"{"version":1,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","maximum_attempts","service"],"rows":[["reads","shop.example","/read/","read_only",2,0.3,1,2,"stock"],["orders","shop.example","/order/","idempotent",2,0.3,0,2,"orders"]]},"services":{"columns":["name","health_check_path","connection_capacity"],"rows":[["stock","/health",50],["orders","/health",50]]},"limits":{"header_size_bytes":16384,"body_size_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}"#;
const CONTROL: &str = "127.30.0.1:8544,127.30.0.2:8544,127.30.0.3:8544,127.30.0.4:8544";
const FRONTS: [&str; 2] = ["127.30.0.11:8548", "127.30.0.12:8548"];
const READY: [&str; 2] = ["127.30.0.11:8542", "127.30.0.12:8542"];

/// Children that end with this program.
struct Running(Vec<(String, Child)>);

impl Drop for Running {
    fn drop(&mut self) {
        for (_, child) in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A host: answers whatever it is asked, once it is the one that is expected.
struct Host {
    id: String,
    service: &'static str,
    address: String,
    sequence: Cell<u64>,
    draining: Cell<bool>,
    runs: RefCell<BTreeMap<String, u32>>,
}

type Heard = Result<Response<Full<Bytes>>, hyper::Error>;

async fn answer(host: Rc<Host>, request: Request<hyper::body::Incoming>) -> Heard {
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(String::from)
    };
    let (attempt, key, expected) = (
        header("attempt-id"),
        header("operation-key"),
        header("expected-instance"),
    );
    let mut response = Response::builder();
    if expected.is_some_and(|e| e != host.id) {
        return Ok(response
            .status(421)
            .header("answering-instance", &host.id)
            .body(Full::default())
            .expect("a head"));
    }
    let body = request.into_body().collect().await?.to_bytes();
    let attempt = attempt.unwrap_or_default();
    *host
        .runs
        .borrow_mut()
        .entry(key.unwrap_or_else(|| attempt.clone()))
        .or_default() += 1;
    response = response
        .header("attempt-id", &attempt)
        .header("response-seal", format!("seal-{}-{attempt}", host.id));
    let text = format!("{} took {} bytes\n", host.id, body.len());
    Ok(response.body(Full::new(Bytes::from(text))).expect("a head"))
}

async fn serve(host: Rc<Host>) {
    let listener = tokio::net::TcpListener::bind(&host.address)
        .await
        .expect("a free address on loopback");
    while let Ok((stream, _)) = listener.accept().await {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer(host.clone(), request));
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// One call: status, headers that matter, body.
async fn call(
    at: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(u16, String, String), String> {
    let go = async {
        let stream = tokio::net::TcpStream::connect(at)
            .await
            .map_err(|e| e.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::task::spawn_local(connection);
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|e| e.to_string())?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let seal = response
            .headers()
            .get("response-seal")
            .and_then(|v| v.to_str().ok())
            .unwrap_or("-")
            .to_string();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| e.to_string())?
            .to_bytes();
        Ok((
            status,
            seal,
            String::from_utf8_lossy(&body).trim().to_string(),
        ))
    };
    tokio::time::timeout(Duration::from_secs(3), go)
        .await
        .unwrap_or_else(|_| Err("no answer".into()))
}

/// Beats once a second at the core directors in turn.
async fn beat(host: Rc<Host>) {
    let control: Vec<&str> = CONTROL.split(',').collect();
    loop {
        beat_once(&host, &control).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

async fn beat_once(host: &Host, control: &[&str]) -> bool {
    host.sequence.set(host.sequence.get() + 1);
    let state = if host.draining.get() {
        "draining"
    } else {
        "ready"
    };
    let body = format!(
        r#"{{"address":"{}","information":{{"service":"{}","version":"v1","zone":"north","available_slots":4}},"status":{{"state":"{state}","call_sequence":{},"cold_remaining_s":0}}}}"#,
        host.address,
        host.service,
        host.sequence.get()
    );
    let path = format!("/-/instances/{}", host.id);
    for k in 0..control.len() {
        let at = control[(host.sequence.get() as usize + k) % control.len()];
        if call(at, "PUT", &path, &[("host", at)], &body)
            .await
            .is_ok_and(|c| c.0 == 200)
        {
            return true;
        }
    }
    false
}

async fn request(
    front: usize,
    kind: &str,
    number: u32,
    key: Option<&str>,
) -> Result<(u16, String, String), String> {
    let attempt = format!("toy-{kind}-{number}-{front}");
    let mut headers = vec![
        ("host", "shop.example"),
        ("attempt-id", attempt.as_str()),
        ("deadline-milliseconds", "2000"),
    ];
    headers.extend(key.map(|k| ("operation-key", k)));
    let method = if key.is_some() { "POST" } else { "GET" };
    call(
        FRONTS[front],
        method,
        &format!("/{kind}/x"),
        &headers,
        if key.is_some() { "an order" } else { "" },
    )
    .await
}

struct Story {
    programs: PathBuf,
    folder: PathBuf,
    step: u32,
}

impl Story {
    fn tell(&mut self, text: &str) {
        self.step += 1;
        println!("{:2}. {text}", self.step);
    }

    fn operator(&self, words: &[&str]) -> Result<String, String> {
        let out = Command::new(self.programs.join("rushctl"))
            .args(words)
            .output()
            .map_err(|e| e.to_string())?;
        if out.status.success() {
            return Ok(String::from_utf8_lossy(&out.stdout).into_owned());
        }
        Err(format!(
            "rushctl {}: {}",
            words.join(" "),
            String::from_utf8_lossy(&out.stderr).trim()
        ))
    }

    fn start(&self, program: &str, name: &str) -> Result<(String, Child), String> {
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let mut command = Command::new(self.programs.join(program));
        command
            .arg("--settings")
            .arg(self.folder.join(format!("{name}.conf")))
            .stdout(Stdio::null())
            .stderr(log);
        Ok((
            name.to_string(),
            command.spawn().map_err(|e| format!("{program}: {e}"))?,
        ))
    }
}

async fn until(what: &str, mut done: impl AsyncFnMut() -> bool) -> Result<u128, String> {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(15) {
        if done().await {
            return Ok(begun.elapsed().as_millis());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{what}: not within 15 s"))
}

async fn story(programs: &Path) -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("rushcourse-gateway-{}", std::process::id()));
    let mut s = Story {
        programs: programs.into(),
        folder: folder.clone(),
        step: 0,
    };
    let place = folder.to_string_lossy().into_owned();
    let files = s.operator(&["make-settings", &place])?;
    s.tell(&format!("settings files made: {}", files.lines().count()));
    let keys = folder.join("keys").to_string_lossy().into_owned();
    let made = s.operator(
        &[
            &["make-keys", &keys],
            &files.lines().collect::<Vec<_>>()[..],
        ]
        .concat(),
    )?;
    // A part for each file: its name behind `# `, and the lines that belong into it.
    for part in made.split("# ").filter(|p| !p.is_empty()) {
        let (file, lines) = part.split_once('\n').ok_or("make-keys names no file")?;
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        std::fs::write(file, text + lines).map_err(|e| format!("{file}: {e}"))?;
    }
    s.tell("keys made: sessions between directors go by TLS");
    let mut running = Running(Vec::new());
    for k in 1..=4 {
        running.0.push(s.start("controller", &format!("core-{k}"))?);
    }
    for k in 1..=2 {
        running
            .0
            .push(s.start("gateway", &format!("frontend-{k}"))?);
    }
    s.tell("4 core and 2 frontend directors started");
    let host = |k: u8, service| {
        let (id, address) = (
            format!("i-{service}-{k}"),
            format!(
                "127.30.1.{}:{}",
                k,
                if service == "stock" { 9001 } else { 9002 }
            ),
        );
        let (sequence, draining, runs) = (Cell::new(0), Cell::new(false), RefCell::default());
        Rc::new(Host {
            id,
            service,
            address,
            sequence,
            draining,
            runs,
        })
    };
    let hosts: Vec<Rc<Host>> = (1..=3)
        .flat_map(|k| [host(k, "stock"), host(k, "orders")])
        .collect();
    for host in &hosts {
        tokio::task::spawn_local(serve(host.clone()));
        tokio::task::spawn_local(beat(host.clone()));
    }
    let file = folder.join("configuration.json");
    std::fs::write(&file, CONFIGURATION).map_err(|e| e.to_string())?;
    let file = file.to_string_lossy().into_owned();
    let put = s.operator(&["--at", CONTROL, "put", &file])?;
    s.tell(&format!("configuration put: {}", put.trim()));
    let ms = until("frontend directors ready", async || {
        let mut ready = 0;
        for at in READY {
            ready += u32::from(
                call(at, "GET", "/-/ready", &[("host", at)], "")
                    .await
                    .is_ok_and(|c| c.0 == 200),
            );
        }
        ready == 2
    })
    .await?;
    s.tell(&format!(
        "both frontend directors are ready after {ms} ms more"
    ));
    let mut good = 0;
    for k in 0..40 {
        good += u32::from(request(k as usize % 2, "read", k, None).await?.0 == 200);
    }
    s.tell(&format!("reads through both: {good} of 40 answered"));
    let first = request(0, "order", 1, Some("k-1")).await?;
    let again = request(1, "order", 2, Some("k-1")).await?;
    let runs: u32 = hosts
        .iter()
        .filter_map(|h| h.runs.borrow().get("k-1").copied())
        .sum();
    s.tell(&format!(
        "order k-1 at one director: {} {}; again at the other: {} {}; runs: {runs}",
        first.0, first.1, again.0, again.1
    ));
    if good != 40 || (first.0, runs) != (200, 1) || (again.0, &again.1) != (200, &first.1) {
        return Err("requests did not come through as they should".into());
    }
    hosts[0].draining.set(true);
    let control: Vec<&str> = CONTROL.split(',').collect();
    if !beat_once(&hosts[0], &control).await {
        return Err("the drain was not acknowledged".into());
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before: u32 = hosts[0].runs.borrow().values().sum();
    for k in 100..140 {
        request(k as usize % 2, "read", k, None).await?;
    }
    let after: u32 = hosts[0].runs.borrow().values().sum();
    s.tell(&format!(
        "{} drains: {} of 40 reads reached it",
        hosts[0].id,
        after - before
    ));
    let (name, child) = &mut running.0[0];
    child
        .kill()
        .and_then(|()| child.wait())
        .map_err(|e| e.to_string())?;
    let killed = name.clone();
    let mut good = 0;
    for k in 200..220 {
        good += u32::from(
            request(k as usize % 2, "order", k, Some(&format!("k-{k}")))
                .await?
                .0
                == 200,
        );
    }
    s.tell(&format!(
        "{killed} killed: {good} of 20 orders answered right after"
    ));
    if after != before || good < 18 {
        return Err("a drain or a killed core director was not borne".into());
    }
    s.tell("the state as the others show it:");
    for command in [
        &["status"][..],
        &["voters"],
        &["members"],
        &["disks"],
        &["key", "k-1"],
    ] {
        let shown = s.operator(&[&["--at", CONTROL], command].concat())?;
        print!("{shown}");
    }
    drop(running);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}

fn main() {
    let programs = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release".into());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    if let Err(e) = local.block_on(&runtime, story(Path::new(&programs))) {
        eprintln!("toy-gateway: {e}");
        std::process::exit(1);
    }
}
