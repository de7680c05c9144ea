//! The tenant of a request: found by its API key, and named to the host in place of the key (rule UNASKED in RULES.md).

use crate::headers::{API_KEY, TENANT_NAME};
use hyper::header::{HeaderMap, HeaderValue};
use rushcourse_config::{Configuration, OperationScope, Tenant};

/// Returns the tenant that holds the request's API key. `None` if the key is absent, repeated or unknown, or the
/// configuration has no tenants.
pub(crate) fn find_tenant<'a>(
    configuration: &'a Configuration,
    headers: &HeaderMap,
) -> Option<&'a Tenant> {
    let tenants = configuration.tenants.as_ref()?;
    let mut api_keys = headers.get_all(API_KEY).iter();
    let api_key = api_keys.next()?;
    if api_keys.next().is_some() {
        return None;
    }
    tenants.find(api_key.as_bytes())
}

/// Returns the clients among whom the request's operation key names one operation.
pub(crate) fn operation_scope<'a>(
    configuration: &Configuration,
    tenant: Option<&'a Tenant>,
) -> OperationScope<'a> {
    match tenant {
        Some(tenant) => OperationScope::Tenant(&tenant.name),
        None if configuration.tenants.is_some() => OperationScope::Public,
        None => OperationScope::Cluster,
    }
}

/// Removes the client's API key and tenant name, and names the tenant if there is one. Does nothing if the
/// configuration has no tenants. Has to follow the removal of hop-by-hop headers, which a client may use to remove the
/// name.
pub(crate) fn replace_tenant_headers(
    headers: &mut HeaderMap,
    configuration: &Configuration,
    tenant: Option<&Tenant>,
) {
    if configuration.tenants.is_none() {
        return;
    }
    headers.remove(API_KEY);
    headers.remove(TENANT_NAME);
    // Names without control characters, the only valid ones, are valid header values.
    let name = tenant.and_then(|tenant| HeaderValue::from_bytes(tenant.name.as_bytes()).ok());
    if let Some(name) = name {
        headers.insert(TENANT_NAME, name);
    }
}
