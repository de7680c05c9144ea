//! A configuration of the gateway: read whole, checked whole, looked up by host and longest prefix.
//!
//! A configuration is invalid by PROTOCOL.md's list, or if it can't be carried out at all (a split without a weight, two
//! routes with one host and prefix). Unknown fields are ignored, so that a later release may add some.

use crate::error::ValidationError;
use crate::json;
use crate::limits::{Limits, read_limits};
use crate::route::{Route, read_routes};
use crate::service::{Service, read_services};
use indexmap::IndexMap;
use rushcourse_types::ConfigurationVersion;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A configuration that is valid.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// As its operator numbered it.
    pub version: ConfigurationVersion,
    /// In the order of the text.
    pub routes: Vec<Route>,
    /// By their names, in the order of the text.
    pub services: IndexMap<String, Service>,
    /// Limits of all clients' connections.
    pub limits: Limits,
    /// Indices of the routes of a host, longest prefix first.
    routes_by_host: BTreeMap<String, Vec<usize>>,
}

impl Configuration {
    /// Reads and checks the text of a whole configuration.
    ///
    /// # Errors
    /// The first thing that is wrong, with its field.
    pub fn parse(text: &[u8]) -> Result<Configuration, ValidationError> {
        let body = json::parse(text)?;
        let body = json::object(&body, "body")?;
        let part = |name: &str| json::required(body, name, "body");
        let table = |name: &str| json::object(part(name)?, name);
        let version = json::whole_number(part("version")?, "version")?;
        let services = read_services(table("services")?)?;
        let routes = read_routes(table("routes")?, &services)?;
        let limits = read_limits(table("limits")?)?;
        Ok(Configuration {
            version: ConfigurationVersion(version),
            routes_by_host: index_by_host(&routes)?,
            routes,
            services,
            limits,
        })
    }

    /// The route of a request: by its `Host` header, with or without a port, and the longest prefix of its path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        // Most clients write it in lower case, which saves a copy.
        let indices = match self.routes_by_host.get(host) {
            Some(indices) => indices,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        indices
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.parse::<u16>().is_ok() => name,
        _ => host,
    }
}

fn index_by_host(routes: &[Route]) -> Result<BTreeMap<String, Vec<usize>>, ValidationError> {
    let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        let indices = by_host.entry(route.host.clone()).or_default();
        let is_taken = |known: &usize| routes[*known].path_prefix == route.path_prefix;
        if indices.iter().any(is_taken) {
            let field = format!("routes.rows[{index}].path_prefix");
            let reason = format!("{} {} stands twice", route.host, route.path_prefix);
            return Err(ValidationError::at(&field, reason));
        }
        indices.push(index);
    }
    for indices in by_host.values_mut() {
        indices.sort_by_key(|index| Reverse(routes[*index].path_prefix.len()));
    }
    Ok(by_host)
}
