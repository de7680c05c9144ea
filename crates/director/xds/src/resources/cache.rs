//! The policy's tables and bindings, and the resources made of them.

use super::locations::{HostLocation, HostLocations};
use super::versions;
use crate::messages::{ClusterLoadAssignment, Endpoint, Locality, Resource};
use crate::weights::{drop_per_million, scale_weights};
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::{
    Action, AdmissionKind, ByHost, Channel, ClassId, HostId, ProxyId, RetryPolicy, Settings,
    TableId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How much of a class's requests a proxy lets in, and which failed ones it may send again.
#[derive(Clone, Copy, Debug)]
struct Admission {
    /// 0 to 1.
    level: f64,
    retry_policy: RetryPolicy,
}

#[derive(Debug, Default)]
struct Table {
    weights: ByHost<f64>,
    admissions: BTreeMap<ClassId, Admission>,
}

/// What actions have changed since it was last asked.
#[derive(Debug, Default)]
struct Changes {
    tables: BTreeSet<TableId>,
    /// Proxies that were bound to other tables.
    bound: BTreeSet<ProxyId>,
}

/// The tables for streams, and what each proxy is to hold of them.
#[derive(Debug)]
pub(crate) struct ResourceCache {
    zones: Vec<String>,
    classes: Vec<String>,
    /// For a class that no action has set a level for.
    default_admission: Admission,
    /// Whether proxies follow admission levels, as shares.
    follows_levels: bool,
    incarnation: u64,
    tables: BTreeMap<TableId, Table>,
    bindings: BTreeMap<ProxyId, BTreeMap<ClassId, TableId>>,
    draining: BTreeSet<HostId>,
    locations: HostLocations,
    /// Resources that are still as their tables are.
    resources: BTreeMap<(TableId, ClassId), Resource>,
    changes: Changes,
    /// Weights left out so far as their host had no address.
    unaddressed_count: u64,
}

impl ResourceCache {
    /// No table yet.
    pub(crate) fn new(settings: &Settings, names: &Names, incarnation: u64) -> ResourceCache {
        ResourceCache {
            zones: names.zones.clone(),
            classes: names.classes.clone(),
            default_admission: Admission {
                level: 1.0,
                retry_policy: settings.proxies.retry_policy,
            },
            follows_levels: settings.proxies.admission_kind == AdmissionKind::Ratio,
            incarnation,
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            draining: BTreeSet::new(),
            locations: HostLocations::default(),
            resources: BTreeMap::new(),
            changes: Changes::default(),
            unaddressed_count: 0,
        }
    }

    /// The class of a name.
    pub(crate) fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name)
    }

    /// The names of all classes, by their index.
    pub(crate) fn class_names(&self) -> &[String] {
        &self.classes
    }

    /// The host that listens at an address.
    pub(crate) fn host_at(&self, address: &str) -> Option<&HostId> {
        self.locations.host_at(address)
    }

    /// How many entries are kept in all.
    pub(crate) fn entry_count(&self) -> usize {
        let in_tables: usize = self
            .tables
            .values()
            .map(|table| 1 + table.weights.len())
            .sum();
        in_tables
            + self.bindings.len()
            + self.locations.len()
            + self.resources.len()
            + self.draining.len()
    }

    /// How many weights were left out of resources as their host had no address.
    pub(crate) fn unaddressed_count(&self) -> u64 {
        self.unaddressed_count
    }

    // Changes.

    /// Carries out an action of the policy. Those for the shared channel are not kept.
    pub(crate) fn apply(&mut self, action: &Action) {
        let is_own = |table: &TableId| Channel::of(*table) == Channel::Dedicated;
        match action {
            Action::SetEndpoint {
                table,
                host,
                weight,
            } if is_own(table) => self.set_weight(*table, host, *weight),
            Action::ClearTable { table } if is_own(table) => {
                self.tables.remove(table);
                self.table_changed(*table);
            }
            Action::BindProxy {
                proxy,
                table,
                classes,
            } if is_own(table) => self.bind(*proxy, *table, *classes),
            Action::SetWithdrawn {
                host,
                is_withdrawn: out,
                channel: Channel::Dedicated,
            } => self.set_draining(host, *out),
            Action::SetAdmission {
                table,
                classes,
                quota,
                retry_policy: again,
            } if is_own(table) => {
                let admission = Admission {
                    level: *quota,
                    retry_policy: *again,
                };
                self.set_admission(*table, *classes, admission);
            }
            _ => {}
        }
    }

    fn set_weight(&mut self, table: TableId, host: &HostId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        weights.insert(host.clone(), weight);
        weights.retain(|_, weight| *weight > 0.0);
        self.table_changed(table);
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: u32) {
        let classes = self.classes_of(classes);
        let bindings = self.bindings.entry(proxy).or_default();
        for class in classes {
            bindings.insert(class, table);
        }
        self.changes.bound.insert(proxy);
    }

    fn set_draining(&mut self, host: &HostId, is_draining: bool) {
        if is_draining {
            self.draining.insert(host.clone());
        } else {
            self.draining.remove(host);
        }
        self.host_changed(host);
    }

    fn set_admission(&mut self, table: TableId, classes: u32, admission: Admission) {
        let classes = self.classes_of(classes);
        let admissions = &mut self.tables.entry(table).or_default().admissions;
        for class in classes {
            admissions.insert(class, admission);
        }
        self.table_changed(table);
    }

    /// The classes of a mask; 0 stands for all.
    fn classes_of(&self, mask: u32) -> Vec<ClassId> {
        (0..self.classes.len())
            .filter(|class| mask == 0 || mask >> class & 1 == 1)
            .collect()
    }

    fn table_changed(&mut self, table: TableId) {
        self.changes.tables.insert(table);
        self.resources.retain(|(of, _), _| *of != table);
    }

    /// All tables that name a host have changed with it.
    fn host_changed(&mut self, host: &HostId) {
        let tables: Vec<TableId> = self
            .tables
            .iter()
            .filter(|(_, table)| table.weights.contains_key(host))
            .map(|(id, _)| *id)
            .collect();
        for table in tables {
            self.table_changed(table);
        }
    }

    /// The hosts as the list has them now. One that it dropped keeps its location while a table names it.
    pub(crate) fn update_hosts(&mut self, hosts: impl Iterator<Item = (HostId, HostLocation)>) {
        let named_by_tables: BTreeSet<HostId> = self
            .tables
            .values()
            .flat_map(|table| table.weights.keys())
            .cloned()
            .collect();
        for host in self.locations.update(hosts.collect(), &named_by_tables) {
            self.host_changed(&host);
        }
    }

    /// The proxy has left, or holds nothing of what it was bound to.
    pub(crate) fn forget(&mut self, proxy: ProxyId) {
        self.bindings.remove(&proxy);
        self.changes.bound.remove(&proxy);
    }

    /// The proxies whose resources may have changed since this was last asked.
    pub(crate) fn take_changed_proxies(&mut self) -> BTreeSet<ProxyId> {
        let changes = std::mem::take(&mut self.changes);
        let mut proxies = changes.bound;
        if !changes.tables.is_empty() {
            let is_changed = |tables: &BTreeMap<ClassId, TableId>| {
                tables.values().any(|table| changes.tables.contains(table))
            };
            let changed = self
                .bindings
                .iter()
                .filter(|(_, tables)| is_changed(tables));
            proxies.extend(changed.map(|(proxy, _)| *proxy));
        }
        proxies
    }

    // Resources.

    /// What a proxy is to hold for a class, once it is bound to a table.
    pub(crate) fn resource(&mut self, proxy: ProxyId, class: ClassId) -> Option<Resource> {
        let table = *self.bindings.get(&proxy)?.get(&class)?;
        if let Some(resource) = self.resources.get(&(table, class)) {
            return Some(resource.clone());
        }
        let resource = self.build(table, class);
        self.resources.insert((table, class), resource.clone());
        Some(resource)
    }

    fn build(&mut self, table: TableId, class: ClassId) -> Resource {
        let empty = Table::default();
        let table = self.tables.get(&table).unwrap_or(&empty);
        let admission = table
            .admissions
            .get(&class)
            .copied()
            .unwrap_or(self.default_admission);
        let (localities, unaddressed_count) = self.localities(table);
        let assignment = ClusterLoadAssignment {
            cluster_name: self.classes[class].clone(),
            localities,
            drop_per_million: if self.follows_levels {
                drop_per_million(admission.level)
            } else {
                0
            },
            retry_policy: admission.retry_policy,
        };
        self.unaddressed_count += unaddressed_count;
        Resource {
            version: versions::version(self.incarnation, &assignment),
            assignment: Arc::new(assignment),
        }
    }

    /// A table's hosts by zone, and how many are left out as they have no address.
    fn localities(&self, table: &Table) -> (Vec<Locality>, u64) {
        let located: Vec<(&HostId, f64, &HostLocation)> = table
            .weights
            .iter()
            .filter_map(|(host, weight)| Some((host, *weight, self.locations.of(host)?)))
            .collect();
        let unaddressed_count = (table.weights.len() - located.len()) as u64;
        let weights: Vec<f64> = located.iter().map(|(_, weight, _)| *weight).collect();
        let mut by_zone: BTreeMap<ZoneId, Vec<Endpoint>> = BTreeMap::new();
        for ((host, _, location), weight) in located.into_iter().zip(scale_weights(&weights)) {
            by_zone.entry(location.zone).or_default().push(Endpoint {
                host: host.clone(),
                address: location.address.clone(),
                weight,
                draining: self.draining.contains(host),
            });
        }
        let localities = by_zone
            .into_iter()
            .map(|(zone, endpoints)| Locality {
                zone: self.zones.get(zone).cloned().unwrap_or_default(),
                endpoints,
            })
            .collect();
        (localities, unaddressed_count)
    }
}
