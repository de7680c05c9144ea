//! Hosts as last listed by the discovery service.

use rushcourse_director_protocol::discovery::{EndpointList, EntryError, ListedHost};
use rushcourse_policy::interface::{HostEntry, HostId, HostListKind, Readiness, ZoneId};
use std::collections::BTreeMap;
use std::fmt;

/// Latest usable list entry of a host.
#[derive(Clone, Debug)]
struct KnownHost {
    entry: HostEntry,
    /// Listening address; empty if the entry has none.
    address: String,
}

/// Reason for skipping an entry of a list.
#[derive(Debug)]
pub enum SkippedEntry {
    /// The entry is malformed or its host name is invalid.
    Unreadable(EntryError),
    /// The entry has an unknown phase or zone.
    Unknown {
        /// Name of the listed host.
        host: HostId,
        /// Phase as listed, known or not.
        phase: String,
        /// Zone name as listed, known or not.
        zone: String,
    },
}

impl fmt::Display for SkippedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SkippedEntry::Unreadable(error) => error.fmt(f),
            SkippedEntry::Unknown { host, phase, zone } => {
                write!(f, "{host}: phase {phase:?}, zone {zone:?}")
            }
        }
    }
}

impl std::error::Error for SkippedEntry {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SkippedEntry::Unreadable(error) => Some(error),
            SkippedEntry::Unknown { .. } => None,
        }
    }
}

/// Result of [`EndpointTable::apply`].
#[derive(Debug, Default)]
pub struct AppliedList {
    /// Entries for the policy, in list order. A known host whose entry was skipped for its phase or zone keeps its former
    /// entry.
    pub entries: Vec<HostEntry>,
    /// Entries that could not be used, in list order.
    pub skipped: Vec<SkippedEntry>,
}

/// Table of known hosts by name, kept up to date from complete lists and deltas.
#[derive(Default)]
pub struct EndpointTable {
    hosts: BTreeMap<HostId, KnownHost>,
}

impl EndpointTable {
    /// Applies a list. A [`HostListKind::Delta`] updates the hosts that it names; any other list replaces the table. Hosts
    /// listed as gone are removed. `zones` holds the zone names in the order of their identifiers.
    pub fn apply(
        &mut self,
        list: &EndpointList,
        kind: HostListKind,
        zones: &[String],
    ) -> AppliedList {
        let mut applied = AppliedList::default();
        for host in list.hosts() {
            let known = match host {
                Ok(host) => self.convert(&host, zones).or_else(|skipped| {
                    applied.skipped.push(skipped);
                    self.hosts.get(host.id.as_ref()).cloned().ok_or(())
                }),
                Err(error) => {
                    applied.skipped.push(SkippedEntry::Unreadable(error));
                    Err(())
                }
            };
            if let Ok(known) = known {
                let entry = known.entry.clone();
                self.hosts.insert(entry.host.clone(), known);
                applied.entries.push(entry);
            }
        }
        self.remove_unlisted(kind, &applied.entries);
        applied
    }

    /// Removes gone hosts and, unless the list is a delta, hosts that it does not name.
    fn remove_unlisted(&mut self, kind: HostListKind, entries: &[HostEntry]) {
        let is_listed = |host: &HostId| entries.iter().any(|entry| entry.host == *host);
        self.hosts.retain(|host, known| {
            known.entry.readiness != Readiness::Gone
                && (kind == HostListKind::Delta || is_listed(host))
        });
    }

    fn convert(&self, listed: &ListedHost, zones: &[String]) -> Result<KnownHost, SkippedEntry> {
        let host: HostId = listed.id.as_ref().into();
        let readiness = readiness(&listed.phase);
        let zone = zones
            .iter()
            .position(|zone| *zone == listed.zone)
            .or_else(|| self.known_zone_if_gone(&host, readiness));
        let (Some(readiness), Some(zone)) = (readiness, zone) else {
            return Err(SkippedEntry::Unknown {
                host,
                phase: listed.phase.to_string(),
                zone: listed.zone.to_string(),
            });
        };
        Ok(KnownHost {
            entry: HostEntry {
                host,
                zone,
                cell: listed.cell as u32,
                readiness,
                weight: listed.weight,
                started_at: listed.started_at,
            },
            address: listed.address.to_string(),
        })
    }

    /// Zone of a known host that is listed as gone, because such an entry may lack its zone.
    fn known_zone_if_gone(&self, host: &HostId, readiness: Option<Readiness>) -> Option<ZoneId> {
        let known = self.hosts.get(host)?;
        (readiness == Some(Readiness::Gone)).then_some(known.entry.zone)
    }

    /// Number of known hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether the table holds no hosts, as before the first list.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Iterates over all known hosts with their listening addresses, which are empty where unknown.
    pub fn iter(&self) -> impl Iterator<Item = (&HostEntry, &String)> + Clone {
        self.hosts
            .values()
            .map(|known| (&known.entry, &known.address))
    }

    /// Returns the listening address of a host, or `None` if the host or its address is unknown.
    pub fn address(&self, host: &HostId) -> Option<&String> {
        let known = self.hosts.get(host)?;
        (!known.address.is_empty()).then_some(&known.address)
    }

    /// Returns the identifier of a known host by name.
    pub fn find(&self, name: &str) -> Option<HostId> {
        let (host, _) = self.hosts.get_key_value(name)?;
        Some(host.clone())
    }
}

/// Converts a listed phase; `None` if it is unknown.
fn readiness(phase: &str) -> Option<Readiness> {
    match phase {
        "Ready" => Some(Readiness::Ready),
        "Terminating" => Some(Readiness::Draining),
        "Gone" => Some(Readiness::Gone),
        _ => None,
    }
}
