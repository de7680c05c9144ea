//! Tables of a proxy on a discovery stream.

use super::table::ProxyTable;
use rushcourse_xds::{ClusterLoadAssignment, Response};
use std::collections::BTreeMap;

/// State that a proxy keeps from the responses of its discovery stream.
#[derive(Clone, Debug, Default)]
pub struct StreamTables {
    /// Last received table of each class.
    pub tables: BTreeMap<String, ClusterLoadAssignment>,
    /// Version of each table in `tables`; sent in the first request of the next stream.
    pub versions: BTreeMap<String, String>,
    /// Version of the last response; empty before the first one.
    pub version: String,
}

impl StreamTables {
    /// Stores the tables of a response. Responses without a version are ignored.
    pub fn apply(&mut self, response: &Response) {
        let Some(version) = response.version() else {
            return;
        };
        self.version = version.into();
        for resource in response.resources() {
            let name = &resource.assignment.cluster_name;
            self.versions.insert(name.clone(), resource.version.clone());
            self.tables
                .insert(name.clone(), (*resource.assignment).clone());
        }
    }

    /// Adds the removed hosts of the previous tables again, to simulate a proxy that never removes a host.
    pub fn keep_previous_hosts(&mut self, previous: &BTreeMap<String, ClusterLoadAssignment>) {
        for (class, old) in previous {
            let Some(table) = self.tables.get_mut(class) else {
                continue;
            };
            for mut locality in old.localities.clone() {
                locality
                    .endpoints
                    .retain(|endpoint| !contains_host(table, &endpoint.host));
                table.localities.push(locality);
            }
        }
    }

    /// The table of a class without draining hosts, if one has been received.
    pub fn table(&self, class: &str) -> Option<ProxyTable> {
        let assignment = self.tables.get(class)?;
        let endpoints = assignment.localities.iter().flat_map(|l| &l.endpoints);
        let available = endpoints.filter(|endpoint| !endpoint.draining);
        Some(ProxyTable {
            weights: available.map(|e| (e.host.to_string(), e.weight)).collect(),
            admitted_per_million: 1_000_000 - assignment.drop_per_million,
            retry_policy: assignment.retry_policy as u8,
        })
    }
}

fn contains_host(assignment: &ClusterLoadAssignment, host: &str) -> bool {
    let mut endpoints = assignment.localities.iter().flat_map(|l| &l.endpoints);
    endpoints.any(|endpoint| &*endpoint.host == host)
}
