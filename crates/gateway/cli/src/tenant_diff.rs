//! Differences between the tenants of two configurations. API keys are shown as digest prefixes.

use crate::status_page::ABSENT;
use rushcourse_config::{Tenant, Tenants};
use std::fmt;

/// Displays the differences between tenants, one per line: `+` added, `~` changed, `-` removed.
pub(crate) struct TenantDiff<'a> {
    pub(crate) old: Option<&'a Tenants>,
    pub(crate) new: Option<&'a Tenants>,
}

impl fmt::Display for TenantDiff<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.old, self.new) {
            (None, Some(_)) => writeln!(f, "+ tenants: requests need an API key from now on")?,
            (Some(_), None) => writeln!(f, "- tenants: requests need no API key from now on")?,
            _ => {}
        }
        for tenant in self.new.iter().flat_map(|new| new.iter()) {
            match find(self.old, tenant) {
                None => writeln!(f, "+ tenant {}: {}", tenant.name, Summary(tenant))?,
                Some(before) if before != tenant => write_change(f, before, tenant)?,
                Some(_) => {}
            }
        }
        let old = self.old.iter().flat_map(|old| old.iter());
        for tenant in old.filter(|tenant| find(self.new, tenant).is_none()) {
            writeln!(f, "- tenant {}: {}", tenant.name, Summary(tenant))?;
        }
        Ok(())
    }
}

/// Finds the tenant with the same name.
fn find<'a>(tenants: Option<&'a Tenants>, wanted: &Tenant) -> Option<&'a Tenant> {
    tenants.and_then(|tenants| tenants.named(&wanted.name))
}

/// Displays the number of a tenant's keys and its priority.
struct Summary<'a>(&'a Tenant);

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Summary(tenant) = self;
        let priority = priority_text(tenant);
        write!(f, "{} API keys, priority {priority}", tenant.api_keys.len())
    }
}

fn priority_text(tenant: &Tenant) -> String {
    let priority = tenant.priority;
    priority.map_or_else(|| ABSENT.into(), |number| number.to_string())
}

fn write_change(f: &mut fmt::Formatter<'_>, old: &Tenant, new: &Tenant) -> fmt::Result {
    write!(f, "~ tenant {}:", new.name)?;
    if old.priority != new.priority {
        write!(
            f,
            " priority {} to {}",
            priority_text(old),
            priority_text(new)
        )?;
    }
    for added in new.api_keys.difference(&old.api_keys) {
        write!(f, " +key {added}")?;
    }
    for removed in old.api_keys.difference(&new.api_keys) {
        write!(f, " -key {removed}")?;
    }
    writeln!(f)
}
