//! A configuration: read whole, checked whole, looked up by host and longest prefix.
//!
//! What makes one invalid is PROTOCOL.md's list, and what can't be carried out at all (a split without a weight, two
//! routes at the same place). Fields that are not known are left alone, so that a later release may add some.

use crate::cells::{Row, columns, needed, number, object, rows, whole};
use crate::invalid::Invalid;
use indexmap::IndexMap;
use rushcourse_types::ConfigurationVersion;
use rushcourse_types::hash::hash64;
use std::collections::BTreeMap;

/// s; a route may hold a request no longer (PROTOCOL.md: over ten minutes is invalid).
const TIMEOUT_MOST: f64 = 600.0;
/// s by which a route's aim may lie over its time-out (PROTOCOL.md: a minute or more is invalid).
const AIM_OVER: f64 = 60.0;
/// Routes and services that a configuration may have (ours: far over what 64 MiB of tables would use).
const ROWS_MOST: usize = 100_000;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    ReadOnly,
    /// At most once per try.
    Mutating,
    /// All tries with one `Operation-Key` run once.
    Idempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: RouteKind,
    /// s, over 0 up to 600.
    pub timeout: Option<f64>,
    /// s.
    pub aim: Option<f64>,
    /// 0 is the highest rank.
    pub priority: u32,
    /// Hosts that one try may go to, from 1 on.
    pub attempts: u32,
    /// Services and their weights; one with weight 1 where the route has no split.
    pub split: Vec<(String, f64)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    /// Connections that a host takes from all callers together.
    pub connections: u32,
    /// It keeps a record of keys of its own.
    pub deduplicates: bool,
}

/// What a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub head_bytes: u64,
    pub body_bytes: u64,
    /// s.
    pub head_timeout: f64,
    /// s.
    pub idle_timeout: f64,
}

#[derive(Clone, Debug)]
pub struct Configuration {
    pub version: ConfigurationVersion,
    pub routes: Vec<Route>,
    pub services: IndexMap<String, Service>,
    pub limits: Limits,
    /// Routes of a host, longest prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
}

impl Configuration {
    /// Reads and checks a whole configuration.
    ///
    /// # Errors
    /// The first thing that is wrong, with its place.
    pub fn read(text: &[u8]) -> Result<Configuration, Invalid> {
        let text = std::str::from_utf8(text)
            .map_err(|e| Invalid::at("body", format!("is no text: {e}")))?;
        let value: facet_value::Value = facet_json::from_str(text)
            .map_err(|e| Invalid::at("body", format!("can't be read: {e}")))?;
        let top = object(&value, "body")?;
        let version = whole(needed(top, "version", "body")?, "version")?;
        let services = services(object(needed(top, "services", "body")?, "services")?)?;
        let routes = routes(object(needed(top, "routes", "body")?, "routes")?, &services)?;
        let limits = limits(object(needed(top, "limits", "body")?, "limits")?)?;
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (k, route) in routes.iter().enumerate() {
            let list = by_host.entry(route.host.clone()).or_default();
            if list.iter().any(|r| routes[*r].prefix == route.prefix) {
                let text = format!("{} {} stands twice", route.host, route.prefix);
                return Err(Invalid::at(&format!("routes.rows[{k}].path_prefix"), text));
            }
            list.push(k);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|k| std::cmp::Reverse(routes[*k].prefix.len()));
        }
        Ok(Configuration {
            version: ConfigurationVersion(version),
            routes,
            services,
            limits,
            by_host,
        })
    }

    /// The route of a request: by its `Host` header, with or without a port, and the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let bare = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.parse::<u16>().is_ok() {
                name
            } else {
                host
            }
        });
        let list = match self.by_host.get(bare) {
            Some(list) => list,
            None => self.by_host.get(&bare.to_ascii_lowercase())?,
        };
        list.iter()
            .map(|k| &self.routes[*k])
            .find(|r| path.starts_with(&r.prefix))
    }
}

impl Route {
    /// The service of a request, by the split's weights and a hash of the request: the same at every director.
    pub fn service(&self, of: &[u8]) -> &str {
        let all: f64 = self.split.iter().map(|s| s.1).sum();
        let mut at = hash64(of, 7) as f64 / u64::MAX as f64 * all;
        for (name, weight) in &self.split {
            at -= weight;
            if at < 0.0 && *weight > 0.0 {
                return name;
            }
        }
        let last = self.split.iter().rev().find(|s| s.1 > 0.0);
        last.map_or("", |s| s.0.as_str())
    }
}

fn services(table: &facet_value::VObject) -> Result<IndexMap<String, Service>, Invalid> {
    let names = columns(table, "services")?;
    let mut found = IndexMap::new();
    for row in bounded(rows(table, &names, "services")?, "services")? {
        let name = row.word("name")?;
        if name.is_empty() {
            return Err(Invalid::at(&row.at("name"), "is empty"));
        }
        let service = Service {
            name: name.clone(),
            health_path: row
                .maybe_word("health_check_path")?
                .unwrap_or_else(|| "/health".into()),
            connections: row
                .maybe_whole("connection_capacity")?
                .unwrap_or(100)
                .min(1_000_000) as u32,
            deduplicates: row.flag("deduplicates")?,
        };
        if found.insert(name.clone(), service).is_some() {
            return Err(Invalid::at(&row.at("name"), format!("{name} stands twice")));
        }
    }
    Ok(found)
}

fn bounded<'a>(rows: Vec<Row<'a>>, place: &str) -> Result<Vec<Row<'a>>, Invalid> {
    if rows.len() > ROWS_MOST {
        Err(Invalid::at(place, format!("has over {ROWS_MOST} rows")))
    } else {
        Ok(rows)
    }
}

fn routes(
    table: &facet_value::VObject,
    services: &IndexMap<String, Service>,
) -> Result<Vec<Route>, Invalid> {
    let names = columns(table, "routes")?;
    let rows = bounded(rows(table, &names, "routes")?, "routes")?;
    rows.iter().map(|row| route(row, services)).collect()
}

fn route(row: &Row<'_>, services: &IndexMap<String, Service>) -> Result<Route, Invalid> {
    let host = row.word("host")?;
    if host.trim().is_empty() {
        return Err(Invalid::at(&row.at("host"), "is empty"));
    }
    let prefix = row.word("path_prefix")?;
    if !prefix.starts_with('/') {
        return Err(Invalid::at(
            &row.at("path_prefix"),
            format!("{prefix:?} does not begin with a slash"),
        ));
    }
    let kind = match row.word("route_kind")?.as_str() {
        "read_only" => RouteKind::ReadOnly,
        "mutating" => RouteKind::Mutating,
        "idempotent" => RouteKind::Idempotent,
        other => {
            let text = format!("{other:?} is none of read_only, mutating, idempotent");
            return Err(Invalid::at(&row.at("route_kind"), text));
        }
    };
    let timeout = row.maybe_number("timeout_s")?;
    match timeout {
        Some(t) if t > TIMEOUT_MOST => {
            return Err(Invalid::at(
                &row.at("timeout_s"),
                format!("{t} is over {TIMEOUT_MOST}"),
            ));
        }
        Some(t) if t <= 0.0 => {
            return Err(Invalid::at(
                &row.at("timeout_s"),
                format!("{t} is not over 0"),
            ));
        }
        _ => {}
    }
    let aim = row.maybe_number("target_latency_s")?;
    if let Some((aim, timeout)) = aim
        .zip(timeout)
        .filter(|(aim, timeout)| *aim >= timeout + AIM_OVER)
    {
        let text = format!("{aim} lies a minute or more over timeout_s {timeout}");
        return Err(Invalid::at(&row.at("target_latency_s"), text));
    }
    Ok(Route {
        name: row.maybe_word("name")?.unwrap_or_default(),
        host: host.to_ascii_lowercase(),
        prefix,
        kind,
        timeout,
        aim,
        priority: row.maybe_whole("priority")?.unwrap_or(0).min(1000) as u32,
        attempts: row
            .maybe_whole("maximum_attempts")?
            .unwrap_or(1)
            .clamp(1, 100) as u32,
        split: split(row, services)?,
    })
}

fn split(
    row: &Row<'_>,
    services: &IndexMap<String, Service>,
) -> Result<Vec<(String, f64)>, Invalid> {
    let known = |name: &str, place: &str| {
        let text = || Invalid::at(place, format!("names the unknown service {name:?}"));
        services.contains_key(name).then_some(()).ok_or_else(text)
    };
    let Some(list) = row.cell("weighted_split") else {
        let name = row.word("service")?;
        known(&name, &row.at("service"))?;
        return Ok(vec![(name, 1.0)]);
    };
    let place = row.at("weighted_split");
    let list = list
        .as_array()
        .ok_or_else(|| Invalid::at(&place, "must be a list"))?;
    let mut parts = Vec::new();
    for (k, part) in list.iter().enumerate() {
        let place = format!("{place}[{k}]");
        let part = object(part, &place)?;
        let name = needed(part, "service", &place)?
            .as_string()
            .map(|s| s.as_str().to_string());
        let name =
            name.ok_or_else(|| Invalid::at(&format!("{place}.service"), "must be a word"))?;
        known(&name, &format!("{place}.service"))?;
        let weight = number(needed(part, "weight", &place)?, &format!("{place}.weight"))?;
        if weight < 0.0 {
            return Err(Invalid::at(
                &format!("{place}.weight"),
                format!("{weight} is under 0"),
            ));
        }
        parts.push((name, weight));
    }
    if parts.iter().map(|p| p.1).sum::<f64>() <= 0.0 {
        return Err(Invalid::at(&place, "has no weight over 0"));
    }
    Ok(parts)
}

fn limits(of: &facet_value::VObject) -> Result<Limits, Invalid> {
    let get = |name: &str, default: f64| match of.get(name).filter(|v| !v.is_null()) {
        Some(value) => number(value, &format!("limits.{name}")),
        None => Ok(default),
    };
    let limits = Limits {
        head_bytes: get("header_size_bytes", 16_384.0)? as u64,
        body_bytes: get("body_size_bytes", 67_108_864.0)? as u64,
        head_timeout: get("header_timeout_s", 3.0)?,
        idle_timeout: get("idle_timeout_s", 15.0)?,
    };
    for (name, value) in [
        ("header_timeout_s", limits.head_timeout),
        ("idle_timeout_s", limits.idle_timeout),
    ] {
        if value <= 0.0 {
            return Err(Invalid::at(
                &format!("limits.{name}"),
                format!("{value} is not over 0"),
            ));
        }
    }
    Ok(limits)
}
