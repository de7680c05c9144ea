//! The services of a configuration.

use crate::error::ValidationError;
use crate::table::{Row, Table};
use facet_value::VObject;
use indexmap::IndexMap;

/// The path at which a host's health is checked, where the configuration names none.
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";

/// Connections that a host takes, where the configuration names no number.
const DEFAULT_CONNECTION_CAPACITY: u64 = 100;

/// Connections that a host is taken to take at most.
const MAX_CONNECTION_CAPACITY: u64 = 1_000_000;

/// A service that routes may send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, not empty.
    pub name: String,
    /// The path at which a host's health is checked.
    pub health_check_path: String,
    /// Connections that a host takes from all callers together.
    pub connection_capacity: u32,
    /// Whether its hosts keep a record of operation keys of their own.
    pub deduplicates: bool,
}

/// Reads the table of services, by their names in the order of rows.
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
