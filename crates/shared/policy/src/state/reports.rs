//! Reports of proxies about hosts, aggregated by zone of the proxies.

use super::attempts::AttemptTotals;
use crate::interface::{HostId, Ms, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Key of a total: the zone of the reporting proxies and the host that they used.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneHost {
    zone: ZoneId,
    host: HostId,
}

/// Decaying totals of attempts by zone of the proxies and host.
#[derive(Debug, Default)]
pub(crate) struct HostReports {
    totals: BTreeMap<ZoneHost, AttemptTotals>,
    /// Totals that were last updated before this time are not recent.
    pub valid_since: Ms,
    /// Time until the totals reflect the effect of an update, in ms.
    pub feedback_delay: Ms,
}

impl HostReports {
    /// Creates an empty set of totals. `feedback_delay` is in ms.
    pub fn new(feedback_delay: Ms) -> HostReports {
        HostReports { feedback_delay, ..HostReports::default() }
    }

    /// Adds a sample that proxies of a zone reported about a host. `decay` is the time constant of older ones.
    pub fn record(&mut self, zone: ZoneId, host: HostId, now: Ms, decay: Ms, sample: &AttemptTotals) {
        self.totals.entry(ZoneHost { zone, host }).or_default().record(now, decay, sample);
    }

    /// Totals that proxies of a zone reported about a host, recent or not; `None` if there are none.
    pub fn get(&self, zone: ZoneId, host: &HostId) -> Option<&AttemptTotals> {
        self.totals.get(&ZoneHost { zone, host: host.clone() })
    }

    /// All totals, sorted by zone and host, including ones that are not recent.
    pub fn iter(&self) -> impl Iterator<Item = (ZoneId, &HostId, &AttemptTotals)> {
        self.totals.iter().map(|(key, totals)| (key.zone, &key.host, totals))
    }

    /// Totals that were updated at or after `valid_since`.
    pub fn recent(&self) -> impl Iterator<Item = (ZoneId, &HostId, &AttemptTotals)> {
        self.iter().filter(|(_, _, totals)| totals.updated_at >= self.valid_since)
    }

    /// Removes the totals of a host in all zones.
    pub fn remove(&mut self, host: &HostId) {
        self.totals.retain(|key, _| key.host != *host);
    }

    /// Removes the totals of a host that proxies of the given zones reported.
    pub fn remove_in_zones(&mut self, zones: &BTreeSet<ZoneId>, host: &HostId) {
        self.totals.retain(|key, _| key.host != *host || !zones.contains(&key.zone));
    }

    /// Number of pairs of zone and host that have totals, recent or not.
    pub fn len(&self) -> usize {
        self.totals.len()
    }
}
