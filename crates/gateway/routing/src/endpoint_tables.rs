//! The endpoint tables that this gateway is bound to, one a service, and what its attempts met at their hosts.

use crate::ended_hosts::EndedHosts;
use crate::load_balancing::{self, Candidate};
use crate::upstream_host::{HostObservation, UpstreamHost};
use rushcourse_messages::{EndpointWeight, HostRecord, HostState};
use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The host that an attempt goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct HostChoice {
    /// The host's id, which names one run of a server.
    pub id: Arc<str>,
    /// Where it listens, as `address:port`.
    pub address: Arc<str>,
}

/// What this gateway's attempts at a service came to over a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUsage {
    /// The service's name.
    pub service: Arc<str>,
    /// Attempts that were started.
    pub attempts: u32,
    /// Attempts that ended without a response.
    pub failures: u32,
}

/// The endpoint table of one service.
#[derive(Default)]
struct EndpointTable {
    hosts: BTreeMap<Arc<str>, UpstreamHost>,
    attempts: u32,
    failures: u32,
}

impl EndpointTable {
    fn remove_unneeded_hosts(&mut self) {
        self.hosts.retain(|_, host| host.is_needed());
    }

    fn available_hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        let available = self.hosts.iter().filter(|(_, host)| host.is_available());
        available.map(|(id, _)| id)
    }
}

/// The endpoint tables of all services that this gateway forwards requests to.
pub struct EndpointTables {
    zone: Arc<str>,
    services: BTreeMap<Arc<str>, EndpointTable>,
    ended: EndedHosts,
}

impl EndpointTables {
    /// No tables yet; `zone`: this gateway's own.
    pub fn new(zone: &str) -> EndpointTables {
        EndpointTables {
            zone: zone.into(),
            services: BTreeMap::new(),
            ended: EndedHosts::default(),
        }
    }

    /// Takes the whole table that a service is bound to now. Hosts of the old one that are not in it go.
    pub fn replace(&mut self, service: &Arc<str>, endpoints: Vec<EndpointWeight>) {
        let kept: Vec<Arc<str>> = endpoints
            .iter()
            .map(|endpoint| endpoint.host.id.clone())
            .collect();
        self.update(service, endpoints);
        let Some(table) = self.services.get_mut(service) else {
            return;
        };
        for (id, host) in &mut table.hosts {
            if !kept.contains(id) {
                host.remove_line();
            }
        }
        table.remove_unneeded_hosts();
    }

    /// Takes lines of a service's table that changed; a weight of 0 removes a host.
    pub fn update(&mut self, service: &Arc<str>, endpoints: Vec<EndpointWeight>) {
        for endpoint in endpoints {
            self.update_endpoint(service, endpoint);
        }
        if let Some(table) = self.services.get_mut(service) {
            table.remove_unneeded_hosts();
        }
    }

    fn update_endpoint(
        &mut self,
        service: &Arc<str>,
        EndpointWeight { host, weight }: EndpointWeight,
    ) {
        if host.state == HostState::Gone && weight > 0.0 {
            self.ended.insert(&host.id);
        }
        let is_unavailable = self.is_unavailable(&host);
        let is_in_own_zone = host.zone == self.zone;
        let table = self.services.entry(service.clone()).or_default();
        let known = table
            .hosts
            .entry(host.id)
            .or_insert_with(|| UpstreamHost::new(host.address.clone(), is_in_own_zone));
        known.set_line(host.address, f64::from(weight));
        known.set_unavailable(is_unavailable);
    }

    fn is_unavailable(&self, host: &HostRecord) -> bool {
        host.state != HostState::Ready || self.ended.contains(&host.id)
    }

    /// Takes states of hosts that hold at once, whatever tables say. Returns the hosts that get no new requests any more.
    pub fn apply_host_states(&mut self, hosts: &[HostRecord]) -> Vec<Arc<str>> {
        let mut unavailable = Vec::new();
        for host in hosts {
            if host.state == HostState::Gone {
                self.ended.insert(&host.id);
            }
            let is_unavailable = self.is_unavailable(host);
            for table in self.services.values_mut() {
                if let Some(known) = table.hosts.get_mut(&host.id) {
                    known.set_unavailable(is_unavailable);
                }
            }
            if is_unavailable {
                unavailable.push(host.id.clone());
            }
        }
        unavailable
    }

    /// Whether a service has a host that new requests may go to.
    pub fn has_available_host(&self, service: &str) -> bool {
        let table = self.services.get(service);
        table.is_some_and(|table| table.available_hosts().next().is_some())
    }

    /// Whether new requests for a service may go to this host.
    pub fn is_available(&self, service: &str, id: &str) -> bool {
        let table = self.services.get(service);
        let host = table.and_then(|table| table.hosts.get(id));
        host.is_some_and(UpstreamHost::is_available)
    }

    /// Chooses a host that was not tried yet and counts an attempt on it. `random` gives numbers from 0 up to 1.
    pub fn choose_host(
        &mut self,
        now: Timestamp,
        service: &str,
        tried: &[Arc<str>],
        random: impl FnMut() -> f64,
    ) -> Option<HostChoice> {
        let table = self.services.get_mut(service)?;
        let candidates = table
            .hosts
            .iter_mut()
            .filter(|(id, host)| host.is_available() && !tried.contains(id))
            .map(|(id, host)| Candidate { id, host })
            .collect();
        let Candidate { id, host } = load_balancing::choose(candidates, now, random)?;
        host.begin_request();
        table.attempts += 1;
        Some(HostChoice {
            id: id.clone(),
            address: host.address().clone(),
        })
    }

    /// An attempt that [`EndpointTables::choose_host`] counted has ended.
    pub fn record_attempt(
        &mut self,
        now: Timestamp,
        service: &str,
        id: &Arc<str>,
        observed: HostObservation,
    ) {
        let Some(table) = self.services.get_mut(service) else {
            return;
        };
        table.failures += u32::from(observed.is_failure());
        let Some(host) = table.hosts.get_mut(id) else {
            return;
        };
        host.end_request();
        host.record(now, observed);
        if !host.is_needed() {
            table.hosts.remove(id);
        }
    }

    /// An attempt that [`EndpointTables::choose_host`] counted was cancelled by its client, or never started.
    pub fn cancel_attempt(&mut self, service: &str, id: &Arc<str>) {
        let table = self.services.get_mut(service);
        if let Some(host) = table.and_then(|table| table.hosts.get_mut(id)) {
            host.end_request();
        }
    }

    /// Attempts and failures for each service since the last call.
    pub fn take_usage(&mut self) -> Vec<ServiceUsage> {
        let take = |(service, table): (&Arc<str>, &mut EndpointTable)| ServiceUsage {
            service: service.clone(),
            attempts: std::mem::take(&mut table.attempts),
            failures: std::mem::take(&mut table.failures),
        };
        self.services.iter_mut().map(take).collect()
    }

    /// Hosts of a service that new requests may go to.
    pub fn available_hosts(&self, service: &str) -> Vec<Arc<str>> {
        let table = self.services.get(service).into_iter();
        table
            .flat_map(EndpointTable::available_hosts)
            .cloned()
            .collect()
    }
}
