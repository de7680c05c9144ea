//! Host records and heartbeats exchanged between controllers, and the endpoint table entries sent to gateways.

use rushcourse_types::{CallSequence, Millis};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether a host accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    /// The host accepts new requests.
    Ready,
    /// The host gets no new requests and finishes running ones, since it is shutting down. Also sent to gateways while the
    /// heartbeats of a host have timed out, after which it may become ready again.
    Draining,
    /// The host has deregistered and never returns. Within a controller also the state of a host that has timed out.
    Gone,
}

/// The state of one host instance. An instance is one run of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Instance id, chosen by the host.
    pub id: Arc<str>,
    /// The service whose requests the host handles.
    pub service: Arc<str>,
    /// The zone of the host's machine.
    pub zone: Arc<str>,
    /// IPv4 address and port for requests, such as `10.1.0.34:8080`.
    pub address: Arc<str>,
    /// Number of requests the host processes concurrently, at least 1.
    pub slots: u32,
    /// Whether the host accepts new requests.
    pub state: HostState,
    /// Sequence number of the host's newest call. Records with a lower one are outdated.
    pub sequence: CallSequence,
    /// Remaining warm-up time reported in the newest call; 0 for a warm host.
    pub warm_up: Millis,
    /// Time since the host was last seen, when the record was sent.
    pub age: Millis,
}

/// A heartbeat that changed nothing in the host's record except its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance id of the host.
    pub host: Arc<str>,
    /// The sequence number of the heartbeat call.
    pub sequence: CallSequence,
}

/// An entry of a gateway's endpoint table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointWeight {
    /// The host to which the gateway may send requests.
    pub host: HostRecord,
    /// Relative share of requests, at least 0. In a table update, 0 removes the entry.
    pub weight: f32,
}
