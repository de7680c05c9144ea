//! Entries of the host list, and the load that hosts report.

use super::ids::{HostId, Ms, ZoneId};

/// Whether a host accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new requests.
    Ready,
    /// Completes its in-flight requests and accepts no new ones.
    Draining,
    /// Has terminated.
    Gone,
}

/// Completeness of a host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListKind {
    /// Only the changed entries.
    Delta,
    /// All entries. Hosts that are not in the list are gone.
    Full,
    /// All entries as stored before a restart, possibly outdated. Handled like `Full`.
    Cached,
    /// No entries, because a call failed or the subscription ended.
    Unavailable,
}

/// An entry of the host list.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// Unique name of the host.
    pub host: HostId,
    /// Zone in which the host runs.
    pub zone: ZoneId,
    /// Group of hosts that share their deduplication of keyed requests.
    pub cell: u32,
    /// Whether the host accepts requests.
    pub readiness: Readiness,
    /// Share of the requests relative to other hosts. Values of 0 and below are replaced by 1.
    pub weight: f64,
    /// Time of the host's last start; 0 if it is unknown or long ago.
    pub started_at: Ms,
}

/// Load that a host reported about itself. Missing values are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// Fraction of the CPU capacity in use, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Number of requests that wait in a queue.
    pub queued: Option<f64>,
    /// Number of requests that are being processed.
    pub in_flight: Option<f64>,
}
