//! Differences between two configurations.

use crate::tenant_diff::TenantDiff;
use rushcourse_config::{Configuration, Route};
use std::fmt;

/// Displays the differences between two configurations, one per line: `+` added, `~` changed, `-` removed.
pub(crate) struct ConfigurationDiff<'a> {
    pub(crate) old: &'a Configuration,
    pub(crate) new: &'a Configuration,
}

impl fmt::Display for ConfigurationDiff<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigurationDiff { old, new } = self;
        writeln!(f, "version {} to {}", old.version, new.version)?;
        write_routes(f, &old.routes, &new.routes)?;
        write_services(f, old, new)?;
        if old.limits != new.limits {
            writeln!(f, "~ limits: {:?} to {:?}", old.limits, new.limits)?;
        }
        let tenants = TenantDiff {
            old: old.tenants.as_ref(),
            new: new.tenants.as_ref(),
        };
        tenants.fmt(f)
    }
}

/// Finds the route with the same host and path prefix, which identify a route; its name may differ.
fn find<'a>(routes: &'a [Route], wanted: &Route) -> Option<&'a Route> {
    let mut routes = routes.iter();
    routes.find(|route| route.host == wanted.host && route.path_prefix == wanted.path_prefix)
}

fn write_routes(f: &mut fmt::Formatter<'_>, old: &[Route], new: &[Route]) -> fmt::Result {
    let label =
        |route: &Route| format!("route {} {} {}", route.name, route.host, route.path_prefix);
    for route in new {
        match find(old, route) {
            None => writeln!(f, "+ {}", label(route))?,
            Some(before) if before != route => {
                writeln!(f, "~ {}: {before:?} to {route:?}", label(route))?;
            }
            Some(_) => {}
        }
    }
    for route in old.iter().filter(|route| find(new, route).is_none()) {
        writeln!(f, "- {}", label(route))?;
    }
    Ok(())
}

fn write_services(
    f: &mut fmt::Formatter<'_>,
    old: &Configuration,
    new: &Configuration,
) -> fmt::Result {
    for (name, service) in &new.services {
        match old.services.get(name) {
            None => writeln!(f, "+ service {name}")?,
            Some(before) if before != service => {
                writeln!(f, "~ service {name}: {before:?} to {service:?}")?;
            }
            Some(_) => {}
        }
    }
    for name in old.services.keys() {
        if !new.services.contains_key(name) {
            writeln!(f, "- service {name}")?;
        }
    }
    Ok(())
}
