//! Operator settings for streams, and the limits derived from the process's memory and file descriptors.

use rushcourse_policy::interface::{Ms, ProxyId};
use std::collections::BTreeMap;

/// The mapping from node ids to proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentities {
    /// A node id consists of this prefix and the proxy's number, as in `relay-17`.
    pub prefix: String,
    /// Node ids that don't have the prefix, with the proxy of each. Looked up before the prefix is tried.
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

/// Upper bounds on concurrent streams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// Streams opened by peers.
    pub max_streams: usize,
    /// Streams opened by peers that have not identified themselves yet; counted in `max_streams` too.
    pub max_unidentified: usize,
    /// Report streams to hosts.
    pub max_report_streams: usize,
}

/// Configuration of all streams.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamConfig {
    /// Maps node ids to proxies.
    pub identities: NodeIdentities,
    /// Identifies this run of the process. It is part of every resource version, so that a version from an earlier run
    /// never matches one that this run has sent.
    pub incarnation: u64,
    /// Upper bounds on concurrent streams.
    pub limits: StreamLimits,
    /// Time in which a stream has to identify itself, in ms (`join_within_ms`).
    pub join_timeout: Ms,
    /// Time in which the transport has to accept a response before the stream is ended, in ms (`take_within_ms`).
    pub accept_timeout: Ms,
    /// Whether hosts are asked for out-of-band load reports (`ask_hosts`).
    pub request_host_reports: bool,
}
