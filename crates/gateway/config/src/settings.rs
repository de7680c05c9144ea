//! The settings of a process, from its machine's settings file. Unknown fields are ignored.

use crate::seconds::duration_of;
use crate::settings_file::{SettingsError, SettingsFile};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// What a certificate must name, beside its machine, for a node to act as a controller.
pub const CONTROLLER_DNS_NAME: &str = "controller";

/// The same name in certificates made by versions before 0.2; still accepted.
pub const LEGACY_CONTROLLER_DNS_NAME: &str = "exchange";

/// s; shorter heartbeat intervals count as this.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.05;

/// The settings that a process reads at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Which machine it runs on.
    pub node: NodeIdentity,
    /// All zones, in the order of their names.
    pub zones: Vec<String>,
    /// Where it listens for clients, hosts and operators.
    pub listen_addresses: ListenAddresses,
    /// How it communicates with other nodes.
    pub peers: PeerSettings,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The folder of a controller's state.
    pub data_directory: Option<String>,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// How often a host sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// Machines that count, zones or regions that may be lost at once, whichever are more.
    pub tolerated_losses: usize,
    /// Figures of the users' rules.
    pub bounds: Bounds,
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

/// The machine that a process runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The machine's name.
    pub name: String,
    /// Where the machine's own addresses are.
    pub ip_address: Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
}

/// Where a process listens. Which addresses are set depends on what the machine serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For clients' requests.
    pub front_http: Option<SocketAddrV4>,
    /// For readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// For hosts and operators.
    pub control_plane: Option<SocketAddrV4>,
}

/// How nodes communicate with each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Ports of each machine that are free for traffic between nodes.
    pub ports: PortRange,
    /// `control_plane` addresses of some machines.
    pub seeds: Vec<SocketAddrV4>,
    /// With these, sessions between nodes go by TLS; without, the addresses of machines count.
    pub keys: Option<PeerKeyFiles>,
}

/// Ports from the first to the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port.
    pub first: u16,
    /// The highest port; not below the first one.
    pub last: u16,
}

/// Files in PEM form (`peers.certificate`, `peers.key`, `peers.authority`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerKeyFiles {
    /// The certificate that this machine presents.
    pub certificate: String,
    /// The key of that certificate.
    pub key: String,
    /// The authority that must have signed the certificates of other nodes.
    pub authority: String,
}

/// What a process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Megabytes of memory.
    pub memory_mb: f64,
    /// Descriptors that it may have open.
    pub file_descriptors: usize,
    /// Share of a core.
    pub cpu_share: f64,
}

/// Figures by the names of RULES.md.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long after its acknowledgement a host that drains may get requests.
    pub drain: Duration,
    /// How long a process that is asked to end may take.
    pub grace_period: Duration,
    /// Within which a configuration must be in force everywhere.
    pub configuration_apply: Duration,
    /// Retries for each request of the window.
    pub retry_budget_ratio: f64,
    /// The window of the retry budget.
    pub budget_window: Duration,
    /// Retries of the window beyond the ratio.
    pub retry_budget_slack: f64,
    /// How long an operation key is remembered.
    pub key_window: Duration,
    /// How soon after a machine has returned, or is new, the next loss has to be tolerated.
    pub catch_up: Duration,
}

impl NodeSettings {
    /// Reads a whole settings file. What it does not name has the default of DEPLOY.md's example.
    ///
    /// # Errors
    /// The first line or field that can't be used.
    pub fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
        let file = SettingsFile::read(text)?;
        let ports = read_ports(&file)?;
        let zone: String = file.required("zone", "a zone's name")?;
        let zones = read_zones(&file, &zone);
        let bounds = read_bounds(&file)?;
        let node = NodeIdentity {
            name: file.required("node_name", "the machine's name")?,
            ip_address: file.required("ip_address", "an IPv4 address")?,
            zone,
        };
        let listen_addresses = read_listen_addresses(&file)?;
        let seeds = file.list("seed_nodes", SOCKET_ADDRESS)?;
        let is_first_start = file.optional("first_start", "true or false")?;
        let data_directory = file.optional("data_directory", "a folder")?;
        let limits = read_limits(&file)?;
        let heartbeat_interval_s = file.number("heartbeat_interval_s", 1.5)?;
        let tolerated_losses = read_tolerated_losses(&file)?;
        let log_level = file.optional("log_level", "a level")?;
        let keys = read_peer_keys(&file)?;
        Ok(NodeSettings {
            node,
            zones,
            listen_addresses,
            peers: PeerSettings { ports, seeds, keys },
            is_first_start: is_first_start.unwrap_or(false),
            data_directory,
            limits,
            heartbeat_interval: duration_of(heartbeat_interval_s.max(MIN_HEARTBEAT_INTERVAL_S)),
            tolerated_losses,
            bounds,
            log_level: log_level.unwrap_or_else(|| "info".into()),
        })
    }
}

/// What an address has to be, for errors.
const SOCKET_ADDRESS: &str = "an address of the form 10.1.0.34:8544";

fn read_ports(file: &SettingsFile<'_>) -> Result<PortRange, SettingsError> {
    const NAME: &str = "internal_port_range";
    let ports: Vec<u16> = file.list(NAME, "a port")?;
    let &[first, last] = ports.as_slice() else {
        let reason = "must hold two ports, first and last".to_string();
        return Err(file.error(NAME, reason));
    };
    if first > last {
        return Err(file.error(NAME, format!("{first} is above {last}")));
    }
    Ok(PortRange { first, last })
}

/// The zones that the file names, the machine's own in any case.
fn read_zones(file: &SettingsFile<'_>, own: &str) -> Vec<String> {
    let mut zones: Vec<String> = file.names_below("zones.").map(String::from).collect();
    if !zones.iter().any(|zone| zone == own) {
        zones.push(own.to_string());
        zones.sort();
    }
    zones
}

fn read_bounds(file: &SettingsFile<'_>) -> Result<Bounds, SettingsError> {
    let span = |name: &str, default: f64| file.number(name, default).map(duration_of);
    Ok(Bounds {
        drain: span("bounds.drain_s", 2.5)?,
        grace_period: span("bounds.grace_period_s", 6.0)?,
        configuration_apply: span("bounds.configuration_apply_s", 2.5)?,
        retry_budget_ratio: file.number("bounds.retry_budget_ratio", 0.2)?,
        budget_window: span("bounds.budget_window_s", 10.0)?,
        retry_budget_slack: file.number("bounds.retry_budget_slack", 10.0)?,
        key_window: span("bounds.key_window_s", 60.0)?,
        catch_up: span("bounds.catch_up_s", 4.0)?,
    })
}

fn read_listen_addresses(file: &SettingsFile<'_>) -> Result<ListenAddresses, SettingsError> {
    let address = |name: &str| file.optional(name, SOCKET_ADDRESS);
    Ok(ListenAddresses {
        front_http: address("listen_addresses.front_http")?,
        readiness: address("listen_addresses.readiness")?,
        control_plane: address("listen_addresses.control_plane")?,
    })
}

fn read_limits(file: &SettingsFile<'_>) -> Result<ProcessLimits, SettingsError> {
    Ok(ProcessLimits {
        memory_mb: file.number("limits.memory_mb", 256.0)?,
        file_descriptors: file.number("limits.file_descriptors", 1024.0)? as usize,
        cpu_share: file.number("limits.cpu_share", 1.0)?,
    })
}

/// Machines, zones or regions that may be lost at once, whichever are more.
fn read_tolerated_losses(file: &SettingsFile<'_>) -> Result<usize, SettingsError> {
    let machines = file.number("fault_tolerance.machines", 0.0)?;
    let zones = file.number("fault_tolerance.zones", 0.0)?;
    let regions = file.number("fault_tolerance.regions", 0.0)?;
    Ok(machines.max(zones).max(regions) as usize)
}

/// All three files or none: half of them would be taken for safety that is not there.
fn read_peer_keys(file: &SettingsFile<'_>) -> Result<Option<PeerKeyFiles>, SettingsError> {
    let names = ["peers.certificate", "peers.key", "peers.authority"];
    if names.iter().all(|name| file.is_empty(name)) {
        return Ok(None);
    }
    let path = |name: &str| file.required(name, "a file, as the other two of peers.");
    let [certificate, key, authority] = names.map(path);
    Ok(Some(PeerKeyFiles {
        certificate: certificate?,
        key: key?,
        authority: authority?,
    }))
}
