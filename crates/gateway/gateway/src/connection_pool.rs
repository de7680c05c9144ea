//! Connection pools, one for each host: idle connections for reuse, and a limit of open connections.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use indexmap::IndexMap;
use rushcourse_config::Service;
use rushcourse_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Fraction of a host's `connection_capacity` that all gateways together use.
const CAPACITY_FRACTION: f64 = 0.9;
/// Lower bound of a gateway's connections to a host, however many gateways share the host.
const MIN_CONNECTIONS: usize = 2;
/// `connection_capacity` of a service that the configuration does not list.
const DEFAULT_CAPACITY: u32 = 100;
/// A pool without open connections is removed this long after its last use.
const UNUSED_POOL_TIMEOUT: Duration = Duration::from_secs(60);

/// Handle that sends requests on an upstream HTTP/1.1 connection.
pub(crate) type UpstreamSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: UpstreamSender,
    expires_at: Timestamp,
}

#[derive(Default)]
struct HostPool {
    /// In the order in which they were returned. The newest, at the back, is reused first.
    idle: VecDeque<IdleConnection>,
    /// Connections that are idle, in use or being established.
    open_count: usize,
    /// The host accepts no new requests, so returned connections are closed.
    is_closed: bool,
    last_used_at: Timestamp,
}

/// The connection pools of all hosts, keyed by host id.
#[derive(Default)]
pub(crate) struct ConnectionPools {
    hosts: BTreeMap<Arc<str>, HostPool>,
    /// `connection_capacity` by service: connections that each of its hosts accepts in total.
    capacities: BTreeMap<String, u32>,
    gateway_count: u32,
}

impl ConnectionPools {
    /// Sets the number of gateways that share each host's capacity; 0 is treated as 1.
    pub(crate) fn set_gateway_count(&mut self, gateway_count: u32) {
        self.gateway_count = gateway_count;
    }

    /// Replaces the capacities by those of a new configuration.
    pub(crate) fn set_capacities(&mut self, services: &IndexMap<String, Service>) {
        self.capacities = services
            .iter()
            .map(|(name, service)| (name.clone(), service.connection_capacity))
            .collect();
    }

    /// Closes the idle connections of a host that accepts no new requests, and those returned later.
    pub(crate) fn close_host(&mut self, host: &Arc<str>) {
        if let Some(pool) = self.hosts.get_mut(host) {
            pool.is_closed = true;
            pool.idle.clear();
        }
    }

    /// Takes the most recently used idle connection that has neither expired nor been closed, discarding others.
    pub(crate) fn take_idle(&mut self, now: Timestamp, host: &Arc<str>) -> Option<UpstreamSender> {
        let pool = self.hosts.get_mut(host)?;
        pool.last_used_at = now;
        while let Some(connection) = pool.idle.pop_back() {
            if now < connection.expires_at && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Reserves a slot for a new connection. Returns false at the connection limit; otherwise
    /// [`ConnectionPools::release`] has to follow once the connection is closed or could not be established.
    pub(crate) fn reserve(&mut self, now: Timestamp, service: &str, host: &Arc<str>) -> bool {
        let max_connections = self.max_connections(service);
        let pool = self.hosts.entry(host.clone()).or_default();
        pool.last_used_at = now;
        if pool.open_count >= max_connections {
            return false;
        }
        pool.open_count += 1;
        true
    }

    /// Frees a slot taken by [`ConnectionPools::reserve`].
    pub(crate) fn release(&mut self, host: &Arc<str>) {
        if let Some(pool) = self.hosts.get_mut(host) {
            pool.open_count = pool.open_count.saturating_sub(1);
        }
    }

    /// Adds an idle connection, which may be reused until `expires_at`. Its last response must have been read
    /// completely.
    pub(crate) fn return_idle(
        &mut self,
        host: &Arc<str>,
        sender: UpstreamSender,
        expires_at: Timestamp,
    ) {
        let pool = self.hosts.get_mut(host);
        if let Some(pool) = pool.filter(|pool| !pool.is_closed) {
            pool.idle.push_back(IdleConnection { sender, expires_at });
        }
    }

    /// Drops expired and closed idle connections, and removes unused pools.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        for pool in self.hosts.values_mut() {
            pool.idle
                .retain(|connection| now < connection.expires_at && !connection.sender.is_closed());
        }
        self.hosts
            .retain(|_, pool| pool.open_count > 0 || now < pool.last_used_at + UNUSED_POOL_TIMEOUT);
    }

    /// Returns this gateway's share of the connection capacity of a host of a service.
    fn max_connections(&self, service: &str) -> usize {
        let capacity = self.capacities.get(service).copied();
        let capacity = f64::from(capacity.unwrap_or(DEFAULT_CAPACITY));
        let share = capacity * CAPACITY_FRACTION / f64::from(self.gateway_count.max(1));
        (share as usize).max(MIN_CONNECTIONS)
    }
}
