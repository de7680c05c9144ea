//! Mirrors the policy's tables and proxy bindings, and builds resources from them.

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

/// Admission level and retry policy of one class.
#[derive(Clone, Copy, Debug)]
struct Admission {
    /// Share of requests that is admitted, 0 to 1.
    level: f64,
    retry_policy: RetryPolicy,
}

#[derive(Debug, Default)]
struct Table {
    weights: ByHost<f64>,
    admissions: BTreeMap<ClassId, Admission>,
}

/// Changes since the last `take_changed_proxies`.
#[derive(Debug, Default)]
struct Changes {
    tables: BTreeSet<TableId>,
    /// Proxies with a new binding.
    bound_proxies: BTreeSet<ProxyId>,
}

/// The policy's dedicated tables, the proxies bound to them, and the resources built from them.
#[derive(Debug)]
pub(crate) struct ResourceCache {
    zones: Vec<String>,
    classes: Vec<String>,
    /// Applies to classes for which no action has set an admission level.
    default_admission: Admission,
    /// Whether the settings have proxies enforce admission levels as a ratio; if not, the drop rate is always 0.
    uses_admission_ratio: bool,
    incarnation: u64,
    tables: BTreeMap<TableId, Table>,
    bindings: BTreeMap<ProxyId, BTreeMap<ClassId, TableId>>,
    draining: BTreeSet<HostId>,
    locations: HostLocations,
    /// Resources built so far; a change of a table removes those built from it.
    resources: BTreeMap<(TableId, ClassId), Resource>,
    changes: Changes,
    /// Total number of endpoints left out of resources because the host's address is unknown.
    omitted_endpoint_count: u64,
}

impl ResourceCache {
    pub(crate) fn new(settings: &Settings, names: &Names, incarnation: u64) -> ResourceCache {
        ResourceCache {
            zones: names.zones.clone(),
            classes: names.classes.clone(),
            default_admission: Admission {
                level: 1.0,
                retry_policy: settings.proxies.retry_policy,
            },
            uses_admission_ratio: settings.proxies.admission_kind == AdmissionKind::Ratio,
            incarnation,
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            draining: BTreeSet::new(),
            locations: HostLocations::default(),
            resources: BTreeMap::new(),
            changes: Changes::default(),
            omitted_endpoint_count: 0,
        }
    }

    /// Index of the class with this name.
    pub(crate) fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name)
    }

    /// Names of all classes, by class index.
    pub(crate) fn class_names(&self) -> &[String] {
        &self.classes
    }

    pub(crate) fn host_at(&self, address: &str) -> Option<&HostId> {
        self.locations.host_at(address)
    }

    /// Size of the mirrored state, for the gauge of stored entries.
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

    pub(crate) fn omitted_endpoint_count(&self) -> u64 {
        self.omitted_endpoint_count
    }

    /// Applies an action of the policy. Actions for the shared channel are ignored.
    pub(crate) fn apply(&mut self, action: &Action) {
        let is_dedicated = |table: &TableId| Channel::of(*table) == Channel::Dedicated;
        match action {
            Action::SetEndpoint {
                table,
                host,
                weight,
            } if is_dedicated(table) => self.set_weight(*table, host, *weight),
            Action::ClearTable { table } if is_dedicated(table) => {
                self.tables.remove(table);
                self.mark_table_changed(*table);
            }
            Action::BindProxy {
                proxy,
                table,
                classes,
            } if is_dedicated(table) => self.bind(*proxy, *table, *classes),
            Action::SetWithdrawn {
                host,
                is_withdrawn: withdrawn,
                channel: Channel::Dedicated,
            } => self.set_draining(host, *withdrawn),
            Action::SetAdmission {
                table,
                classes,
                quota,
                retry_policy: policy,
            } if is_dedicated(table) => {
                let admission = Admission {
                    level: *quota,
                    retry_policy: *policy,
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
        self.mark_table_changed(table);
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: u32) {
        let classes = self.expand_class_mask(classes);
        let bindings = self.bindings.entry(proxy).or_default();
        for class in classes {
            bindings.insert(class, table);
        }
        self.changes.bound_proxies.insert(proxy);
    }

    fn set_draining(&mut self, host: &HostId, is_draining: bool) {
        if is_draining {
            self.draining.insert(host.clone());
        } else {
            self.draining.remove(host);
        }
        self.mark_host_changed(host);
    }

    fn set_admission(&mut self, table: TableId, classes: u32, admission: Admission) {
        let classes = self.expand_class_mask(classes);
        let admissions = &mut self.tables.entry(table).or_default().admissions;
        for class in classes {
            admissions.insert(class, admission);
        }
        self.mark_table_changed(table);
    }

    /// Expands a bit mask of classes; 0 means all.
    fn expand_class_mask(&self, mask: u32) -> Vec<ClassId> {
        (0..self.classes.len())
            .filter(|class| mask == 0 || mask >> class & 1 == 1)
            .collect()
    }

    fn mark_table_changed(&mut self, table: TableId) {
        self.changes.tables.insert(table);
        self.resources.retain(|(id, _), _| *id != table);
    }

    /// Marks all tables that contain the host as changed.
    fn mark_host_changed(&mut self, host: &HostId) {
        let tables: Vec<TableId> = self
            .tables
            .iter()
            .filter(|(_, table)| table.weights.contains_key(host))
            .map(|(id, _)| *id)
            .collect();
        for table in tables {
            self.mark_table_changed(table);
        }
    }

    /// Replaces the host locations with those of the membership list. A delisted host keeps its location while a table
    /// contains it.
    pub(crate) fn update_hosts(&mut self, hosts: impl Iterator<Item = (HostId, HostLocation)>) {
        let named_by_tables: BTreeSet<HostId> = self
            .tables
            .values()
            .flat_map(|table| table.weights.keys())
            .cloned()
            .collect();
        for host in self.locations.update(hosts.collect(), &named_by_tables) {
            self.mark_host_changed(&host);
        }
    }

    /// Drops the proxy's bindings; called when it leaves or joins again.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.bindings.remove(&proxy);
        self.changes.bound_proxies.remove(&proxy);
    }

    /// Returns the proxies whose resources may have changed since the previous call.
    pub(crate) fn take_changed_proxies(&mut self) -> BTreeSet<ProxyId> {
        let changes = std::mem::take(&mut self.changes);
        let mut proxies = changes.bound_proxies;
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

    /// The resource of a class for a proxy; `None` until the proxy is bound to a table for that class.
    pub(crate) fn resource(&mut self, proxy: ProxyId, class: ClassId) -> Option<Resource> {
        let table = *self.bindings.get(&proxy)?.get(&class)?;
        if let Some(resource) = self.resources.get(&(table, class)) {
            return Some(resource.clone());
        }
        let resource = self.build_resource(table, class);
        self.resources.insert((table, class), resource.clone());
        Some(resource)
    }

    fn build_resource(&mut self, table: TableId, class: ClassId) -> Resource {
        let empty = Table::default();
        let table = self.tables.get(&table).unwrap_or(&empty);
        let admission = table
            .admissions
            .get(&class)
            .copied()
            .unwrap_or(self.default_admission);
        let (localities, omitted_endpoint_count) = self.localities(table);
        let assignment = ClusterLoadAssignment {
            cluster_name: self.classes[class].clone(),
            localities,
            drop_per_million: if self.uses_admission_ratio {
                drop_per_million(admission.level)
            } else {
                0
            },
            retry_policy: admission.retry_policy,
        };
        self.omitted_endpoint_count += omitted_endpoint_count;
        Resource {
            version: versions::version(self.incarnation, &assignment),
            assignment: Arc::new(assignment),
        }
    }

    /// Groups a table's endpoints by zone. Also returns the number of endpoints omitted for lack of an address.
    fn localities(&self, table: &Table) -> (Vec<Locality>, u64) {
        let located_endpoints: Vec<(&HostId, f64, &HostLocation)> = table
            .weights
            .iter()
            .filter_map(|(host, weight)| Some((host, *weight, self.locations.get(host)?)))
            .collect();
        let omitted_endpoint_count = (table.weights.len() - located_endpoints.len()) as u64;
        let weights: Vec<f64> = located_endpoints
            .iter()
            .map(|(_, weight, _)| *weight)
            .collect();
        let mut by_zone: BTreeMap<ZoneId, Vec<Endpoint>> = BTreeMap::new();
        for ((host, _, location), weight) in
            located_endpoints.into_iter().zip(scale_weights(&weights))
        {
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
        (localities, omitted_endpoint_count)
    }
}
