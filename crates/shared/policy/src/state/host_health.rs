//! Ejections and deratings of hosts, derived from the reports of proxies.

use crate::interface::{ByHost, HostId, Ms, ZoneId};
use std::collections::BTreeSet;
use std::fmt;

/// Evidence against a host at which almost all attempts from some zones fail.
#[derive(Debug, Default)]
pub(crate) struct Outlier {
    /// Attempts of the proxies in these zones.
    pub attempts: f64,
    /// Zones of the proxies whose attempts fail.
    pub zones: BTreeSet<ZoneId>,
}

impl fmt::Display for Outlier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let zones: Vec<String> = self.zones.iter().map(ToString::to_string).collect();
        write!(f, "zones={}", zones.join(","))
    }
}

/// Temporary removal of a host from the tables of some zones, followed by slow start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// Zones of the proxies from whose tables the host is removed.
    pub zones: BTreeSet<ZoneId>,
    /// End of the ejection, and start of the slow start.
    pub until: Ms,
    /// Whether an attempt has succeeded since the end of the ejection.
    pub has_recovered: bool,
    /// Number of consecutive ejections, without a complete slow start between them.
    pub count: u32,
}

impl Ejection {
    /// Starts or extends the ejection: it lasts until `until` and also covers the given zones.
    pub fn begin(&mut self, until: Ms, zones: BTreeSet<ZoneId>) {
        self.until = until;
        self.zones.extend(zones);
        self.has_recovered = false;
        self.count += 1;
    }
}

/// Reduced weight of a host that is more saturated than the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Derating {
    pub factor: f64,
    pub changed_at: Ms,
}

/// Ejections and deratings by host. Hosts without an entry are healthy.
#[derive(Debug, Default)]
pub(crate) struct HostHealth {
    pub ejections: ByHost<Ejection>,
    pub deratings: ByHost<Derating>,
}

impl HostHealth {
    /// The derating of a host, or a factor of 1 for a host that was never derated.
    pub fn derating(&self, host: &HostId) -> Derating {
        self.deratings.get(host).copied().unwrap_or(Derating { factor: 1.0, changed_at: 0.0 })
    }

    /// Drops the ejection and the derating of a host.
    pub fn remove(&mut self, host: &HostId) {
        self.ejections.remove(host);
        self.deratings.remove(host);
    }
}
