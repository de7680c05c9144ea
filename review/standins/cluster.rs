//! A small deployment of the project's own programs on loopback addresses: its settings files and its processes.

use crate::http::{Message, call};
use crate::record;
use std::fmt::Write;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = [
    "cesson-sevigne",
    "brest-guipavas",
    "vannes-ouest",
    "lannion-nord",
];
const CONTROLLERS: u8 = 4;
/// Last byte of the address of gateway 1, less one.
const GATEWAY_BASE: u8 = 20;
/// Last byte of the address of host 1, less one.
const HOST_BASE: u8 = 60;
/// Longest wait for the deployment to be ready.
const READY_LIMIT: Duration = Duration::from_secs(25);

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    front: u16,
    readiness: u16,
    internal: u16,
    host: u16,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
/// The signal that a node gets when the process of the case ends, however it ends.
const SIGKILL: u64 = 9;

/// Settings beyond those of the small deployments, such as `bounds.revocation_closed=true`.
pub type FurtherSettings = &'static [&'static str];

pub struct Cluster {
    root: PathBuf,
    folder: PathBuf,
    network: [u8; 2],
    ports: Ports,
    gateways: u8,
    nodes: Vec<Node>,
}

struct Node {
    name: String,
    program: &'static str,
    process: Option<Child>,
}

impl Cluster {
    /// Writes the settings and starts all processes. `root` is the root of the repository.
    pub fn start(root: &Path, gateways: u8, further: FurtherSettings) -> Cluster {
        let folder = std::env::temp_dir().join(format!("rushcourse-review-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (network, ports) = free_network();
        let mut cluster = Cluster {
            root: root.to_path_buf(),
            folder,
            network,
            ports,
            gateways,
            nodes: Vec::new(),
        };
        for number in 1..=CONTROLLERS {
            cluster.add_node(number, true, further);
        }
        for number in 1..=gateways {
            cluster.add_node(number, false, further);
        }
        for index in 0..cluster.nodes.len() {
            cluster.spawn(index);
        }
        cluster
    }

    fn add_node(&mut self, number: u8, is_controller: bool, further: FurtherSettings) {
        let (kind, last) = if is_controller {
            ("core", number)
        } else {
            ("frontend", GATEWAY_BASE + number)
        };
        let name = format!("{kind}-{number}");
        let settings = self.settings(&name, number, last, is_controller, true, further);
        fs::write(self.settings_path(&name), settings).expect("the settings can be written");
        let program = if is_controller {
            "target/release/controller"
        } else {
            "target/release/gateway"
        };
        self.nodes.push(Node {
            name,
            program,
            process: None,
        });
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.conf"))
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(last), port))
    }

    fn settings(
        &self,
        name: &str,
        number: u8,
        last: u8,
        is_controller: bool,
        first: bool,
        further: FurtherSettings,
    ) -> String {
        let (ip, ports) = (self.ip(last), self.ports);
        let zone = Self::zone(number);
        let class = if is_controller { "core" } else { "frontend" };
        let serves = if is_controller {
            "control_plane"
        } else {
            "frontend"
        };
        let mut text = format!(
            "node_name={name}\nrole={}\nmachine_class={class}\nserves={serves}\nip_address={ip}\nzone={zone}\nregion=armor\n",
            if is_controller {
                "controller"
            } else {
                "gateway"
            }
        );
        for zone in ZONES {
            let _ = writeln!(text, "zones.{zone}=armor");
        }
        if is_controller {
            let data = self.folder.join(format!("{name}-data"));
            fs::create_dir_all(&data).expect("a data folder");
            let _ = writeln!(
                text,
                "listen_addresses.control_plane={ip}:{}\ndata_directory={}",
                ports.control,
                data.display()
            );
        } else {
            let _ = writeln!(
                text,
                "listen_addresses.front_http={ip}:{}\nlisten_addresses.readiness={ip}:{}",
                ports.front, ports.readiness
            );
        }
        let seeds: Vec<String> = (1..=3)
            .map(|seed| self.address(seed, ports.control).to_string())
            .collect();
        let (memory, files, share, disk) = if is_controller {
            (256, 4096, 0.3, 256)
        } else {
            (260, 4100, 0.2, 0)
        };
        let _ = write!(
            text,
            "internal_port_range={},{}\nseed_nodes={}\nfirst_start={first}\nloss_counted={is_controller}\n\
             limits.cpu_share={share}\nlimits.cpu_cores=1\nlimits.memory_mb={memory}\nlimits.file_descriptors={files}\n\
             limits.link_speed_mbps=1000.0\nlimits.disk_mb={disk}\ndiscovery_source=registration\nentry_kind=virtual_address\n\
             heartbeat_interval_s=1.5\ncontracts=base,drain,config,cost,retry,recover,keys\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.in_touch_s=3\nbounds.acknowledge_s=5\nbounds.catch_up_s=4\n\
             bounds.drain_s=2.5\nbounds.grace_period_s=6\nbounds.loss_slack_s=0.2\nbounds.configuration_apply_s=2.5\n\
             bounds.version_revert_s=0.25\nbounds.outer_stretch_s=8\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_budget_slack=56\nbounds.key_window_s=60\nbounds.recovery_s=15\nconfiguration_mode=highest\n",
            ports.internal,
            ports.internal + 15,
            seeds.join(",")
        );
        for line in further {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Zone of the machine with this number.
    pub fn zone(number: u8) -> &'static str {
        ZONES[usize::from(number - 1) % ZONES.len()]
    }

    fn spawn(&mut self, index: usize) {
        let settings = self.settings_path(&self.nodes[index].name);
        let node = &mut self.nodes[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)));
        let mut command = Command::new(self.root.join(node.program));
        command
            .current_dir(&self.root)
            .env_clear()
            .env("RUSHCOURSE_NODE_FILE", settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        // SAFETY: `prctl` takes numbers and touches no memory, so it may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let process = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a log file"))
            .spawn();
        node.process = Some(
            process.unwrap_or_else(|error| panic!("{} does not start: {error}", node.program)),
        );
        record::line(&format!("start {}", node.name));
    }

    fn index(&self, name: &str) -> usize {
        let found = self.nodes.iter().position(|node| node.name == name);
        found.unwrap_or_else(|| panic!("no node {name}"))
    }

    /// Sends a signal to the process of a node.
    pub fn signal(&self, name: &str, signal: i32) {
        let process = self.nodes[self.index(name)]
            .process
            .as_ref()
            .expect("a running process");
        record::line(&format!("signal {signal} to {name}"));
        // SAFETY: `kill` takes two numbers; the process is a child that has not been waited for.
        let _ = unsafe { kill(process.id() as i32, signal) };
    }

    /// Waits for the process of a node to end.
    pub fn wait(&mut self, name: &str, limit: Duration) -> bool {
        let index = self.index(name);
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let process = self.nodes[index]
                .process
                .as_mut()
                .expect("a running process");
            if let Ok(Some(status)) = process.try_wait() {
                record::line(&format!("{name} has ended: {status}"));
                self.nodes[index].process = None;
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Starts a node that has ended again, as the platform does: with `first_start=false`.
    pub fn restart(&mut self, name: &str) {
        let path = self.settings_path(name);
        let settings = fs::read_to_string(&path).expect("the settings");
        fs::write(
            path,
            settings.replace("first_start=true", "first_start=false"),
        )
        .expect("the settings");
        let index = self.index(name);
        self.spawn(index);
    }

    /// Empties the data folder of a node that has ended.
    pub fn wipe(&self, name: &str) {
        let data = self.folder.join(format!("{name}-data"));
        let _ = fs::remove_dir_all(&data);
        fs::create_dir_all(&data).expect("a data folder");
        record::line(&format!("the disk of {name} is empty"));
    }

    /// `control_plane` addresses.
    pub fn directors(&self) -> Vec<SocketAddr> {
        (1..=CONTROLLERS)
            .map(|number| self.address(number, self.ports.control))
            .collect()
    }

    /// `front_http` address of a gateway.
    pub fn front(&self, number: u8) -> SocketAddr {
        self.address(GATEWAY_BASE + number, self.ports.front)
    }

    /// Address for a host.
    pub fn host_address(&self, number: u8) -> SocketAddr {
        self.address(HOST_BASE + number, self.ports.host)
    }

    /// Puts a configuration as the operator does. Returns whether it was acknowledged.
    pub fn put(&self, configuration: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut pause = Duration::from_millis(100);
        for director in self.directors().iter().cycle() {
            let head = format!(
                "PUT /-/configuration HTTP/1.1\r\nHost: {director}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                configuration.len()
            );
            let answer = call(
                *director,
                &head,
                configuration.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.as_ref().map_or(0, Message::status);
            record::line(&format!(
                "operator puts a configuration at {director}: {status}"
            ));
            if status == 200 {
                return true;
            }
            if Instant::now() > until || (400..500).contains(&status) {
                return false;
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        false
    }

    /// Whether a gateway says that it is ready.
    pub fn is_ready(&self, number: u8) -> bool {
        let address = self.address(GATEWAY_BASE + number, self.ports.readiness);
        let head = format!("GET /-/ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
        call(address, &head, &[], Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all gateways are ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            if (1..=self.gateways).all(|number| self.is_ready(number)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(process) = &mut node.process {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Chooses a network of loopback addresses on which the ports are free.
fn free_network() -> ([u8; 2], Ports) {
    let seed = std::process::id();
    for attempt in 0..200u32 {
        let mixed = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(attempt.wrapping_mul(40_503));
        let network = [64 + (mixed >> 8) as u8 % 128, (mixed >> 16) as u8];
        let first = 20_000 + (mixed >> 20) as u16 % 10_000;
        let ports = Ports {
            control: first,
            front: first + 1,
            readiness: first + 2,
            host: first + 3,
            internal: first + 10,
        };
        let is_free = |last: u8| {
            let ip = Ipv4Addr::new(127, network[0], network[1], last);
            (first..first + 26).all(|port| TcpListener::bind((ip, port)).is_ok())
        };
        if [
            1,
            2,
            3,
            4,
            GATEWAY_BASE + 1,
            GATEWAY_BASE + 2,
            HOST_BASE + 1,
        ]
        .into_iter()
        .all(is_free)
        {
            return (network, ports);
        }
    }
    panic!("no free ports on loopback");
}
