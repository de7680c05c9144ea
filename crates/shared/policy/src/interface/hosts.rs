//! The list of hosts, and what hosts report.

use super::ids::{HostId, Ms, ZoneId};

/// Whether a host takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes no new requests.
    Draining,
    /// It has ended.
    Gone,
}

/// What a list of hosts covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListKind {
    /// Changed entries only.
    Delta,
    /// All entries.
    Full,
    /// All entries as they were known before a start; they may be old.
    Cached,
    /// None: a call failed, or the subscription ended.
    Unavailable,
}

/// A host as listed.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// The group of hosts that recognize each other's repeated requests.
    pub cell: u32,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Its share of the requests beside other hosts; 0 and below stand for 1.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_at: Ms,
}

/// What a host reported of its load, as far as it did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// The part of its processors in use.
    pub cpu_utilization: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Requests being served.
    pub in_flight: Option<f64>,
}
