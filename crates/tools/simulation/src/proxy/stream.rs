//! Tables as a discovery stream brings them.

use super::table::ProxyTable;
use rushcourse_xds::{ClusterLoadAssignment, Response};
use std::collections::BTreeMap;

/// What is kept of a stream's tables.
#[derive(Clone, Debug, Default)]
pub struct StreamTables {
    /// By class.
    pub tables: BTreeMap<String, ClusterLoadAssignment>,
    /// The version of each table.
    pub versions: BTreeMap<String, String>,
    /// The version of the last response.
    pub version: String,
}

impl StreamTables {
    /// Takes a response over.
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

    /// Goes on with the hosts of before: a proxy that does not follow its tables.
    pub fn keep_hosts(&mut self, before: &BTreeMap<String, ClusterLoadAssignment>) {
        for (class, old) in before {
            let Some(table) = self.tables.get_mut(class) else {
                continue;
            };
            for mut locality in old.localities.clone() {
                locality
                    .endpoints
                    .retain(|endpoint| !names_host(table, &endpoint.host));
                table.localities.push(locality);
            }
        }
    }

    /// The table of a class, if the stream has brought one.
    pub fn table(&self, class: &str) -> Option<ProxyTable> {
        let assignment = self.tables.get(class)?;
        let endpoints = assignment.localities.iter().flat_map(|l| &l.endpoints);
        let open = endpoints.filter(|endpoint| !endpoint.draining);
        Some(ProxyTable {
            weights: open.map(|e| (e.host.to_string(), e.weight)).collect(),
            admitted_per_million: 1_000_000 - assignment.drop_per_million,
            retry_policy: assignment.retry_policy as u8,
        })
    }
}

fn names_host(assignment: &ClusterLoadAssignment, host: &str) -> bool {
    let mut endpoints = assignment.localities.iter().flat_map(|l| &l.endpoints);
    endpoints.any(|endpoint| &*endpoint.host == host)
}
