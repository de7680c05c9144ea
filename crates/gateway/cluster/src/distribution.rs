//! Which gateway gets which hosts. Each service has a policy and tables of its own ([`crate::service_tables`]); every
//! gateway that takes its tables from this controller takes part in all of them.

use crate::host_registry::HostEntry;
use crate::service_tables::{GatewayUpdate, ServiceTables, TableView, policy_time};
use rushcourse_messages::HostState;
use rushcourse_policy::interface::{
    Channel, ChannelSettings, Event, FleetSettings, HostEntry as PolicyHost, HostListKind,
    HostSettings, Idempotency, Ms, Readiness, RequestClass, Settings,
};
use rushcourse_types::{NodeId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A gateway's requests to a service during an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    /// Attempts at the service's hosts.
    pub(crate) attempts: u32,
    /// Those of them that failed.
    pub(crate) failures: u32,
    /// The span that was counted.
    pub(crate) interval: Duration,
}

/// The tables of all services, and the gateways that take them from here.
pub struct Distribution {
    zones: Vec<Arc<str>>,
    local_zone: usize,
    drain_timeout: Duration,
    services: BTreeMap<Arc<str>, ServiceTables>,
    /// Each with the index of its zone in `zones`.
    gateways: BTreeMap<NodeId, usize>,
}

impl Distribution {
    pub(crate) fn new(
        zones: Vec<Arc<str>>,
        local_zone: &str,
        drain_timeout: Duration,
    ) -> Distribution {
        Distribution {
            local_zone: zone_index(&zones, local_zone),
            zones,
            drain_timeout,
            services: BTreeMap::new(),
            gateways: BTreeMap::new(),
        }
    }

    /// All tables, for status pages.
    pub fn tables(&self) -> Vec<TableView> {
        self.services
            .values()
            .flat_map(ServiceTables::views)
            .collect()
    }

    /// Applies hosts that are new or have changed.
    pub(crate) fn update_hosts<'a>(
        &mut self,
        now: Timestamp,
        changed: impl Iterator<Item = &'a HostEntry>,
    ) -> Vec<GatewayUpdate> {
        let mut entries: BTreeMap<Arc<str>, Vec<PolicyHost>> = BTreeMap::new();
        for host in changed {
            let service = host.record().service.clone();
            entries.entry(service).or_default().push(self.entry(host));
        }
        let mut updates = Vec::new();
        for (service, entries) in entries {
            let mut events = vec![Event::HostsListed {
                kind: HostListKind::Delta,
                entries,
            }];
            if !self.services.contains_key(&service) {
                self.add_service(service.clone());
                events.extend(
                    self.gateways
                        .iter()
                        .map(|(node, zone)| joined(*node, *zone)),
                );
            }
            if let Some(tables) = self.services.get_mut(&service) {
                updates.extend(tables.handle(now, events));
            }
        }
        updates
    }

    /// Adds a gateway that takes its tables from here from now on.
    pub(crate) fn add_gateway(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        zone: &str,
    ) -> Vec<GatewayUpdate> {
        let zone = zone_index(&self.zones, zone);
        self.gateways.insert(gateway, zone);
        self.handle_everywhere(now, |_| vec![joined(gateway, zone)])
    }

    /// Removes a gateway that takes its tables from here no more.
    pub(crate) fn remove_gateway(&mut self, now: Timestamp, gateway: NodeId) -> Vec<GatewayUpdate> {
        if self.gateways.remove(&gateway).is_none() {
            return Vec::new();
        }
        for tables in self.services.values_mut() {
            tables.unbind(gateway);
        }
        self.handle_everywhere(now, |_| vec![left(gateway)])
    }

    /// A gateway has applied the update of a revision, and all updates before it.
    pub(crate) fn acknowledge(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        service: &str,
        revision: u16,
    ) -> Vec<GatewayUpdate> {
        let event = Event::Acknowledged {
            ack_number: revision,
            proxy: gateway.0,
            elapsed: 0.0,
            channel: Channel::Dedicated,
        };
        self.handle_of_gateway(now, gateway, service, event)
    }

    /// A gateway reports the requests that came to it for a service.
    pub(crate) fn report_load(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        service: &str,
        load: Load,
    ) -> Vec<GatewayUpdate> {
        let event = Event::TrafficReported {
            proxy: gateway.0,
            class: 0,
            attempts: f64::from(load.attempts),
            failed: f64::from(load.failures),
            span: policy_span(load.interval),
        };
        self.handle_of_gateway(now, gateway, service, event)
    }

    /// Calls the policies whose timers are due.
    pub(crate) fn run_due_timers(&mut self, now: Timestamp) -> Vec<GatewayUpdate> {
        self.handle_everywhere(now, |tables| tables.take_due_timers(now))
    }

    /// Passes events to the policies of all services that have any.
    fn handle_everywhere(
        &mut self,
        now: Timestamp,
        events: impl Fn(&mut ServiceTables) -> Vec<Event>,
    ) -> Vec<GatewayUpdate> {
        let mut updates = Vec::new();
        for tables in self.services.values_mut() {
            let events = events(tables);
            if !events.is_empty() {
                updates.extend(tables.handle(now, events));
            }
        }
        updates
    }

    /// Passes an event of a gateway to a service's policy, if both are known here.
    fn handle_of_gateway(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        service: &str,
        event: Event,
    ) -> Vec<GatewayUpdate> {
        if !self.gateways.contains_key(&gateway) {
            return Vec::new();
        }
        let tables = self.services.get_mut(service);
        tables.map_or_else(Vec::new, |tables| tables.handle(now, vec![event]))
    }

    fn add_service(&mut self, service: Arc<str>) {
        let tables = ServiceTables::new(service.clone(), self.settings());
        self.services.insert(service, tables);
    }

    fn entry(&self, host: &HostEntry) -> PolicyHost {
        let record = host.record();
        let readiness = match host.state() {
            HostState::Ready => Readiness::Ready,
            HostState::Draining => Readiness::Draining,
            HostState::Gone => Readiness::Gone,
        };
        PolicyHost {
            host: record.id.clone(),
            zone: zone_index(&self.zones, &record.zone),
            cell: 0,
            readiness,
            weight: f64::from(record.slots.max(1)),
            started_at: host.warming_since().map_or(0.0, policy_time),
        }
    }

    fn settings(&self) -> Settings {
        let class = RequestClass {
            target_latency: 500.0,
            deadline: 2000.0,
            value: 1.0,
            idempotency: Idempotency::Idempotent,
            is_zone_bound: false,
            is_write: false,
        };
        Settings {
            classes: vec![class],
            fleet: FleetSettings {
                zones: self.zones.len(),
                own_zone: Some(self.local_zone),
                directors: 1,
                ..FleetSettings::default()
            },
            // The channel is a session: some thousand table entries a second, an answer within a few milliseconds.
            channel: ChannelSettings {
                max_queued_lines: 4000.0,
                lines_per_second: 4000.0,
                lines_per_message: 1.0,
                message_window: 10_000.0,
                mean_transit: 20.0,
                max_transit: 500.0,
                ..ChannelSettings::default()
            },
            // Slow start is the policy's: a tenth, rising over 10 s. Hosts say how long they warm up, not how much.
            hosts: HostSettings {
                drain_grace: policy_span(self.drain_timeout),
                start_capacity: 1.0,
                has_listed_weights: true,
                ..HostSettings::default()
            },
            report_interval: 1000.0,
            ..Settings::default()
        }
    }
}

/// The index of a zone in `zones`. A zone that is not known counts as the first.
fn zone_index(zones: &[Arc<str>], zone: &str) -> usize {
    zones.iter().position(|known| &**known == zone).unwrap_or(0)
}

/// A span in the policy's unit, milliseconds with fractions. Whole milliseconds are converted exactly.
fn policy_span(span: Duration) -> Ms {
    span.as_nanos() as Ms / 1e6
}

fn joined(gateway: NodeId, zone: usize) -> Event {
    Event::ProxyJoined {
        proxy: gateway.0,
        zone,
        rate: 1.0,
        is_fresh: true,
        channel: Channel::Dedicated,
    }
}

fn left(gateway: NodeId) -> Event {
    Event::ProxyLeft {
        proxy: gateway.0,
        channel: Channel::Dedicated,
    }
}
