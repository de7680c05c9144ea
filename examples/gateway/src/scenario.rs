//! Steps of the scenario, in order: generate settings and keys, start the programs, put a configuration, send reads,
//! repeat an order, drain a host, kill a controller, and print the state with operator commands.

use crate::error::ScenarioError;
use crate::host::Host;
use crate::http_client::{HttpRequest, HttpResponse, send};
use crate::programs::{Process, Programs, append_to_file};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Configuration with two services and a route to each: reads, which may be retried, and orders, which run at most once
/// per operation key.
const CONFIGURATION: &str = r#"{"version":1,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","maximum_attempts","service"],"rows":[["reads","shop.example","/read/","read_only",2,0.3,1,2,"stock"],["orders","shop.example","/order/","idempotent",2,0.3,0,2,"orders"]]},"services":{"columns":["name","health_check_path","connection_capacity"],"rows":[["stock","/health",50],["orders","/health",50]]},"limits":{"header_size_bytes":16384,"body_size_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}"#;
/// `control_plane` addresses of the controllers in the generated settings.
const CONTROLLERS: [&str; 4] = [
    "127.30.0.1:8544",
    "127.30.0.2:8544",
    "127.30.0.3:8544",
    "127.30.0.4:8544",
];
/// `front_http` addresses of the gateways in the generated settings.
const GATEWAYS: [&str; 2] = ["127.30.0.11:8548", "127.30.0.12:8548"];
/// `readiness` addresses of the gateways, in the order of [`GATEWAYS`].
const READINESS: [&str; 2] = ["127.30.0.11:8542", "127.30.0.12:8542"];
const HOSTS_PER_SERVICE: u8 = 3;
/// Operation key of the order that is sent twice.
const REPEATED_KEY: &str = "k-1";
/// Maximum time from putting the configuration until all gateways are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the acknowledgement of a drain until all gateways have applied it.
const DRAIN_PROPAGATION_DELAY: Duration = Duration::from_millis(100);
/// Minimum number of successful responses to the 20 orders sent after a controller is killed.
const MIN_ORDERS_AFTER_LOSS: u32 = 18;

/// Route of a client request.
#[derive(Clone, Copy)]
enum Route<'a> {
    Read,
    Order { key: &'a str },
}

/// State shared by the scenario's steps.
struct Scenario {
    programs: Programs,
    processes: Vec<Process>,
    hosts: Vec<Rc<Host>>,
    step_number: u32,
}

/// Runs all steps with the programs in `binaries`.
///
/// # Errors
/// Returns the error of the first step that fails. The scenario's folder is then kept.
pub async fn run(binaries: &Path) -> Result<(), ScenarioError> {
    let folder = std::env::temp_dir().join(format!("rushcourse-gateway-{}", std::process::id()));
    let mut scenario = Scenario {
        programs: Programs::new(binaries, folder),
        processes: Vec::new(),
        hosts: Vec::new(),
        step_number: 0,
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
        self.step_number += 1;
        println!("{:2}. {text}", self.step_number);
    }

    fn make_settings_and_keys(&mut self) -> Result<(), ScenarioError> {
        let folder = self.programs.folder().to_string_lossy().into_owned();
        let files = self.programs.rushctl(&["make-settings", &folder])?;
        self.print_step(&format!("settings files made: {}", files.lines().count()));
        let keys = self.programs.path("keys").to_string_lossy().into_owned();
        let arguments: Vec<&str> = ["make-keys", &keys]
            .into_iter()
            .chain(files.lines())
            .collect();
        let output = self.programs.rushctl(&arguments)?;
        // The output has a section for each file: a line `# PATH`, followed by the lines to append to it.
        for part in output.split("# ").filter(|part| !part.is_empty()) {
            let (file, lines) = part.split_once('\n').ok_or(ScenarioError::CommandOutput(
                "make-keys names no settings file",
            ))?;
            append_to_file(Path::new(file), lines)?;
        }
        self.print_step("keys made: sessions between nodes go by TLS");
        Ok(())
    }

    /// Starts all controllers and gateways. `rushctl make-settings` names their settings files `core-N` and
    /// `frontend-N`.
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
        let output = self.run_operator_command(&["put", &file])?;
        self.print_step(&format!("configuration put: {}", output.trim()));
        Ok(())
    }

    /// Runs a `rushctl` command with the addresses of all controllers.
    fn run_operator_command(&self, command: &[&str]) -> Result<String, ScenarioError> {
        let controllers = CONTROLLERS.join(",");
        let arguments = [&["--at", controllers.as_str()], command].concat();
        self.programs.rushctl(&arguments)
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
            .map(|host| host.run_count(REPEATED_KEY))
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
        tokio::time::sleep(DRAIN_PROPAGATION_DELAY).await;
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
            print!("{}", self.run_operator_command(command)?);
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

/// Sends a client request. `number` selects the gateway (round robin) and is part of the attempt ID.
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
