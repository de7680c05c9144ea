//! Connections to hosts that are kept while they are good, and how many of them may be open.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use indexmap::IndexMap;
use rushcourse_config::Service;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Part of a host's connections that all directors together use (ours).
const SHARE_PART: f64 = 0.9;

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: u64,
}

#[derive(Default)]
struct Pool {
    idle: VecDeque<Idle>,
    open: usize,
    shut: bool,
    used: u64,
}

/// Connections by host.
#[derive(Default)]
pub struct Pools {
    pools: BTreeMap<Arc<str>, Pool>,
    capacities: BTreeMap<String, u32>,
    members: u32,
}

impl Pools {
    pub fn members(&mut self, members: u32) {
        self.members = members;
    }

    pub fn capacities(&mut self, services: &IndexMap<String, Service>) {
        self.capacities = services
            .iter()
            .map(|s| (s.0.clone(), s.1.connection_capacity))
            .collect();
    }

    /// A host's new requests end: its idle connections go.
    pub fn shut(&mut self, host: &Arc<str>) {
        if let Some(pool) = self.pools.get_mut(host) {
            pool.shut = true;
            pool.idle.clear();
        }
    }

    fn most(&self, service: &str) -> usize {
        let all = f64::from(self.capacities.get(service).copied().unwrap_or(100));
        ((all * SHARE_PART / f64::from(self.members.max(1))) as usize).max(2)
    }

    pub fn take(&mut self, now: u64, host: &Arc<str>) -> Option<SendRequest<Full<Bytes>>> {
        let pool = self.pools.get_mut(host)?;
        pool.used = now;
        while let Some(idle) = pool.idle.pop_back() {
            if now < idle.until && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    pub fn may_open(&mut self, now: u64, service: &str, host: &Arc<str>) -> bool {
        let most = self.most(service);
        let pool = self.pools.entry(host.clone()).or_default();
        pool.used = now;
        if pool.open >= most {
            return false;
        }
        pool.open += 1;
        true
    }

    pub fn closed(&mut self, host: &Arc<str>) {
        if let Some(pool) = self.pools.get_mut(host) {
            pool.open = pool.open.saturating_sub(1);
        }
    }

    pub fn give_back(&mut self, host: &Arc<str>, sender: SendRequest<Full<Bytes>>, until: u64) {
        if let Some(pool) = self.pools.get_mut(host).filter(|p| !p.shut) {
            pool.idle.push_back(Idle { sender, until });
        }
    }

    pub fn sweep(&mut self, now: u64) {
        for pool in self.pools.values_mut() {
            pool.idle.retain(|i| now < i.until && !i.sender.is_closed());
        }
        self.pools
            .retain(|_, p| p.open > 0 || now < p.used + 60_000);
    }
}
