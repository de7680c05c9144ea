//! Zones and addresses of hosts, from the membership list.

use rushcourse_policy::interface::{HostId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Zone and address of a host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HostLocation {
    /// Index into the zones of the settings.
    pub(crate) zone: ZoneId,
    /// host:port; empty if the membership list has no address.
    pub(crate) address: String,
}

/// Locations of all hosts that are listed or that a table contains.
#[derive(Debug, Default)]
pub(super) struct HostLocations {
    by_host: BTreeMap<HostId, HostLocation>,
    by_address: BTreeMap<String, HostId>,
}

impl HostLocations {
    pub(super) fn len(&self) -> usize {
        self.by_host.len()
    }

    pub(super) fn host_at(&self, address: &str) -> Option<&HostId> {
        self.by_address.get(address)
    }

    /// The host's location; `None` if the host is unknown or has no address.
    pub(super) fn get(&self, host: &HostId) -> Option<&HostLocation> {
        self.by_host
            .get(host)
            .filter(|location| !location.address.is_empty())
    }

    /// Replaces the locations with those of the membership list, except that hosts in `named_by_tables` are kept.
    /// Returns the hosts that are new or have moved.
    pub(super) fn update(
        &mut self,
        listed: BTreeMap<HostId, HostLocation>,
        named_by_tables: &BTreeSet<HostId>,
    ) -> Vec<HostId> {
        let count_before = self.by_host.len();
        self.by_host
            .retain(|host, _| listed.contains_key(host) || named_by_tables.contains(host));
        let has_removed = self.by_host.len() != count_before;
        let mut moved = Vec::new();
        for (host, location) in listed {
            if self.by_host.get(&host) != Some(&location) {
                self.by_host.insert(host.clone(), location);
                moved.push(host);
            }
        }
        if has_removed || !moved.is_empty() {
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
