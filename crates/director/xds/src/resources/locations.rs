//! Where hosts are, as the membership list last had it.

use rushcourse_policy::interface::{HostId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Where a host is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HostLocation {
    /// The zone that it runs in.
    pub(crate) zone: ZoneId,
    /// host:port; empty where the list names none.
    pub(crate) address: String,
}

/// The locations of all hosts that are listed, or that a table names.
#[derive(Debug, Default)]
pub(super) struct HostLocations {
    by_host: BTreeMap<HostId, HostLocation>,
    by_address: BTreeMap<String, HostId>,
}

impl HostLocations {
    /// How many hosts have a location.
    pub(super) fn len(&self) -> usize {
        self.by_host.len()
    }

    /// The host that listens at an address.
    pub(super) fn host_at(&self, address: &str) -> Option<&HostId> {
        self.by_address.get(address)
    }

    /// Where a host is, if it has an address.
    pub(super) fn of(&self, host: &HostId) -> Option<&HostLocation> {
        self.by_host
            .get(host)
            .filter(|location| !location.address.is_empty())
    }

    /// The list has changed. Hosts that it dropped keep their location while a table names them. Returns the hosts that
    /// are new or have moved.
    pub(super) fn update(
        &mut self,
        listed: BTreeMap<HostId, HostLocation>,
        named_by_tables: &BTreeSet<HostId>,
    ) -> Vec<HostId> {
        let count_before = self.by_host.len();
        self.by_host
            .retain(|host, _| listed.contains_key(host) || named_by_tables.contains(host));
        let has_dropped = self.by_host.len() != count_before;
        let mut moved = Vec::new();
        for (host, location) in listed {
            if self.by_host.get(&host) != Some(&location) {
                self.by_host.insert(host.clone(), location);
                moved.push(host);
            }
        }
        if has_dropped || !moved.is_empty() {
            self.index_addresses();
        }
        moved
    }

    fn index_addresses(&mut self) {
        self.by_address = self
            .by_host
            .iter()
            .filter(|(_, location)| !location.address.is_empty())
            .map(|(host, location)| (location.address.clone(), host.clone()))
            .collect();
    }
}
