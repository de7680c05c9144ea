//! What operators set for streams, and the limits that follow from a process's memory and descriptors.

use rushcourse_policy::interface::{Ms, ProxyId};
use std::collections::BTreeMap;

/// How a node's id names a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentities {
    /// An id is this and the proxy's number, as `relay-17`.
    pub prefix: String,
    /// Ids that don't follow the prefix, and their proxies.
    pub names: BTreeMap<String, ProxyId>,
}

impl Default for NodeIdentities {
    fn default() -> NodeIdentities {
        NodeIdentities {
            prefix: "relay-".into(),
            names: BTreeMap::new(),
        }
    }
}

/// How many streams are held at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// Streams that peers opened.
    pub max_streams: usize,
    /// Those of them that have not identified themselves.
    pub max_unidentified: usize,
    /// Report streams to hosts.
    pub max_report_streams: usize,
}

/// Settings of all streams.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamConfig {
    /// How node ids name proxies.
    pub identities: NodeIdentities,
    /// This run of the process. It is part of each version, so that a version of an earlier run is never taken for one
    /// that this run has sent.
    pub incarnation: u64,
    /// How many streams are held at a time.
    pub limits: StreamLimits,
    /// ms within which a stream has to identify itself (`join_within_ms`).
    pub join_timeout: Ms,
    /// ms after which a stream ends whose transport does not accept a response (`take_within_ms`).
    pub accept_timeout: Ms,
    /// Whether hosts are asked to report their load out of band (`ask_hosts`).
    pub request_host_reports: bool,
}
