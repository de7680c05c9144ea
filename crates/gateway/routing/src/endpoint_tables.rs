//! The endpoint tables that this gateway received from its primary controller, one per service, combined with the
//! results of the gateway's own attempts.

use crate::ended_hosts::EndedHosts;
use crate::load_balancing::{self, Candidate};
use crate::upstream_host::{HostObservation, UpstreamHost};
use rushcourse_messages::{EndpointWeight, HostRecord, HostState};
use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The host that load balancing selected for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct HostChoice {
    /// Id of the host, unique to one run of its server process.
    pub id: Arc<str>,
    /// Listen address of the host in the form `address:port`.
    pub address: Arc<str>,
}

/// Attempt counters of one service since the previous [`EndpointTables::take_usage`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Name of the service, as in the configuration.
    pub service: Arc<str>,
    /// Number of attempts started, including retries and attempts that were cancelled later.
    pub attempts: u32,
    /// Number of attempts that ended with anything but [`HostObservation::Response`].
    pub failures: u32,
}

#[derive(Default)]
struct EndpointTable {
    hosts: BTreeMap<Arc<str>, UpstreamHost>,
    attempts: u32,
    failures: u32,
}

impl EndpointTable {
    fn remove_unused_hosts(&mut self) {
        self.hosts.retain(|_, host| host.is_in_use());
    }

    fn available_hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        let available = self.hosts.iter().filter(|(_, host)| host.is_available());
        available.map(|(id, _)| id)
    }
}

/// The endpoint tables of all services, from which the host for each attempt is selected.
pub struct EndpointTables {
    zone: Arc<str>,
    services: BTreeMap<Arc<str>, EndpointTable>,
    ended_hosts: EndedHosts,
}

impl EndpointTables {
    /// Creates an empty set of tables. `zone` is the zone of this gateway, whose hosts are preferred.
    pub fn new(zone: &str) -> EndpointTables {
        EndpointTables {
            zone: zone.into(),
            services: BTreeMap::new(),
            ended_hosts: EndedHosts::default(),
        }
    }

    /// Replaces the table of a service. Hosts that are missing from `endpoints` get no new requests.
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
                host.remove_endpoint();
            }
        }
        table.remove_unused_hosts();
    }

    /// Adds or updates the given hosts in the table of a service and leaves its other hosts unchanged. A weight of 0
    /// removes a host.
    pub fn update(&mut self, service: &Arc<str>, endpoints: Vec<EndpointWeight>) {
        for endpoint in endpoints {
            self.update_endpoint(service, endpoint);
        }
        if let Some(table) = self.services.get_mut(service) {
            table.remove_unused_hosts();
        }
    }

    fn update_endpoint(
        &mut self,
        service: &Arc<str>,
        EndpointWeight { host, weight }: EndpointWeight,
    ) {
        if host.state == HostState::Gone && weight > 0.0 {
            self.ended_hosts.insert(&host.id);
        }
        let is_unavailable = self.is_unavailable(&host);
        let is_in_own_zone = host.zone == self.zone;
        let table = self.services.entry(service.clone()).or_default();
        let known = table
            .hosts
            .entry(host.id)
            .or_insert_with(|| UpstreamHost::new(host.address.clone(), is_in_own_zone));
        known.set_endpoint(host.address, f64::from(weight));
        known.set_unavailable(is_unavailable);
    }

    fn is_unavailable(&self, host: &HostRecord) -> bool {
        host.state != HostState::Ready || self.ended_hosts.contains(&host.id)
    }

    /// Applies host states immediately in all tables, regardless of the states in earlier table updates. Returns the
    /// ids of the hosts that must not get new requests.
    pub fn apply_host_states(&mut self, hosts: &[HostRecord]) -> Vec<Arc<str>> {
        let mut unavailable = Vec::new();
        for host in hosts {
            if host.state == HostState::Gone {
                self.ended_hosts.insert(&host.id);
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

    /// Whether the table of a service has at least one host that is ready. Ejection is not considered.
    pub fn has_available_host(&self, service: &str) -> bool {
        let table = self.services.get(service);
        table.is_some_and(|table| table.available_hosts().next().is_some())
    }

    /// Whether the table of a service lists the host and the host is ready. Ejection is not considered.
    pub fn is_available(&self, service: &str, id: &str) -> bool {
        let table = self.services.get(service);
        let host = table.and_then(|table| table.hosts.get(id));
        host.is_some_and(UpstreamHost::is_available)
    }

    /// Selects an available host that is not in `tried` and counts an attempt as active on it. The caller must end the
    /// attempt with [`EndpointTables::record_attempt`] or [`EndpointTables::cancel_attempt`]. `random` returns values
    /// in `0.0..1.0`.
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

    /// Ends an attempt that [`EndpointTables::choose_host`] started and updates the host's latency and ejection.
    pub fn record_attempt(
        &mut self,
        now: Timestamp,
        service: &str,
        id: &Arc<str>,
        observation: HostObservation,
    ) {
        let Some(table) = self.services.get_mut(service) else {
            return;
        };
        table.failures += u32::from(observation.is_failure());
        let Some(host) = table.hosts.get_mut(id) else {
            return;
        };
        host.end_request();
        host.record(now, observation);
        if !host.is_in_use() {
            table.hosts.remove(id);
        }
    }

    /// Ends an attempt that [`EndpointTables::choose_host`] started without recording a result, because the client
    /// cancelled the request or the attempt was not sent.
    pub fn cancel_attempt(&mut self, service: &str, id: &Arc<str>) {
        let table = self.services.get_mut(service);
        if let Some(host) = table.and_then(|table| table.hosts.get_mut(id)) {
            host.end_request();
        }
    }

    /// Returns the attempt counters of all services and resets them.
    pub fn take_usage(&mut self) -> Vec<ServiceUsage> {
        let take = |(service, table): (&Arc<str>, &mut EndpointTable)| ServiceUsage {
            service: service.clone(),
            attempts: std::mem::take(&mut table.attempts),
            failures: std::mem::take(&mut table.failures),
        };
        self.services.iter_mut().map(take).collect()
    }

    /// Ids of a service's hosts that are listed in its table and ready, including ejected ones, in ascending order.
    pub fn available_hosts(&self, service: &str) -> Vec<Arc<str>> {
        let table = self.services.get(service).into_iter();
        table
            .flat_map(EndpointTable::available_hosts)
            .cloned()
            .collect()
    }
}
