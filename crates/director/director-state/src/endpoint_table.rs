//! What discovery last told of each host.

use rushcourse_director_protocol::discovery::{EndpointList, EntryError, ListedHost};
use rushcourse_policy::interface::{HostEntry, HostId, HostListKind, Readiness, ZoneId};
use std::collections::BTreeMap;
use std::fmt;

/// A host as it was last listed.
#[derive(Clone, Debug)]
struct KnownHost {
    entry: HostEntry,
    /// Where it listens; empty if the list does not say.
    address: String,
}

/// Why an entry of a list was skipped.
#[derive(Debug)]
pub enum SkippedEntry {
    /// It can't be read.
    Unreadable(EntryError),
    /// Its phase or its zone is unknown.
    Unknown {
        /// The host's name.
        host: HostId,
        /// Its phase, as listed.
        phase: String,
        /// Its zone, as listed.
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

/// What a list says, as far as it can be used.
#[derive(Debug, Default)]
pub struct AppliedList {
    /// The hosts that it names.
    pub entries: Vec<HostEntry>,
    /// Entries that could not be used. A host that was known stays as it was.
    pub skipped: Vec<SkippedEntry>,
}

/// The hosts that are known, by their names.
#[derive(Default)]
pub struct EndpointTable {
    hosts: BTreeMap<HostId, KnownHost>,
}

impl EndpointTable {
    /// Applies a list. All but a [`HostListKind::Delta`] replace what was known.
    pub fn apply(
        &mut self,
        list: &EndpointList,
        kind: HostListKind,
        zones: &[String],
    ) -> AppliedList {
        let mut applied = AppliedList::default();
        for host in list.hosts() {
            let known = match host {
                Ok(host) => self.read(&host, zones).or_else(|skipped| {
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
        self.forget_unlisted(kind, &applied.entries);
        applied
    }

    /// Only what the list still names is remembered.
    fn forget_unlisted(&mut self, kind: HostListKind, entries: &[HostEntry]) {
        let is_listed = |host: &HostId| entries.iter().any(|entry| entry.host == *host);
        self.hosts.retain(|host, known| {
            known.entry.readiness != Readiness::Gone
                && (kind == HostListKind::Delta || is_listed(host))
        });
    }

    fn read(&self, listed: &ListedHost, zones: &[String]) -> Result<KnownHost, SkippedEntry> {
        let host: HostId = listed.id.as_ref().into();
        let readiness = readiness(&listed.phase);
        let zone = zones
            .iter()
            .position(|zone| *zone == listed.zone)
            .or_else(|| self.zone_of_gone(&host, readiness));
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

    /// A host that has gone may be listed without its zone.
    fn zone_of_gone(&self, host: &HostId, readiness: Option<Readiness>) -> Option<ZoneId> {
        let known = self.hosts.get(host)?;
        (readiness == Some(Readiness::Gone)).then_some(known.entry.zone)
    }

    /// Hosts that are known.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// All hosts: what was last told of each, and where it listens.
    pub fn iter(&self) -> impl Iterator<Item = (&HostEntry, &String)> + Clone {
        self.hosts
            .values()
            .map(|known| (&known.entry, &known.address))
    }

    /// Where a host listens, if the list says so.
    pub fn address(&self, host: &HostId) -> Option<&String> {
        let known = self.hosts.get(host)?;
        (!known.address.is_empty()).then_some(&known.address)
    }

    /// A host by its name, if it is known.
    pub fn find(&self, name: &str) -> Option<HostId> {
        let (host, _) = self.hosts.get_key_value(name)?;
        Some(host.clone())
    }
}

/// A phase of the list; nothing if it is none that directors know.
fn readiness(phase: &str) -> Option<Readiness> {
    match phase {
        "Ready" => Some(Readiness::Ready),
        "Terminating" => Some(Readiness::Draining),
        "Gone" => Some(Readiness::Gone),
        _ => None,
    }
}
