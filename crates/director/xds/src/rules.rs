//! What operators set for the streams, and the bounds that follow from a process's limits.

use rushcourse_policy::interface::{Ms, ProxyId};
use std::collections::BTreeMap;

/// How a node's identity names a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Identities {
    /// `id` is this and the proxy's number, as `relay-17`.
    pub prefix: String,
    /// Names that stand for a proxy and follow no rule.
    pub names: BTreeMap<String, ProxyId>,
}

impl Default for Identities {
    fn default() -> Identities {
        Identities {
            prefix: "relay-".into(),
            names: BTreeMap::new(),
        }
    }
}

/// Bounds of what is held at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Streams of relays, and those of them that have not said who they are.
    pub streams: usize,
    pub strangers: usize,
    /// Report streams to hosts.
    pub nodes: usize,
}

/// What operators set; the defaults suit an install with hundreds of relays.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub identities: Identities,
    /// Told apart from those of other lives of this director: versions of another epoch are never taken for held.
    pub epoch: u64,
    pub limits: Limits,
    /// ms within which a stream must say who it is.
    pub join_within: Ms,
    /// ms after which a stream whose transport takes nothing is ended.
    pub take_within: Ms,
    /// Whether hosts are asked for their load out of band.
    pub ask_hosts: bool,
}
