//! The routes of a configuration.

use crate::error::ValidationError;
use crate::json;
use crate::seconds::duration_of;
use crate::service::Service;
use crate::table::{Row, Table};
use facet_value::{VObject, Value};
use indexmap::IndexMap;
use rushcourse_types::hash::hash64;
use std::time::Duration;

/// s; a route may hold a request no longer (PROTOCOL.md: over ten minutes is invalid).
const MAX_TIMEOUT_S: f64 = 600.0;

/// s by which a route's target latency may lie over its time-out (PROTOCOL.md: a minute or more is invalid).
const MAX_TARGET_OVER_TIMEOUT_S: f64 = 60.0;

/// Lower priorities than this count as this one.
const MAX_PRIORITY: u64 = 1000;

/// Hosts that one attempt of a client may go to at most.
const MAX_ATTEMPTS: u64 = 100;

/// Seed of the hash that chooses a service by its weight. Gateways must agree, so it never changes.
const SPLIT_SEED: u64 = 7;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    ReadOnly,
    /// Each attempt of a client runs at most once.
    Mutating,
    /// All attempts with one `Operation-Key` run once.
    Idempotent,
}

/// A service of a route, and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its share among the route's services, from 0 on.
    pub weight: f64,
}

/// Which requests are sent to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// For people to read; may be empty.
    pub name: String,
    /// The `Host` header that it matches, in lower case and without a port.
    pub host: String,
    /// Begins with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// How long a request may be held: over 0, up to ten minutes.
    pub timeout: Option<Duration>,
    /// The time within which an answer earns its full worth.
    pub target_latency: Option<Duration>,
    /// 0 is the highest rank.
    pub priority: u32,
    /// Hosts that one attempt of a client may go to, from 1 on.
    pub max_attempts: u32,
    /// At least one with a weight over 0.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The service of a request, by the weights and a hash of what all attempts of it have in common: the same at every
    /// gateway.
    pub fn choose_service(&self, request: &[u8]) -> &str {
        let total: f64 = self.services.iter().map(|part| part.weight).sum();
        let mut position = hash64(request, SPLIT_SEED) as f64 / u64::MAX as f64 * total;
        for part in &self.services {
            position -= part.weight;
            if position < 0.0 && part.weight > 0.0 {
                return &part.service;
            }
        }
        // Rounding may leave the highest hashes at the very end of the scale.
        let last = self.services.iter().rev().find(|part| part.weight > 0.0);
        last.map_or("", |part| &part.service)
    }

    /// Whether requests of this route may go to a service.
    pub fn sends_to(&self, service: &str) -> bool {
        self.services
            .iter()
            .any(|part| part.service == service && part.weight > 0.0)
    }
}

/// Reads the table of routes. They may name these services.
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
    let priority = row.optional_whole_number("priority")?.unwrap_or(0);
    let max_attempts = row.optional_whole_number("maximum_attempts")?.unwrap_or(1);
    Ok(Route {
        name,
        host,
        path_prefix,
        kind,
        timeout: timeout_s.map(duration_of),
        target_latency: target_latency_s.map(duration_of),
        priority: priority.min(MAX_PRIORITY) as u32,
        max_attempts: max_attempts.clamp(1, MAX_ATTEMPTS) as u32,
        services: read_weighted_services(row, services)?,
    })
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

/// In seconds.
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

/// In seconds.
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

/// The services of `weighted_split`; where there is none, `service` with weight 1.
fn read_weighted_services(
    row: &Row<'_>,
    services: &IndexMap<String, Service>,
) -> Result<Vec<WeightedService>, ValidationError> {
    let Some(split) = row.cell("weighted_split") else {
        let service = row.text("service")?;
        check_is_known(&service, services, &row.field("service"))?;
        return Ok(vec![WeightedService {
            service,
            weight: 1.0,
        }]);
    };
    let field = row.field("weighted_split");
    let mut parts = Vec::new();
    for (index, part) in json::list(split, &field)?.iter().enumerate() {
        let field = format!("{field}[{index}]");
        parts.push(read_weighted_service(part, services, &field)?);
    }
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    if total <= 0.0 {
        return Err(ValidationError::at(&field, "has no weight over 0"));
    }
    Ok(parts)
}

fn read_weighted_service(
    part: &Value,
    services: &IndexMap<String, Service>,
    field: &str,
) -> Result<WeightedService, ValidationError> {
    let part = json::object(part, field)?;
    let service_field = format!("{field}.service");
    let service = json::text(json::required(part, "service", field)?, &service_field)?;
    check_is_known(service, services, &service_field)?;
    let weight_field = format!("{field}.weight");
    let weight = json::number(json::required(part, "weight", field)?, &weight_field)?;
    if weight < 0.0 {
        let reason = format!("{weight} is under 0");
        return Err(ValidationError::at(&weight_field, reason));
    }
    Ok(WeightedService {
        service: service.to_string(),
        weight,
    })
}

fn check_is_known(
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
