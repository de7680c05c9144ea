//! Protocol-independent description of a simulation run: hosts, proxies and timed events.

mod generate;

use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;

/// Names of the request classes: an idempotent one and [`NOT_IDEMPOTENT_CLASS`].
pub const CLASSES: [&str; 2] = ["look", "pay"];
/// The class whose requests may be retried only if the failed attempt provably did not run.
pub const NOT_IDEMPOTENT_CLASS: &str = CLASSES[1];
/// Duration of a run, in ms.
pub const RUN_LENGTH: Ms = 56_000.0;
/// Time at the end of a run in which proxies only report and the director restarts once, in ms.
pub const QUIET_PERIOD: Ms = 30_000.0;
/// Time at which tables are captured, in ms since the start. The director then restarts for the last time and rebuilds
/// all tables from scratch.
pub const FINAL_RESTART: Ms = RUN_LENGTH - 10_000.0;

/// Backend host to which proxies send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Unique name, as in the list of hosts.
    pub id: String,
    /// Index into [`Script::zones`].
    pub zone: usize,
}

/// A proxy that forwards requests to hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Proxy {
    /// Unique number by which the director addresses the proxy.
    pub number: u32,
    /// Index into [`Script::zones`].
    pub zone: usize,
    /// Client requests per second.
    pub rate: f64,
}

/// Phase of a host in the list of hosts. Discovery sends the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Drains: completes in-flight requests and accepts no new ones.
    Terminating,
    /// Has terminated and is left out of complete lists.
    Gone,
}

/// Outcome of a proxy's attempts at a host within one second.
#[derive(Clone, Debug, PartialEq)]
pub struct HostAttempts {
    /// Index into [`Script::hosts`].
    pub host: usize,
    /// Number of attempts, including failed ones.
    pub attempts: u64,
    /// Number of failed attempts.
    pub failed: u64,
    /// Mean latency of the successful attempts, in ms.
    pub mean_latency: Ms,
}

/// Requests of a class that a proxy admitted within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRequests {
    /// Number of admitted requests, including failed ones.
    pub admitted: u64,
    /// Number of admitted requests that failed.
    pub failed: u64,
}

/// Load report of a proxy for one second.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyReport {
    /// Index into [`Script::proxies`].
    pub proxy: usize,
    /// Attempts by host.
    pub hosts: Vec<HostAttempts>,
    /// Requests by class, in the order of [`CLASSES`].
    pub classes: [ClassRequests; 2],
}

/// An event of a script. Proxies and hosts are identified by their index in the script.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptEvent {
    /// A proxy connects to the director, directly or through the relay.
    ProxyJoins(usize),
    /// A proxy disconnects from the director.
    ProxyLeaves(usize),
    /// The host's entry in the list of hosts is added or changed.
    HostChanges {
        /// Index into [`Script::hosts`].
        host: usize,
        /// Phase that the entry has from now on.
        phase: Phase,
        /// Whether the host starts now. Otherwise its start time is unchanged.
        has_just_started: bool,
    },
    /// A proxy stops handling messages until `ProxyResumes`.
    ProxyStalls(usize),
    /// A stalled proxy resumes and handles the messages that it received meanwhile.
    ProxyResumes(usize),
    /// The platform's relay stops responding to calls until `RelayResumes`.
    RelayStalls,
    /// The platform's relay responds to calls again.
    RelayResumes,
    /// The director process ends and restarts immediately, without its state.
    DirectorRestarts,
    /// All proxies report the previous second.
    Reports(Vec<ProxyReport>),
}

impl ScriptEvent {
    /// Name of the event in statistics, or `None` for an event that ends a stall.
    fn kind(&self) -> Option<&'static str> {
        Some(match self {
            ScriptEvent::ProxyJoins(_) => "joins",
            ScriptEvent::ProxyLeaves(_) => "leaves",
            ScriptEvent::HostChanges {
                phase: Phase::Terminating,
                ..
            } => "drains",
            ScriptEvent::HostChanges {
                has_just_started: true,
                ..
            } => "cold starts",
            ScriptEvent::HostChanges { .. } => "ends",
            ScriptEvent::ProxyStalls(_) => "stalls",
            ScriptEvent::ProxyResumes(_) | ScriptEvent::RelayResumes => return None,
            ScriptEvent::RelayStalls => "relay stalls",
            ScriptEvent::DirectorRestarts => "restarts",
            ScriptEvent::Reports(_) => "reports",
        })
    }
}

/// An event of a script with the time at which it occurs.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Time since the start of the run, in ms.
    pub at: Ms,
    /// Event to apply at that time.
    pub event: ScriptEvent,
}

/// Input of a simulation run.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of the random number generator that the script was generated with.
    pub seed: u64,
    /// Names of the zones; hosts and proxies refer to them by index.
    pub zones: Vec<String>,
    /// All hosts, starting with those that are listed from the start.
    pub hosts: Vec<Host>,
    /// All proxies; they join and leave by events.
    pub proxies: Vec<Proxy>,
    /// Number of hosts that are listed from the start. The others start during the run.
    pub listed_at_start: usize,
    /// Events in order of time.
    pub events: Vec<TimedEvent>,
}

impl Script {
    /// Number of events by kind, without those that end a stall.
    pub fn event_kinds(&self) -> BTreeMap<&'static str, usize> {
        let mut kinds = BTreeMap::new();
        for kind in self.events.iter().filter_map(|timed| timed.event.kind()) {
            *kinds.entry(kind).or_default() += 1;
        }
        kinds
    }
}
