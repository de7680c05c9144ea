//! Configuration of a session, and the part of it that a reload may replace.

use crate::limits::SessionLimits;
use bytes::Bytes;
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::{Ms, Settings};
use rushcourse_xds::StreamConfig;
use std::net::SocketAddr;

/// Addresses of the services that a director connects to. A reload may change them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Address of the relay, which delivers orders to proxies.
    pub relay: SocketAddr,
    /// Address of the discovery service, which lists the hosts.
    pub discovery: SocketAddr,
}

/// Configuration that a session is created with.
pub struct SessionConfig {
    /// Settings of the policy, fixed until the next restart.
    pub settings: Settings,
    /// Names of zones and request classes, in the order of their numeric identifiers.
    pub names: Names,
    /// Time in milliseconds over which events are collected into one batch for the policy.
    pub batch_interval: Ms,
    /// Initial addresses of the relay and the discovery service.
    pub addresses: ServiceAddresses,
    /// Bounds on connections and buffers, derived from the limits of the process.
    pub limits: SessionLimits,
    /// Whether a relay is used; without it, proxies are reached by xDS streams only.
    pub has_relay: bool,
    /// Configuration of the xDS streams; `None` if no streams are served.
    pub streams: Option<StreamConfig>,
    /// The last known list of hosts in discovery's encoding, used until discovery responds.
    pub cached_endpoints: Bytes,
}

/// Values of a reloaded configuration that apply without a restart.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// New addresses; connections to changed addresses are replaced.
    pub addresses: ServiceAddresses,
    /// New configuration of the xDS streams; `None` ends all streams.
    pub streams: Option<StreamConfig>,
    /// Log lines, one for each changed setting that takes effect only after a restart.
    pub needs_restart: Vec<String>,
}
