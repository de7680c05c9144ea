//! The steps, in their order: settings and keys, start, configuration, reads, an order and its repeat, a drain, the loss of
//! a controller, and the state as the operators' commands show it.

use crate::error::ScenarioError;
use crate::host::Host;
use crate::http_client::{HttpRequest, HttpResponse, send};
use crate::programs::{Process, Programs, append_to_file};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Two services, a route to each: reads, which may be repeated, and orders, which run once for each key.
const CONFIGURATION: &str = r#"{"version":1,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","maximum_attempts","service"],"rows":[["reads","shop.example","/read/","read_only",2,0.3,1,2,"stock"],["orders","shop.example","/order/","idempotent",2,0.3,0,2,"orders"]]},"services":{"columns":["name","health_check_path","connection_capacity"],"rows":[["stock","/health",50],["orders","/health",50]]},"limits":{"header_size_bytes":16384,"body_size_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}"#;
/// `control_plane` addresses of the controllers that `rushctl make-settings` plans.
const CONTROLLERS: [&str; 4] = [
    "127.30.0.1:8544",
    "127.30.0.2:8544",
    "127.30.0.3:8544",
    "127.30.0.4:8544",
];
/// `front_http` addresses of the gateways that it plans, and their `readiness` addresses.
const GATEWAYS: [&str; 2] = ["127.30.0.11:8548", "127.30.0.12:8548"];
const READINESS: [&str; 2] = ["127.30.0.11:8542", "127.30.0.12:8542"];
const HOSTS_PER_SERVICE: u8 = 3;
/// The key of the order that is repeated.
const REPEATED_KEY: &str = "k-1";
/// How long the gateways may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after a drain was acknowledged all gateways know of it.
const DRAIN_SPREAD_DELAY: Duration = Duration::from_millis(100);
/// Of the twenty orders right after the loss of a controller, so many are answered at least.
const MIN_ORDERS_AFTER_LOSS: u32 = 18;

/// The kinds of requests, by their routes.
#[derive(Clone, Copy)]
enum Route<'a> {
    Read,
    Order { key: &'a str },
}

/// The world that the steps act on.
struct Scenario {
    programs: Programs,
    processes: Vec<Process>,
    hosts: Vec<Rc<Host>>,
    last_step: u32,
}

/// Plays all steps with the programs of a folder.
///
/// # Errors
/// The first step that fails, and why.
pub async fn play(binaries: &Path) -> Result<(), ScenarioError> {
    let folder = std::env::temp_dir().join(format!("rushcourse-gateway-{}", std::process::id()));
    let mut scenario = Scenario {
        programs: Programs::new(binaries, folder),
        processes: Vec::new(),
        hosts: Vec::new(),
        last_step: 0,
    };
    scenario.make_settings_and_keys()?;
    scenario.start_processes()?;
    scenario.start_hosts();
    scenario.put_configuration()?;
    scenario.wait_until_ready().await?;
    scenario.read_through_both_gateways().await?;
    scenario.repeat_an_order().await?;
    scenario.drain_a_host().await?;
    scenario.lose_a_controller().await?;
    scenario.show_state()?;
    scenario.processes.clear();
    scenario.programs.remove_folder();
    Ok(())
}

impl Scenario {
    fn print_step(&mut self, text: &str) {
        self.last_step += 1;
        println!("{:2}. {text}", self.last_step);
    }

    fn make_settings_and_keys(&mut self) -> Result<(), ScenarioError> {
        let folder = self.programs.folder().to_string_lossy().into_owned();
        let files = self.programs.rushctl(&["make-settings", &folder])?;
        self.print_step(&format!("settings files made: {}", files.lines().count()));
        let keys = self.programs.path("keys").to_string_lossy().into_owned();
        let words: Vec<&str> = ["make-keys", &keys]
            .into_iter()
            .chain(files.lines())
            .collect();
        let output = self.programs.rushctl(&words)?;
        // A part for each file: its name after `# `, and the lines that belong into it.
        for part in output.split("# ").filter(|part| !part.is_empty()) {
            let (file, lines) = part.split_once('\n').ok_or(ScenarioError::CommandOutput(
                "make-keys names no settings file",
            ))?;
            append_to_file(Path::new(file), lines)?;
        }
        self.print_step("keys made: sessions between nodes go by TLS");
        Ok(())
    }

    /// `core-N` and `frontend-N` are the names that `rushctl make-settings` gives to the files.
    fn start_processes(&mut self) -> Result<(), ScenarioError> {
        for number in 1..=CONTROLLERS.len() {
            let process = self
                .programs
                .start("controller", &format!("core-{number}"))?;
            self.processes.push(process);
        }
        for number in 1..=GATEWAYS.len() {
            let process = self
                .programs
                .start("gateway", &format!("frontend-{number}"))?;
            self.processes.push(process);
        }
        self.print_step("4 controllers and 2 gateways started");
        Ok(())
    }

    fn start_hosts(&mut self) {
        for number in 1..=HOSTS_PER_SERVICE {
            for (service, port) in [("stock", 9001), ("orders", 9002)] {
                let id = format!("i-{service}-{number}");
                let address = format!("127.30.1.{number}:{port}");
                let host = Rc::new(Host::new(id, service, address));
                host.clone().start(&CONTROLLERS);
                self.hosts.push(host);
            }
        }
    }

    fn put_configuration(&mut self) -> Result<(), ScenarioError> {
        let path = self.programs.path("configuration.json");
        std::fs::write(&path, CONFIGURATION).map_err(ScenarioError::file(&path))?;
        let file = path.to_string_lossy().into_owned();
        let output = self.operator(&["put", &file])?;
        self.print_step(&format!("configuration put: {}", output.trim()));
        Ok(())
    }

    /// Runs a command of the operators at all controllers.
    fn operator(&self, command: &[&str]) -> Result<String, ScenarioError> {
        let controllers = CONTROLLERS.join(",");
        let words = [&["--at", controllers.as_str()], command].concat();
        self.programs.rushctl(&words)
    }

    async fn wait_until_ready(&mut self) -> Result<(), ScenarioError> {
        let started = Instant::now();
        while !are_all_ready().await {
            if started.elapsed() >= READY_TIMEOUT {
                return Err(ScenarioError::TimedOut {
                    awaited: "gateways ready",
                    limit: READY_TIMEOUT,
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let waited = started.elapsed().as_millis();
        self.print_step(&format!("both gateways are ready after {waited} ms more"));
        Ok(())
    }

    async fn read_through_both_gateways(&mut self) -> Result<(), ScenarioError> {
        let mut answered = 0;
        for number in 0..40 {
            answered += u32::from(request(number, Route::Read).await?.is_ok());
        }
        self.print_step(&format!("reads through both: {answered} of 40 answered"));
        if answered == 40 {
            Ok(())
        } else {
            Err(ScenarioError::Unexpected("not all reads were answered"))
        }
    }

    async fn repeat_an_order(&mut self) -> Result<(), ScenarioError> {
        let order = Route::Order { key: REPEATED_KEY };
        let first = request(0, order).await?;
        let repeat = request(1, order).await?;
        let runs: u32 = self
            .hosts
            .iter()
            .map(|host| host.runs_of(REPEATED_KEY))
            .sum();
        self.print_step(&format!(
            "order {REPEATED_KEY} at one gateway: {} {}; again at the other: {} {}; runs: {runs}",
            first.status, first.seal, repeat.status, repeat.seal
        ));
        if first.is_ok() && runs == 1 && repeat.is_ok() && repeat.seal == first.seal {
            Ok(())
        } else {
            Err(ScenarioError::Unexpected(
                "the repeat did not get the first response",
            ))
        }
    }

    async fn drain_a_host(&mut self) -> Result<(), ScenarioError> {
        let host = self.hosts[0].clone();
        host.drain();
        if !host.send_heartbeat(&CONTROLLERS).await {
            return Err(ScenarioError::Unexpected("the drain was not acknowledged"));
        }
        tokio::time::sleep(DRAIN_SPREAD_DELAY).await;
        let runs_before = host.total_runs();
        for number in 100..140 {
            request(number, Route::Read).await?;
        }
        let arrived = host.total_runs() - runs_before;
        self.print_step(&format!(
            "{} drains: {arrived} of 40 reads reached it",
            host.id()
        ));
        if arrived == 0 {
            Ok(())
        } else {
            Err(ScenarioError::Unexpected(
                "requests reached a host that drains",
            ))
        }
    }

    async fn lose_a_controller(&mut self) -> Result<(), ScenarioError> {
        let controller = &mut self.processes[0];
        controller.kill()?;
        let name = controller.name().to_string();
        let mut answered = 0;
        for number in 200..220 {
            let key = format!("k-{number}");
            let response = request(number, Route::Order { key: &key }).await?;
            answered += u32::from(response.is_ok());
        }
        self.print_step(&format!(
            "{name} killed: {answered} of 20 orders answered right after"
        ));
        if answered >= MIN_ORDERS_AFTER_LOSS {
            Ok(())
        } else {
            Err(ScenarioError::Unexpected(
                "too few orders were answered without a controller",
            ))
        }
    }

    fn show_state(&mut self) -> Result<(), ScenarioError> {
        self.print_step("the state as the others show it:");
        for command in [
            &["status"][..],
            &["voters"],
            &["members"],
            &["disks"],
            &["key", REPEATED_KEY],
        ] {
            print!("{}", self.operator(command)?);
        }
        Ok(())
    }
}

async fn are_all_ready() -> bool {
    for address in READINESS {
        let request = HttpRequest {
            address,
            method: "GET",
            path: "/-/ready",
            headers: &[("host", address)],
            body: "",
        };
        if !send(request).await.is_ok_and(|response| response.is_ok()) {
            return false;
        }
    }
    true
}

/// A client's request to one of the gateways in turn.
async fn request(number: usize, route: Route<'_>) -> Result<HttpResponse, ScenarioError> {
    let gateway = number % GATEWAYS.len();
    let kind = match route {
        Route::Read => "read",
        Route::Order { .. } => "order",
    };
    let attempt = format!("toy-{kind}-{number}");
    let mut headers = vec![
        ("host", "shop.example"),
        ("attempt-id", attempt.as_str()),
        ("deadline-milliseconds", "2000"),
    ];
    let (method, path, body) = match route {
        Route::Read => ("GET", "/read/x", ""),
        Route::Order { key } => {
            headers.push(("operation-key", key));
            ("POST", "/order/x", "an order")
        }
    };
    let request = HttpRequest {
        address: GATEWAYS[gateway],
        method,
        path,
        headers: &headers,
        body,
    };
    send(request).await
}
