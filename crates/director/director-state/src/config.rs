//! What a session starts from, and what of it a reload may change.

use crate::limits::SessionLimits;
use bytes::Bytes;
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::{Ms, Settings};
use rushcourse_xds::StreamConfig;
use std::net::SocketAddr;

/// Where the services are that a director connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// The relay.
    pub relay: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
}

/// What a session starts from.
pub struct SessionConfig {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of zones and request classes.
    pub names: Names,
    /// How long inputs are collected before the policy is asked what follows from them.
    pub batch_interval: Ms,
    /// Where the services are.
    pub addresses: ServiceAddresses,
    /// What may be held at a time.
    pub limits: SessionLimits,
    /// Whether there is a relay: without one, proxies are reached by streams alone.
    pub has_relay: bool,
    /// How streams of proxies and hosts are served, if they are.
    pub streams: Option<StreamConfig>,
    /// Discovery's list as last known, in its own form.
    pub cached_endpoints: Bytes,
}

/// What a configuration that was read again changes.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// Where the services are from now on.
    pub addresses: ServiceAddresses,
    /// How streams of proxies and hosts are served from now on, if they are.
    pub streams: Option<StreamConfig>,
    /// What differs and needs a restart, a line for the log each.
    pub needs_restart: Vec<String>,
}
