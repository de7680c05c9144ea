//! Idle connections to hosts, kept for the next requests, and how many connections to each host may be open.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use indexmap::IndexMap;
use rushcourse_config::Service;
use rushcourse_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of a host's connections that all gateways together use (ours).
const CAPACITY_PART: f64 = 0.9;
/// Connections that a gateway may open to a host however many gateways share it (ours).
const MIN_CONNECTIONS: usize = 2;
/// A service's connections where the configuration has none of that name any more.
const DEFAULT_CAPACITY: u32 = 100;
/// How long a host's pool is remembered that has no connection and no use.
const UNUSED_POOL_TIMEOUT: Duration = Duration::from_secs(60);

/// The sending side of a connection to a host.
pub(crate) type UpstreamSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: UpstreamSender,
    expires_at: Timestamp,
}

#[derive(Default)]
struct HostPool {
    /// The one that was used last stands at the end, and is taken first.
    idle: VecDeque<IdleConnection>,
    /// Idle ones, those in use, and those being made.
    open: usize,
    /// The host takes no new requests: nothing is kept any more.
    is_closed: bool,
    last_used_at: Timestamp,
}

/// The connections to all hosts, by the host's id.
#[derive(Default)]
pub(crate) struct ConnectionPools {
    hosts: BTreeMap<Arc<str>, HostPool>,
    /// Connections that a host of each service takes from all callers together.
    capacities: BTreeMap<String, u32>,
    gateways: u32,
}

impl ConnectionPools {
    /// How many gateways share the hosts' connections.
    pub(crate) fn set_gateway_count(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Takes the capacities of a configuration's services.
    pub(crate) fn set_capacities(&mut self, services: &IndexMap<String, Service>) {
        self.capacities = services
            .iter()
            .map(|(name, service)| (name.clone(), service.connection_capacity))
            .collect();
    }

    /// A host takes no new requests any more: its idle connections are closed.
    pub(crate) fn close_host(&mut self, host: &Arc<str>) {
        if let Some(pool) = self.hosts.get_mut(host) {
            pool.is_closed = true;
            pool.idle.clear();
        }
    }

    /// An idle connection to a host that is still good, if there is one.
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

    /// Counts a connection that is about to be opened. Returns whether it may be; if so, [`ConnectionPools::release`] has
    /// to follow once it is closed.
    pub(crate) fn reserve(&mut self, now: Timestamp, service: &str, host: &Arc<str>) -> bool {
        let max_open = self.max_connections(service);
        let pool = self.hosts.entry(host.clone()).or_default();
        pool.last_used_at = now;
        if pool.open >= max_open {
            return false;
        }
        pool.open += 1;
        true
    }

    /// A connection that was counted is closed, or was not made.
    pub(crate) fn release(&mut self, host: &Arc<str>) {
        if let Some(pool) = self.hosts.get_mut(host) {
            pool.open = pool.open.saturating_sub(1);
        }
    }

    /// Keeps a connection whose last response was read whole, for requests until `expires_at`.
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

    /// Closes idle connections whose time is over, and forgets pools that are not used.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        for pool in self.hosts.values_mut() {
            pool.idle
                .retain(|connection| now < connection.expires_at && !connection.sender.is_closed());
        }
        self.hosts
            .retain(|_, pool| pool.open > 0 || now < pool.last_used_at + UNUSED_POOL_TIMEOUT);
    }

    /// How many connections this gateway may have open to a host of a service: its share of the host's capacity.
    fn max_connections(&self, service: &str) -> usize {
        let capacity = self.capacities.get(service).copied();
        let capacity = f64::from(capacity.unwrap_or(DEFAULT_CAPACITY));
        let share = capacity * CAPACITY_PART / f64::from(self.gateways.max(1));
        (share as usize).max(MIN_CONNECTIONS)
    }
}
