//! The gateway configuration: parsing, validation, and route lookup by host and longest path prefix.
//!
//! A configuration is invalid by the rules in PROTOCOL.md, and also if a weighted split has no positive weight, two
//! routes share a host and path prefix, or two tenants share a name. Unknown fields are ignored for compatibility with
//! later releases.

use crate::error::ValidationError;
use crate::json;
use crate::limits::{Limits, read_limits};
use crate::route::{Route, read_routes};
use crate::service::{Service, read_services};
use crate::tenants::{Tenants, read_tenants};
use indexmap::IndexMap;
use rushcourse_types::ConfigurationVersion;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version number assigned by the operator.
    pub version: ConfigurationVersion,
    /// Routes in the order of the configuration text.
    pub routes: Vec<Route>,
    /// Services by name, in the order of the configuration text.
    pub services: IndexMap<String, Service>,
    /// Limits that apply to every client connection.
    pub limits: Limits,
    /// Tenants and their API keys. `None` if the configuration has no `tenants`: then no request needs a key.
    pub tenants: Option<Tenants>,
    /// Indices into `routes` by lower-case host, longest path prefix first.
    routes_by_host: BTreeMap<String, Vec<usize>>,
}

impl Configuration {
    /// Parses and validates the JSON text of a configuration.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn parse(text: &[u8]) -> Result<Configuration, ValidationError> {
        let body = json::parse(text)?;
        let body = json::object(&body, "body")?;
        let member = |name: &str| json::required(body, name, "body");
        let table = |name: &str| json::object(member(name)?, name);
        let version = json::whole_number(member("version")?, "version")?;
        let services = read_services(table("services")?)?;
        let routes = read_routes(table("routes")?, &services)?;
        let limits = read_limits(table("limits")?)?;
        let tenants = body
            .get("tenants")
            .map(|value| read_tenants(json::object(value, "tenants")?))
            .transpose()?;
        Ok(Configuration {
            version: ConfigurationVersion(version),
            routes_by_host: index_by_host(&routes)?,
            routes,
            services,
            limits,
            tenants,
        })
    }

    /// Parses and validates a configuration that an operator submits. Nothing but white space may follow it.
    ///
    /// # Errors
    /// The first invalid field, or what follows the configuration.
    pub fn parse_upload(text: &[u8]) -> Result<Configuration, ValidationError> {
        let configuration = Configuration::parse(text)?;
        json::check_end(text)?;
        Ok(configuration)
    }

    /// Finds the route of `host` with the longest prefix of `path`. `host` is the value of the `Host` header, compared
    /// case-insensitively and without its port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        // Most clients send the host in lower case, so the exact lookup usually avoids an allocation.
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
        let is_duplicate = |other: &usize| routes[*other].path_prefix == route.path_prefix;
        if indices.iter().any(is_duplicate) {
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
