//! Services of the gateway configuration.

use crate::error::ValidationError;
use crate::table::{Row, Table};
use facet_value::VObject;
use indexmap::IndexMap;

/// Health check path of services that configure none.
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";

/// Connections per host for services that configure none.
const DEFAULT_CONNECTION_CAPACITY: u64 = 100;

/// Upper limit of `connection_capacity`. Larger numbers are clamped to it.
const MAX_CONNECTION_CAPACITY: u64 = 1_000_000;

/// A service that routes can send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name within the configuration; never empty.
    pub name: String,
    /// Request path of the hosts' health checks; default `/health`.
    pub health_check_path: String,
    /// Maximum number of connections to one host from all gateways together; default 100.
    pub connection_capacity: u32,
    /// Whether the hosts of the service deduplicate requests by operation key themselves; default false.
    pub deduplicates: bool,
}

/// Parses the table of services into a map by name, in the order of the rows.
pub(crate) fn read_services(table: &VObject) -> Result<IndexMap<String, Service>, ValidationError> {
    let table = Table::read(table, "services")?;
    let mut services = IndexMap::new();
    for row in table.rows() {
        let service = read_service(&row)?;
        let name = service.name.clone();
        if services.insert(name.clone(), service).is_some() {
            return Err(row.error("name", format!("{name} stands twice")));
        }
    }
    Ok(services)
}

fn read_service(row: &Row<'_>) -> Result<Service, ValidationError> {
    let name = row.text("name")?;
    if name.is_empty() {
        return Err(row.error("name", "is empty"));
    }
    let health_check_path = row
        .optional_text("health_check_path")?
        .unwrap_or_else(|| DEFAULT_HEALTH_CHECK_PATH.into());
    let connection_capacity = row
        .optional_whole_number("connection_capacity")?
        .unwrap_or(DEFAULT_CONNECTION_CAPACITY)
        .min(MAX_CONNECTION_CAPACITY);
    Ok(Service {
        name,
        health_check_path,
        connection_capacity: connection_capacity as u32,
        deduplicates: row.flag("deduplicates")?,
    })
}
