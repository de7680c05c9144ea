//! The tables as they stand for proxies with a channel of their own: a mirror of what the module ordered, and what
//! of it each proxy is to hold. Orders in, assignments out; nothing is decided here.

use crate::messages::{ClusterLoadAssignment, Endpoint, Locality, Resource};
use crate::weights::{drop_per_million, scale_weights};
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

#[derive(Debug, Default)]
struct Table {
    lines: ByHost<f64>,
    levels: BTreeMap<ClassId, (f64, RetryPolicy)>,
}

/// Where a host is, as the list last had it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub zone: ZoneId,
    pub address: String,
}

#[derive(Debug)]
pub struct ResourceCache {
    zones: Vec<String>,
    classes: Vec<String>,
    /// What holds for a class that no level names.
    usual: (f64, RetryPolicy),
    /// Whether levels are shares that proxies are to follow.
    follows: bool,
    epoch: u64,
    tables: BTreeMap<TableId, Table>,
    bound: BTreeMap<ProxyId, BTreeMap<ClassId, TableId>>,
    draining: BTreeSet<HostId>,
    places: BTreeMap<HostId, Place>,
    by_address: BTreeMap<String, HostId>,
    /// Assignments that are still as the tables are.
    made: BTreeMap<(TableId, ClassId), Resource>,
    /// Tables and proxies that orders have touched since this was last asked.
    touched: BTreeSet<TableId>,
    moved: BTreeSet<ProxyId>,
    /// Lines left out as their host has no address.
    lost: u64,
}

impl ResourceCache {
    pub fn new(settings: &Settings, names: &Names, epoch: u64) -> ResourceCache {
        ResourceCache {
            zones: names.zones.clone(),
            classes: names.classes.clone(),
            usual: (1.0, settings.proxies.retry_policy),
            follows: settings.proxies.admission_kind == AdmissionKind::Ratio,
            epoch,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            draining: BTreeSet::new(),
            places: BTreeMap::new(),
            by_address: BTreeMap::new(),
            made: BTreeMap::new(),
            touched: BTreeSet::new(),
            moved: BTreeSet::new(),
            lost: 0,
        }
    }

    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c == name)
    }

    pub fn class_names(&self) -> &[String] {
        &self.classes
    }

    pub fn host_at(&self, address: &str) -> Option<&HostId> {
        self.by_address.get(address)
    }

    /// What is kept, in entries.
    pub fn kept(&self) -> usize {
        let lines: usize = self.tables.values().map(|t| 1 + t.lines.len()).sum();
        lines + self.bound.len() + self.places.len() + self.made.len() + self.draining.len()
    }

    /// Lines left out so far as their host had no address.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    fn touch(&mut self, table: TableId) {
        self.touched.insert(table);
        self.made.retain(|(t, _), _| *t != table);
    }

    /// Tables that name a host have changed with it.
    fn touch_host(&mut self, host: &HostId) {
        let named = self
            .tables
            .iter()
            .filter(|(_, t)| t.lines.contains_key(host))
            .map(|(id, _)| *id);
        named
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|table| self.touch(table));
    }

    /// Carries an order out. Those of the shared channel are not kept.
    pub fn apply(&mut self, action: &Action) {
        let own = |table: &TableId| Channel::of(*table) == Channel::Dedicated;
        match action {
            Action::SetEndpoint {
                table,
                host,
                weight,
            } if own(table) => {
                let lines = &mut self.tables.entry(*table).or_default().lines;
                lines.insert(host.clone(), *weight);
                lines.retain(|_, weight| *weight > 0.0);
                self.touch(*table);
            }
            Action::ClearTable { table } if own(table) => {
                self.tables.remove(table);
                self.touch(*table);
            }
            Action::BindProxy {
                proxy,
                table,
                classes,
            } if own(table) => {
                let bound = self.bound.entry(*proxy).or_default();
                for class in
                    (0..self.classes.len()).filter(|c| *classes == 0 || classes >> c & 1 == 1)
                {
                    bound.insert(class, *table);
                }
                self.moved.insert(*proxy);
            }
            Action::SetWithdrawn {
                host,
                is_withdrawn: out,
                channel: Channel::Dedicated,
            } => {
                if *out {
                    self.draining.insert(host.clone())
                } else {
                    self.draining.remove(host)
                };
                self.touch_host(host);
            }
            Action::SetAdmission {
                table,
                classes,
                quota,
                retry_policy: again,
            } if own(table) => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                for class in
                    (0..self.classes.len()).filter(|c| *classes == 0 || classes >> c & 1 == 1)
                {
                    levels.insert(class, (*quota, *again));
                }
                self.touch(*table);
            }
            _ => {}
        }
    }

    /// The proxies whose tables orders have touched since this was last asked.
    pub fn reached(&mut self) -> BTreeSet<ProxyId> {
        let (touched, mut reached) = (
            std::mem::take(&mut self.touched),
            std::mem::take(&mut self.moved),
        );
        if !touched.is_empty() {
            let on =
                |tables: &BTreeMap<ClassId, TableId>| tables.values().any(|t| touched.contains(t));
            reached.extend(
                self.bound
                    .iter()
                    .filter(|(_, tables)| on(tables))
                    .map(|(proxy, _)| *proxy),
            );
        }
        reached
    }

    /// The proxy has gone, or holds nothing of what it was bound to.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
        self.moved.remove(&proxy);
    }

    /// The hosts as the list has them now. One that it dropped keeps its place while a table names it.
    pub fn listed(&mut self, hosts: impl Iterator<Item = (HostId, Place)>) {
        let hosts: BTreeMap<HostId, Place> = hosts.collect();
        let named: BTreeSet<HostId> = self
            .tables
            .values()
            .flat_map(|t| t.lines.keys())
            .cloned()
            .collect();
        let before = self.places.len();
        self.places
            .retain(|host, _| hosts.contains_key(host) || named.contains(host));
        let mut changed = before != self.places.len();
        for (host, place) in hosts {
            if self.places.get(&host) != Some(&place) {
                self.places.insert(host.clone(), place);
                self.touch_host(&host);
                changed = true;
            }
        }
        if changed {
            let places = self.places.iter().filter(|(_, p)| !p.address.is_empty());
            self.by_address = places
                .map(|(host, p)| (p.address.clone(), host.clone()))
                .collect();
        }
    }

    /// The table that a proxy is to hold for a class, once it is bound to one.
    pub fn table(&mut self, proxy: ProxyId, class: ClassId) -> Option<Resource> {
        let table = *self.bound.get(&proxy)?.get(&class)?;
        if let Some(made) = self.made.get(&(table, class)) {
            return Some(made.clone());
        }
        let made = self.make(table, class);
        self.made.insert((table, class), made.clone());
        Some(made)
    }

    fn make(&mut self, table: TableId, class: ClassId) -> Resource {
        let empty = Table::default();
        let t = self.tables.get(&table).unwrap_or(&empty);
        let (level, again) = t.levels.get(&class).copied().unwrap_or(self.usual);
        let placed = |host: &HostId| self.places.get(host).filter(|p| !p.address.is_empty());
        let lines: Vec<(&HostId, f64, &Place)> = t
            .lines
            .iter()
            .filter_map(|(host, w)| placed(host).map(|p| (host, *w, p)))
            .collect();
        self.lost += (t.lines.len() - lines.len()) as u64;
        let weights = scale_weights(&lines.iter().map(|l| l.1).collect::<Vec<_>>());
        let mut zones: BTreeMap<ZoneId, Vec<Endpoint>> = BTreeMap::new();
        for ((host, _, place), weight) in lines.into_iter().zip(weights) {
            let (host, address) = (host.clone(), place.address.clone());
            let draining = self.draining.contains(&host);
            zones.entry(place.zone).or_default().push(Endpoint {
                host,
                address,
                weight,
                draining,
            });
        }
        let name = |zone: ZoneId| self.zones.get(zone).cloned().unwrap_or_default();
        let assignment = ClusterLoadAssignment {
            cluster_name: self.classes[class].clone(),
            localities: zones
                .into_iter()
                .map(|(zone, endpoints)| Locality {
                    zone: name(zone),
                    endpoints,
                })
                .collect(),
            drop_per_million: if self.follows {
                drop_per_million(level)
            } else {
                0
            },
            retry_policy: again,
        };
        Resource {
            version: version(self.epoch, &assignment),
            assignment: Arc::new(assignment),
        }
    }
}

/// Versions follow from the content: a proxy that comes back with one holds just that. The epoch keeps those of
/// other lives of the director apart.
fn version(epoch: u64, a: &ClusterLoadAssignment) -> String {
    let mut hash = Xxh3::new();
    let mut word = |bytes: &[u8]| {
        hash.update(&(bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    };
    word(a.cluster_name.as_bytes());
    word(&a.drop_per_million.to_le_bytes());
    word(&[a.retry_policy as u8]);
    for locality in &a.localities {
        word(locality.zone.as_bytes());
        for e in &locality.endpoints {
            word(e.host.as_bytes());
            word(e.address.as_bytes());
            word(&e.weight.to_le_bytes());
            word(&[u8::from(e.draining)]);
        }
        word(b"");
    }
    format!("{epoch:x}.{:032x}", hash.digest128())
}

/// The version of several tables together, as a state-of-the-world response bears it.
pub fn whole(epoch: u64, versions: impl Iterator<Item = String>) -> String {
    let mut hash = Xxh3::new();
    for version in versions {
        hash.update(version.as_bytes());
        hash.update(b"\n");
    }
    format!("{epoch:x}.{:032x}", hash.digest128())
}
