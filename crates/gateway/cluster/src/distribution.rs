//! Assigns hosts to gateways. Each service has its own load balancing policy and endpoint tables
//! ([`crate::service_tables`]). Every gateway whose primary is this controller receives a table for each service.

use crate::host_registry::HostEntry;
use crate::policy_adapter::{
    Load, gateway_joined, gateway_left, load_reported, policy_host, policy_settings,
    update_acknowledged,
};
use crate::service_tables::{GatewayUpdate, ServiceTables, TableView};
use rushcourse_policy::interface::{Event, HostEntry as PolicyHost, HostListKind, ZoneId};
use rushcourse_types::{NodeId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The endpoint tables of all services, and the gateways whose primary is this controller.
pub struct Distribution {
    zones: Vec<Arc<str>>,
    local_zone: ZoneId,
    drain_timeout: Duration,
    services: BTreeMap<Arc<str>, ServiceTables>,
    /// Maps each gateway to the index of its zone in `zones`.
    gateways: BTreeMap<NodeId, ZoneId>,
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

    /// A snapshot of all tables for the status page, ordered by service and table id.
    pub fn tables(&self) -> Vec<TableView> {
        self.services
            .values()
            .flat_map(ServiceTables::views)
            .collect()
    }

    /// Passes new and changed hosts to the policies of their services. Adds services that are not known yet.
    pub(crate) fn update_hosts<'a>(
        &mut self,
        now: Timestamp,
        changed: impl Iterator<Item = &'a HostEntry>,
    ) -> Vec<GatewayUpdate> {
        let mut entries: BTreeMap<Arc<str>, Vec<PolicyHost>> = BTreeMap::new();
        for host in changed {
            let service = host.record().service.clone();
            let zone = zone_index(&self.zones, &host.record().zone);
            entries
                .entry(service)
                .or_default()
                .push(policy_host(host, zone));
        }
        let mut updates = Vec::new();
        for (service, entries) in entries {
            let mut events = vec![Event::HostsListed {
                kind: HostListKind::Delta,
                entries,
            }];
            if !self.services.contains_key(&service) {
                self.add_service(service.clone());
                let gateways = self.gateways.iter();
                events.extend(gateways.map(|(node, zone)| gateway_joined(*node, *zone)));
            }
            if let Some(tables) = self.services.get_mut(&service) {
                updates.extend(tables.handle(now, events));
            }
        }
        updates
    }

    /// Adds a gateway that selected this controller as its primary, and returns its complete tables.
    pub(crate) fn add_gateway(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        zone: &str,
    ) -> Vec<GatewayUpdate> {
        let zone = zone_index(&self.zones, zone);
        self.gateways.insert(gateway, zone);
        self.handle_in_all_services(now, |_| vec![gateway_joined(gateway, zone)])
    }

    /// Removes a gateway whose primary is no longer this controller. The returned updates are for other gateways.
    pub(crate) fn remove_gateway(&mut self, now: Timestamp, gateway: NodeId) -> Vec<GatewayUpdate> {
        if self.gateways.remove(&gateway).is_none() {
            return Vec::new();
        }
        for tables in self.services.values_mut() {
            tables.unbind(gateway);
        }
        self.handle_in_all_services(now, |_| vec![gateway_left(gateway)])
    }

    /// Handles a gateway's acknowledgement that it applied the update with this revision and all earlier ones.
    pub(crate) fn acknowledge(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        service: &str,
        revision: u16,
    ) -> Vec<GatewayUpdate> {
        let event = update_acknowledged(gateway, revision);
        self.handle_gateway_event(now, gateway, service, event)
    }

    /// Handles a gateway's report of its attempts at the hosts of a service.
    pub(crate) fn report_load(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        service: &str,
        load: Load,
    ) -> Vec<GatewayUpdate> {
        let event = load_reported(gateway, load);
        self.handle_gateway_event(now, gateway, service, event)
    }

    /// Runs the policies that have timers due at `now`.
    pub(crate) fn run_due_timers(&mut self, now: Timestamp) -> Vec<GatewayUpdate> {
        self.handle_in_all_services(now, |tables| tables.take_due_timers(now))
    }

    /// Computes events for each service and passes them to its policy. Services without events are skipped.
    fn handle_in_all_services(
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

    /// Passes an event of a gateway to a service's policy. Ignored if the gateway or the service is unknown.
    fn handle_gateway_event(
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
        let settings = policy_settings(self.zones.len(), self.local_zone, self.drain_timeout);
        let tables = ServiceTables::new(service.clone(), settings);
        self.services.insert(service, tables);
    }
}

/// The index of `zone` in `zones`, or 0 if it is not listed.
fn zone_index(zones: &[Arc<str>], zone: &str) -> ZoneId {
    zones.iter().position(|known| &**known == zone).unwrap_or(0)
}
