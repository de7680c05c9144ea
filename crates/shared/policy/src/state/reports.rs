//! What proxies reported of hosts, by the zone of the proxies.

use super::attempts::AttemptTotals;
use crate::interface::{HostId, Ms, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A host as proxies of a zone see it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneHost {
    zone: ZoneId,
    host: HostId,
}

/// Decayed totals of what proxies of each zone observed at each host.
#[derive(Debug, Default)]
pub(crate) struct HostReports {
    totals: BTreeMap<ZoneHost, AttemptTotals>,
    /// Totals that were last added to before this are too old to judge by.
    pub valid_since: Ms,
    /// Time until the effect of an update shows in the totals.
    pub feedback_delay: Ms,
}

impl HostReports {
    /// No reports yet.
    pub fn new(feedback_delay: Ms) -> HostReports {
        HostReports { feedback_delay, ..HostReports::default() }
    }

    /// Adds what proxies of a zone observed at a host.
    pub fn record(&mut self, zone: ZoneId, host: HostId, now: Ms, decay: Ms, counted: &AttemptTotals) {
        self.totals.entry(ZoneHost { zone, host }).or_default().record(now, decay, counted);
    }

    /// What proxies of a zone observed at a host, if anything.
    pub fn get(&self, zone: ZoneId, host: &HostId) -> Option<&AttemptTotals> {
        self.totals.get(&ZoneHost { zone, host: host.clone() })
    }

    /// All totals, by zone and then by host, old ones included.
    pub fn iter(&self) -> impl Iterator<Item = (ZoneId, &HostId, &AttemptTotals)> {
        self.totals.iter().map(|(key, totals)| (key.zone, &key.host, totals))
    }

    /// Totals that are not too old to judge by.
    pub fn recent(&self) -> impl Iterator<Item = (ZoneId, &HostId, &AttemptTotals)> {
        self.iter().filter(|(_, _, totals)| totals.updated_at >= self.valid_since)
    }

    /// Forgets what all proxies observed at a host.
    pub fn forget(&mut self, host: &HostId) {
        self.totals.retain(|key, _| key.host != *host);
    }

    /// Forgets what proxies of some zones observed at a host.
    pub fn forget_in(&mut self, zones: &BTreeSet<ZoneId>, host: &HostId) {
        self.totals.retain(|key, _| key.host != *host || !zones.contains(&key.zone));
    }

    /// Number of totals.
    pub fn len(&self) -> usize {
        self.totals.len()
    }
}
