//! What happens in a run, in the terms of no protocol.

mod draw;

use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;

/// The classes of requests: one that may be repeated, and one that may not.
pub const CLASSES: [&str; 2] = ["look", "pay"];
/// The class whose requests may not be repeated.
pub const NOT_IDEMPOTENT_CLASS: &str = CLASSES[1];
/// How long a run lasts, in ms.
pub const RUN_LENGTH: Ms = 56_000.0;
/// How long nothing happens at its end, in ms.
pub const QUIET_TAIL: Ms = 30_000.0;
/// In that tail the director restarts at this time, so that its tables are made from nothing once more.
pub const FINAL_RESTART: Ms = RUN_LENGTH - 10_000.0;

/// A host of the script.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: usize,
}

/// A proxy of the script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Proxy {
    /// Its number.
    pub number: u32,
    /// Its zone.
    pub zone: usize,
    /// Requests a second that it brings.
    pub rate: f64,
}

/// How a host stands in the list. The names are those of the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Terminating,
    /// It has ended.
    Gone,
}

/// What a proxy observed at a host within a second.
#[derive(Clone, Debug, PartialEq)]
pub struct HostAttempts {
    /// The index of the host.
    pub host: usize,
    /// Attempts.
    pub attempts: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Mean latency of the others, in ms.
    pub mean_latency: Ms,
}

/// Requests of a class that a proxy admitted within a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRequests {
    /// Requests.
    pub admitted: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// What one proxy reports of a second.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyReport {
    /// The index of the proxy.
    pub proxy: usize,
    /// What it observed at hosts.
    pub hosts: Vec<HostAttempts>,
    /// What came to it, by class.
    pub classes: [ClassRequests; 2],
}

/// Something that happens. Proxies and hosts are given by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptEvent {
    /// A proxy joins the director.
    ProxyJoins(usize),
    /// A proxy leaves.
    ProxyLeaves(usize),
    /// A host changes in the list.
    HostChanges {
        /// The host.
        host: usize,
        /// How it stands now.
        phase: Phase,
        /// It has just started.
        is_started: bool,
    },
    /// A proxy takes nothing and answers nothing from now on.
    ProxyStalls(usize),
    /// A proxy runs again.
    ProxyResumes(usize),
    /// Calls to the platform's relay stay unanswered from now on.
    RelayStalls,
    /// The relay takes calls again.
    RelayResumes,
    /// The director dies and comes back at once.
    DirectorRestarts,
    /// Each proxy reports the last second.
    Reports(Vec<ProxyReport>),
}

impl ScriptEvent {
    /// The kind of the event in statistics; none for the end of what another event began.
    fn kind(&self) -> Option<&'static str> {
        Some(match self {
            ScriptEvent::ProxyJoins(_) => "joins",
            ScriptEvent::ProxyLeaves(_) => "leaves",
            ScriptEvent::HostChanges {
                phase: Phase::Terminating,
                ..
            } => "drains",
            ScriptEvent::HostChanges {
                is_started: true, ..
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

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// ms since the start.
    pub at: Ms,
    /// What happens.
    pub event: ScriptEvent,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Script {
    /// What it was drawn from.
    pub seed: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Hosts; those that are listed from the start on come first.
    pub hosts: Vec<Host>,
    /// Proxies.
    pub proxies: Vec<Proxy>,
    /// How many hosts are listed from the start on; the others start in the run.
    pub listed_at_start: usize,
    /// Events by time.
    pub events: Vec<TimedEvent>,
}

impl Script {
    /// Events by kind, for a line that says what was played.
    pub fn event_kinds(&self) -> BTreeMap<&'static str, usize> {
        let mut kinds = BTreeMap::new();
        for kind in self.events.iter().filter_map(|timed| timed.event.kind()) {
            *kinds.entry(kind).or_default() += 1;
        }
        kinds
    }
}
