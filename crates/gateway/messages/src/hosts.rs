//! What controllers know of hosts, and what they send to gateways of them.

use rushcourse_types::{CallSequence, Millis};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether requests may go to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    /// It takes requests.
    Ready,
    /// It ends soon: no new requests.
    Draining,
    /// It deregistered, or it is taken for dead.
    Gone,
}

/// What a controller knows of one instance of a host: one run of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The instance's id.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it runs.
    pub zone: Arc<str>,
    /// Where it takes requests: IPv4 address and port.
    pub address: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether requests may go to it.
    pub state: HostState,
    /// Of its newest call.
    pub sequence: CallSequence,
    /// How much longer it is slow from its start, as it said in its newest call.
    pub warm_up: Millis,
    /// How long ago it was last seen, when this record was sent.
    pub age: Millis,
}

/// A heartbeat that changed nothing but the sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance's id.
    pub host: Arc<str>,
    /// Of the heartbeat.
    pub sequence: CallSequence,
}

/// A line of a gateway's endpoint table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointWeight {
    /// The host that requests may go to.
    pub host: HostRecord,
    /// Its share among the table's hosts, from 0 on; 0 removes it.
    pub weight: f32,
}
