//! The director's state, its construction, and read access for diagnostics.

use crate::constants::FEEDBACK_INTERVALS;
use crate::interface::{
    ClassGroupView, DirectorView, EndpointView, Ms, ProxyId, ProxyView, Settings, TableView, WithdrawnHost,
    ZoneId,
};
use crate::state::{
    ChannelHost, ClassGroup, CrossZoneWeights, HostHealth, HostList, HostReports, Outbox, ProxyRegistry,
    TableSet, Update, ZoneState,
};
use std::collections::BTreeMap;

/// Current time and the schedule of rounds.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    /// Time passed to the current call of `Director::handle`.
    pub now: Ms,
    pub is_started: bool,
    /// Earliest time of the next round of ordinary updates.
    pub next_round: Ms,
    /// No update is sent before this time, so that proxies can join first.
    pub first_send_at: Ms,
}

/// Decides on tables, bindings and admission levels of the joined proxies. It turns events into actions,
/// and performs no I/O and reads no clock.
#[derive(Debug)]
pub struct Director {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) hosts: HostList,
    pub(crate) proxies: ProxyRegistry,
    pub(crate) tables: TableSet,
    /// Updates that failed the safety check, with the time of the first failure.
    pub(crate) pending: BTreeMap<Update, Ms>,
    pub(crate) outbox: Outbox,
    pub(crate) reports: HostReports,
    pub(crate) host_health: HostHealth,
    /// State by zone of the proxies; never empty.
    pub(crate) zones: Vec<ZoneState>,
    pub(crate) cross_zone_weights: CrossZoneWeights,
    /// Number of proxies and updates examined since the start.
    pub(crate) examined: u64,
}

impl Director {
    /// Creates a director without hosts or proxies. Its settings are checked by the first call of `handle`.
    pub fn new(settings: Settings) -> Director {
        let interval = settings.report_interval + settings.channel.mean_transit;
        let feedback_delay = FEEDBACK_INTERVALS * interval;
        let mask = |is_zone_bound: bool| {
            let classes = settings.classes.iter().enumerate();
            let of_group = classes.filter(|(_, class)| class.is_zone_bound == is_zone_bound);
            let classes = of_group.fold(0, |mask, (class, _)| mask | 1 << class);
            ClassGroup { classes, is_zone_bound }
        };
        let groups = [mask(false), mask(true)].into_iter().filter(|group| group.classes > 0).collect();
        let zones = vec![ZoneState::new(settings.classes.len()); settings.fleet.zones.max(1)];
        Director {
            settings,
            clock: Clock::default(),
            hosts: HostList::default(),
            proxies: ProxyRegistry::default(),
            tables: TableSet::new(groups),
            pending: BTreeMap::new(),
            outbox: Outbox::new(),
            reports: HostReports::new(feedback_delay),
            host_health: HostHealth::default(),
            zones,
            cross_zone_weights: CrossZoneWeights::default(),
            examined: 0,
        }
    }

    pub(crate) fn zone_ids(&self) -> std::ops::Range<ZoneId> {
        0..self.zones.len()
    }

    /// State of a zone. Unknown zone numbers are mapped to the last zone.
    pub(crate) fn zone(&self, zone: ZoneId) -> &ZoneState {
        &self.zones[zone.min(self.zones.len() - 1)]
    }

    /// Number of records held for hosts, tables, unacknowledged batches and pending updates. Useful to detect
    /// leaks.
    pub fn record_count(&self) -> usize {
        let host_health = self.host_health.ejections.len() + self.host_health.deratings.len();
        let hosts = self.hosts.by_id.len() + self.reports.len() + host_health;
        let tables = self.tables.by_id.len() + self.tables.current.len();
        hosts + tables + self.outbox.unacked.len() + self.pending.len()
    }

    /// Number of proxies and updates examined since the start: a measure of work that does not depend on the
    /// speed of the machine.
    pub fn examined_count(&self) -> u64 {
        self.examined
    }

    /// A snapshot of the modeled proxies and the tables, for diagnostics.
    pub fn view(&self) -> DirectorView {
        let tables = self.tables.by_id.iter();
        let withdrawn = self.hosts.by_channel().filter(ChannelHost::is_withdrawn);
        DirectorView {
            proxies: self.proxies.by_id.keys().map(|proxy| self.proxy_view(*proxy)).collect(),
            tables: tables
                .map(|(id, table)| TableView { table: *id, weights: table.weights.clone() })
                .collect(),
            withdrawn: withdrawn
                .map(|host| WithdrawnHost { host: host.id.clone(), channel: host.channel })
                .collect(),
            unacknowledged_lines: self.outbox.unacked_lines(),
            pending_updates: self.pending.len(),
        }
    }

    fn proxy_view(&self, id: ProxyId) -> ProxyView {
        let proxy = &self.proxies.by_id[&id];
        let groups = proxy.groups.iter().zip(&self.tables.groups).map(|(binding, group)| {
            let endpoints = binding
                .endpoints
                .iter()
                .map(|(host, endpoint)| EndpointView { host: host.clone(), certainty: endpoint.certainty });
            let (classes, table) = (group.classes, binding.table);
            ClassGroupView { classes, table, endpoints: endpoints.collect() }
        });
        ProxyView { proxy: id, zone: proxy.zone, groups: groups.collect() }
    }
}
