//! Routes of the gateway configuration: parsing, and selection of a service by weight.

use crate::error::ValidationError;
use crate::json;
use crate::seconds::duration_from_seconds;
use crate::service::Service;
use crate::table::{Row, Table};
use facet_value::{VObject, Value};
use indexmap::IndexMap;
use rushcourse_types::hash::hash64;
use std::time::Duration;

/// Highest valid `timeout_s`, in seconds (PROTOCOL.md).
const MAX_TIMEOUT_S: f64 = 600.0;

/// `target_latency_s` must exceed `timeout_s` by less than this many seconds (PROTOCOL.md).
const MAX_TARGET_OVER_TIMEOUT_S: f64 = 60.0;

/// Largest priority number, which is the lowest priority. Larger numbers are clamped to it.
const MAX_PRIORITY: u64 = 1000;

/// Upper limit of `maximum_attempts`. Larger numbers are clamped to it.
const MAX_ATTEMPTS: u64 = 100;

/// Seed of the hash that selects a service by weight. All gateways must select the same service, so it never changes.
const SPLIT_SEED: u64 = 7;

/// Whether a request on a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may be executed repeatedly, so they can be retried on another host.
    ReadOnly,
    /// Each request that a client sends is executed at most once.
    Mutating,
    /// All requests with the same `Operation-Key` are executed once altogether.
    Idempotent,
}

/// A service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of a service in the configuration.
    pub service: String,
    /// Relative weight among the services of the route, 0 or greater. A service with weight 0 gets no requests.
    pub weight: f64,
}

/// Maps requests by host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Display name; may be empty.
    pub name: String,
    /// Matching `Host` header, in lower case and without a port.
    pub host: String,
    /// Prefix of matching request paths; starts with a slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once.
    pub kind: RouteKind,
    /// Maximum time a request may take: greater than 0, at most ten minutes. `None` if the route sets no timeout.
    pub timeout: Option<Duration>,
    /// Response time that the route aims at. `None` if the route sets no target.
    pub target_latency: Option<Duration>,
    /// Priority of the requests, from 0 (highest) to 1000 (lowest); default 0.
    pub priority: u32,
    /// Maximum number of hosts tried for one client request, from 1 to 100; default 1.
    pub max_attempts: u32,
    /// Whether requests need no API key where the configuration has tenants; default false.
    pub is_public: bool,
    /// Target services; at least one has a positive weight.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Selects a service by weight, from a hash of `request_key`: all gateways select the same service for all attempts
    /// of a request. Returns an empty name if no service has a positive weight.
    pub fn choose_service(&self, request_key: &[u8]) -> &str {
        let total: f64 = self.services.iter().map(|target| target.weight).sum();
        let mut remaining = hash64(request_key, SPLIT_SEED) as f64 / u64::MAX as f64 * total;
        for target in &self.services {
            remaining -= target.weight;
            if remaining < 0.0 && target.weight > 0.0 {
                return &target.service;
            }
        }
        // For the highest hashes, rounding may leave `remaining` at 0 or above after the last service.
        let last = self
            .services
            .iter()
            .rev()
            .find(|target| target.weight > 0.0);
        last.map_or("", |target| &target.service)
    }

    /// Returns whether the route has this service with a positive weight.
    pub fn sends_to(&self, service: &str) -> bool {
        self.services
            .iter()
            .any(|target| target.service == service && target.weight > 0.0)
    }
}

/// Parses the table of routes. Every service that a route names must be in `services`.
pub(crate) fn read_routes(
    table: &VObject,
    services: &IndexMap<String, Service>,
) -> Result<Vec<Route>, ValidationError> {
    let table = Table::read(table, "routes")?;
    table.rows().map(|row| read_route(&row, services)).collect()
}

fn read_route(
    row: &Row<'_>,
    services: &IndexMap<String, Service>,
) -> Result<Route, ValidationError> {
    let host = read_host(row)?;
    let path_prefix = read_path_prefix(row)?;
    let kind = read_kind(row)?;
    let timeout_s = read_timeout(row)?;
    let target_latency_s = read_target_latency(row, timeout_s)?;
    let name = row.optional_text("name")?.unwrap_or_default();
    let priority = read_priority(row)?.unwrap_or(0);
    let max_attempts = row.optional_whole_number("maximum_attempts")?.unwrap_or(1);
    Ok(Route {
        name,
        host,
        path_prefix,
        kind,
        timeout: timeout_s.map(duration_from_seconds),
        target_latency: target_latency_s.map(duration_from_seconds),
        priority,
        max_attempts: max_attempts.clamp(1, MAX_ATTEMPTS) as u32,
        is_public: row.flag("public")?,
        services: read_weighted_services(row, services)?,
    })
}

/// Reads `priority` of a route or a tenant, clamped to [`MAX_PRIORITY`]; `None` if the cell is missing.
pub(crate) fn read_priority(row: &Row<'_>) -> Result<Option<u32>, ValidationError> {
    let priority = row.optional_whole_number("priority")?;
    Ok(priority.map(|number| number.min(MAX_PRIORITY) as u32))
}

fn read_host(row: &Row<'_>) -> Result<String, ValidationError> {
    let host = row.text("host")?;
    if host.trim().is_empty() {
        return Err(row.error("host", "is empty"));
    }
    Ok(host.to_ascii_lowercase())
}

fn read_path_prefix(row: &Row<'_>) -> Result<String, ValidationError> {
    let prefix = row.text("path_prefix")?;
    if !prefix.starts_with('/') {
        let reason = format!("{prefix:?} does not begin with a slash");
        return Err(row.error("path_prefix", reason));
    }
    Ok(prefix)
}

fn read_kind(row: &Row<'_>) -> Result<RouteKind, ValidationError> {
    match row.text("route_kind")?.as_str() {
        "read_only" => Ok(RouteKind::ReadOnly),
        "mutating" => Ok(RouteKind::Mutating),
        "idempotent" => Ok(RouteKind::Idempotent),
        other => {
            let reason = format!("{other:?} is none of read_only, mutating, idempotent");
            Err(row.error("route_kind", reason))
        }
    }
}

/// Reads `timeout_s` in seconds; `None` if the cell is missing.
fn read_timeout(row: &Row<'_>) -> Result<Option<f64>, ValidationError> {
    let timeout = row.optional_number("timeout_s")?;
    match timeout {
        Some(seconds) if seconds > MAX_TIMEOUT_S => {
            let reason = format!("{seconds} is over {MAX_TIMEOUT_S}");
            Err(row.error("timeout_s", reason))
        }
        Some(seconds) if seconds <= 0.0 => {
            Err(row.error("timeout_s", format!("{seconds} is not over 0")))
        }
        _ => Ok(timeout),
    }
}

/// Reads `target_latency_s` in seconds and checks it against the timeout; `None` if the cell is missing.
fn read_target_latency(
    row: &Row<'_>,
    timeout: Option<f64>,
) -> Result<Option<f64>, ValidationError> {
    let target = row.optional_number("target_latency_s")?;
    match target.zip(timeout) {
        Some((target, timeout)) if target >= timeout + MAX_TARGET_OVER_TIMEOUT_S => {
            let reason = format!("{target} lies a minute or more over timeout_s {timeout}");
            Err(row.error("target_latency_s", reason))
        }
        _ => Ok(target),
    }
}

/// Reads `weighted_split`, or `service` with weight 1 if there is no split.
fn read_weighted_services(
    row: &Row<'_>,
    services: &IndexMap<String, Service>,
) -> Result<Vec<WeightedService>, ValidationError> {
    let Some(split) = row.cell("weighted_split") else {
        let service = row.text("service")?;
        check_service_exists(&service, services, &row.field("service"))?;
        return Ok(vec![WeightedService {
            service,
            weight: 1.0,
        }]);
    };
    let field = row.field("weighted_split");
    let mut weighted_services = Vec::new();
    for (index, entry) in json::list(split, &field)?.iter().enumerate() {
        let field = format!("{field}[{index}]");
        weighted_services.push(read_weighted_service(entry, services, &field)?);
    }
    let total: f64 = weighted_services.iter().map(|target| target.weight).sum();
    if total <= 0.0 {
        return Err(ValidationError::at(&field, "has no weight over 0"));
    }
    Ok(weighted_services)
}

fn read_weighted_service(
    entry: &Value,
    services: &IndexMap<String, Service>,
    field: &str,
) -> Result<WeightedService, ValidationError> {
    let entry = json::object(entry, field)?;
    let service_field = format!("{field}.service");
    let service = json::text(json::required(entry, "service", field)?, &service_field)?;
    check_service_exists(service, services, &service_field)?;
    let weight_field = format!("{field}.weight");
    let weight = json::number(json::required(entry, "weight", field)?, &weight_field)?;
    if weight < 0.0 {
        let reason = format!("{weight} is under 0");
        return Err(ValidationError::at(&weight_field, reason));
    }
    Ok(WeightedService {
        service: service.to_string(),
        weight,
    })
}

fn check_service_exists(
    service: &str,
    services: &IndexMap<String, Service>,
    field: &str,
) -> Result<(), ValidationError> {
    if services.contains_key(service) {
        return Ok(());
    }
    let reason = format!("names the unknown service {service:?}");
    Err(ValidationError::at(field, reason))
}
