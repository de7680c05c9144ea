//! Settings of a node, parsed from its settings file. Unknown fields are ignored.

use crate::seconds::duration_from_seconds;
use crate::settings_file::{SettingsError, SettingsFile};
use crate::usage_settings::{UsageSettings, read_usage_settings};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// DNS name that the certificate of a controller must contain, in addition to the IP address of its machine.
pub const CONTROLLER_DNS_NAME: &str = "controller";

/// DNS name that certificates created before version 0.2 contain instead of [`CONTROLLER_DNS_NAME`]; still accepted.
pub const LEGACY_CONTROLLER_DNS_NAME: &str = "exchange";

const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;
const BITS_PER_BYTE: f64 = 8.0;

/// Lower limit of the heartbeat interval, in seconds. Shorter intervals are raised to it.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.05;

/// Settings of a controller or gateway process, read at startup.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name, address and zone of the machine.
    pub node: NodeIdentity,
    /// Names of all zones, sorted; always contains the machine's own zone.
    pub zones: Vec<String>,
    /// Listening addresses for clients, hosts and operators.
    pub listen_addresses: ListenAddresses,
    /// Ports, seeds and TLS files for connections to other nodes.
    pub peers: PeerSettings,
    /// Whether a new cluster is being bootstrapped (`first_start`); default false.
    pub is_first_start: bool,
    /// Directory of a controller's state file. Gateways don't need it.
    pub data_directory: Option<String>,
    /// Resource limits of the process.
    pub limits: ProcessLimits,
    /// Interval at which hosts send heartbeats; at least 50 ms, default 1.5 s.
    pub heartbeat_interval: Duration,
    /// Number of simultaneous losses to tolerate: the highest of the `fault_tolerance.*` fields, default 0.
    pub tolerated_losses: usize,
    /// Service-level bounds, the `bounds.*` fields.
    pub bounds: Bounds,
    /// Usage reports to the platform; `None` if there are none.
    pub usage: Option<UsageSettings>,
    /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`; default `info`.
    pub log_level: String,
}

/// Identity of the machine that a process runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Name of the machine in logs and on status pages (`node_name`).
    pub name: String,
    /// IPv4 address of the machine, at which other nodes connect.
    pub ip_address: Ipv4Addr,
    /// Name of the availability zone of the machine.
    pub zone: String,
}

/// Listening addresses of a process. A missing address disables its listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for client requests; set on gateways.
    pub front_http: Option<SocketAddrV4>,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// Address for hosts and operators; set on controllers.
    pub control_plane: Option<SocketAddrV4>,
}

/// Settings of the connections between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Ports available on every machine for traffic between nodes.
    pub ports: PortRange,
    /// `control_plane` addresses of the controllers to contact first.
    pub seeds: Vec<SocketAddrV4>,
    /// Certificate and key files for TLS between nodes. Without them, peers are identified by their IP addresses.
    pub keys: Option<PeerKeyFiles>,
}

/// An inclusive range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// Lowest port of the range.
    pub first: u16,
    /// Highest port of the range; not below `first`.
    pub last: u16,
}

/// Paths of the PEM files for TLS between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerKeyFiles {
    /// Path of the certificate that this node presents (`peers.certificate`).
    pub certificate: String,
    /// Path of the private key of that certificate (`peers.key`).
    pub key: String,
    /// Path of the CA certificate that must have signed the certificates of other nodes (`peers.authority`).
    pub authority: String,
}

/// Resource limits of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Memory limit in megabytes; default 256.
    pub memory_mb: f64,
    /// Maximum number of open file descriptors; default 1024.
    pub file_descriptors: usize,
    /// CPU limit in cores; default 1.
    pub cpu_share: f64,
    /// Speed of the machine's network link in megabits per second; default 1,000.
    pub link_speed_mbps: f64,
    /// Size of the disk of the data directory in megabytes; default 256.
    pub disk_mb: f64,
}

impl ProcessLimits {
    /// Memory limit in bytes.
    pub fn memory_bytes(&self) -> f64 {
        self.memory_mb * BYTES_PER_MEGABYTE
    }

    /// Size of the disk of the data directory in bytes.
    pub fn disk_bytes(&self) -> f64 {
        self.disk_mb * BYTES_PER_MEGABYTE
    }

    /// Speed of the machine's network link in bytes per second.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_speed_mbps * BYTES_PER_MEGABYTE / BITS_PER_BYTE
    }
}

/// Service-level bounds, named and defined in RULES.md.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after acknowledging its drain during which a host may still get requests; default 2.5 s.
    pub drain: Duration,
    /// Time a process has to shut down gracefully; default 6 s.
    pub grace_period: Duration,
    /// Time within which a committed configuration must be applied on all gateways; default 2.5 s.
    pub configuration_apply: Duration,
    /// Retries allowed per request in the budget window; default 0.2.
    pub retry_budget_ratio: f64,
    /// Length of the sliding window of the retry budget; default 10 s.
    pub budget_window: Duration,
    /// Retries allowed per budget window in addition to the ratio; default 10.
    pub retry_budget_slack: f64,
    /// Time for which an operation key is deduplicated; default 60 s.
    pub key_window: Duration,
    /// Time after a machine joins or returns until the next loss must be tolerated; default 4 s.
    pub catch_up: Duration,
    /// Time after the acknowledgement of a configuration that removes an API key until no gateway accepts the key, even
    /// if it is cut off. `None` (`revocation_closed` is false, the default) leaves it unbounded. If bounded, 5 s by
    /// default (`revocation_s`).
    pub revocation: Option<Duration>,
}

impl NodeSettings {
    /// Parses a settings file. Missing optional fields get the defaults documented in DEPLOY.md.
    ///
    /// # Errors
    /// The first malformed line, or an invalid or missing field.
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
            heartbeat_interval: duration_from_seconds(
                heartbeat_interval_s.max(MIN_HEARTBEAT_INTERVAL_S),
            ),
            tolerated_losses,
            bounds,
            usage: read_usage_settings(&file)?,
            log_level: log_level.unwrap_or_else(|| "info".into()),
        })
    }
}

/// Description of a socket address for error messages.
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

/// Returns the sorted zone names of the `zones.*` fields, adding the machine's own zone if it is missing.
fn read_zones(file: &SettingsFile<'_>, own: &str) -> Vec<String> {
    let mut zones: Vec<String> = file.names_with_prefix("zones.").map(String::from).collect();
    if !zones.iter().any(|zone| zone == own) {
        zones.push(own.to_string());
        zones.sort();
    }
    zones
}

fn read_bounds(file: &SettingsFile<'_>) -> Result<Bounds, SettingsError> {
    let duration = |name: &str, default: f64| file.number(name, default).map(duration_from_seconds);
    Ok(Bounds {
        drain: duration("bounds.drain_s", 2.5)?,
        grace_period: duration("bounds.grace_period_s", 6.0)?,
        configuration_apply: duration("bounds.configuration_apply_s", 2.5)?,
        retry_budget_ratio: file.number("bounds.retry_budget_ratio", 0.2)?,
        budget_window: duration("bounds.budget_window_s", 10.0)?,
        retry_budget_slack: file.number("bounds.retry_budget_slack", 10.0)?,
        key_window: duration("bounds.key_window_s", 60.0)?,
        catch_up: duration("bounds.catch_up_s", 4.0)?,
        revocation: read_revocation(file)?,
    })
}

/// Returns `bounds.revocation_s` if `bounds.revocation_closed` is true.
fn read_revocation(file: &SettingsFile<'_>) -> Result<Option<Duration>, SettingsError> {
    let is_closed = file.optional("bounds.revocation_closed", "true or false")?;
    let seconds = file.number("bounds.revocation_s", 5.0)?;
    let is_closed = is_closed.unwrap_or(false);
    Ok(is_closed.then(|| duration_from_seconds(seconds)))
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
        link_speed_mbps: file.number("limits.link_speed_mbps", 1000.0)?,
        disk_mb: file.number("limits.disk_mb", 256.0)?,
    })
}

/// Returns the highest of the `fault_tolerance.*` fields.
fn read_tolerated_losses(file: &SettingsFile<'_>) -> Result<usize, SettingsError> {
    let machines = file.number("fault_tolerance.machines", 0.0)?;
    let zones = file.number("fault_tolerance.zones", 0.0)?;
    let regions = file.number("fault_tolerance.regions", 0.0)?;
    Ok(machines.max(zones).max(regions) as usize)
}

/// Reads the `peers.*` fields, which must be set all or not at all: a partial TLS setup is an error, not plain text.
fn read_peer_keys(file: &SettingsFile<'_>) -> Result<Option<PeerKeyFiles>, SettingsError> {
    let names = ["peers.certificate", "peers.key", "peers.authority"];
    if names.iter().all(|name| file.is_empty(name)) {
        return Ok(None);
    }
    let path = |name: &str| file.required(name, "a file, required if any peers.* file is set");
    let [certificate, key, authority] = names.map(path);
    Ok(Some(PeerKeyFiles {
        certificate: certificate?,
        key: key?,
        authority: authority?,
    }))
}
