//! One director: what it was told, what it ordered, and what it makes of both.

use crate::interface::{
    ClassGroupView, DirectorView, EndpointView, Ms, ProxyId, ProxyView, Settings, TableView, WithdrawnHost,
    ZoneId,
};
use crate::state::{
    ChannelHost, ClassGroup, CrossZoneWeights, HostList, HostReports, HostVerdicts, Outbox, ProxyRegistry,
    TableSet, Update, ZoneState,
};
use crate::constants::FEEDBACK_INTERVALS;
use std::collections::BTreeMap;

/// The time of the step, and when to act.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    /// The time of the step in hand.
    pub now: Ms,
    /// The first step was made.
    pub is_started: bool,
    /// When the next round of ordinary updates is due.
    pub next_round: Ms,
    /// No order goes out before this.
    pub opens_at: Ms,
}

/// The decisions of one director: events go in, actions come out. It reads no clock and does no I/O.
#[derive(Debug)]
pub struct Director {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) hosts: HostList,
    pub(crate) proxies: ProxyRegistry,
    pub(crate) tables: TableSet,
    /// Updates that have not passed the check, since when.
    pub(crate) pending: BTreeMap<Update, Ms>,
    pub(crate) outbox: Outbox,
    pub(crate) reports: HostReports,
    pub(crate) verdicts: HostVerdicts,
    /// By zone of the proxies; one at least.
    pub(crate) zones: Vec<ZoneState>,
    pub(crate) cross_zone_weights: CrossZoneWeights,
    /// Proxies and updates examined since the start.
    pub(crate) examined: u64,
}

impl Director {
    /// A director that has seen no event yet.
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
            verdicts: HostVerdicts::default(),
            zones,
            cross_zone_weights: CrossZoneWeights::default(),
            examined: 0,
        }
    }

    /// All zones, by number.
    pub(crate) fn zone_ids(&self) -> std::ops::Range<ZoneId> {
        0..self.zones.len()
    }

    /// What holds for a zone's proxies; those of a zone that the settings do not know go by the last one.
    pub(crate) fn zone(&self, zone: ZoneId) -> &ZoneState {
        &self.zones[zone.min(self.zones.len() - 1)]
    }

    /// Number of records kept of hosts, tables and messages.
    pub fn record_count(&self) -> usize {
        let verdicts = self.verdicts.ejections.len() + self.verdicts.deratings.len();
        let hosts = self.hosts.by_id.len() + self.reports.len() + verdicts;
        let tables = self.tables.by_id.len() + self.tables.current.len();
        hosts + tables + self.outbox.unacked.len() + self.pending.len()
    }

    /// Proxies and updates examined since the start: work that grows with the fleet, whatever the machine.
    pub fn examined_count(&self) -> u64 {
        self.examined
    }

    /// What is held of proxies and tables, to look at.
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
