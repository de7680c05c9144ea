//! What the tenant of a request changes: the operation that its key names (rule TWICE in RULES.md), and the headers that
//! the host gets (rule UNASKED). `authentication.rs` finds the tenant.

use crate::authentication::single_api_key;
use crate::headers::{API_KEY, TENANT_NAME};
use hyper::header::{HeaderMap, HeaderValue};
use rushcourse_config::{Configuration, OperationScope, Tenant};
use rushcourse_types::{KeyAlias, OperationKeys};

/// Returns the digests of an operation. They are the same on public and on other routes, and for all API keys of a
/// tenant. The alias recognizes a repeat where the tenant of the API key is known to one of the two requests only: the
/// key may be revoked between them, or the configuration may get its first tenants.
///
/// `tenant` is the tenant that the request was authenticated as.
pub(crate) fn operation_keys(
    configuration: &Configuration,
    tenant: Option<&Tenant>,
    headers: &HeaderMap,
    operation_key: &[u8],
) -> OperationKeys {
    let api_key = single_api_key(headers).ok();
    let scope = operation_scope(configuration, tenant, api_key);
    let alias = |api_key| KeyAlias {
        digest: OperationScope::ApiKey(api_key).digest(operation_key),
        is_shared: tenant.is_some(),
    };
    OperationKeys {
        key: scope.digest(operation_key),
        alias: match scope {
            OperationScope::Cluster | OperationScope::Tenant(_) => api_key.map(alias),
            // The key is the digest of the API key already, or there is no API key.
            OperationScope::ApiKey(_) | OperationScope::Public => None,
        },
    }
}

/// Returns the clients among whom the operation key names one operation.
fn operation_scope<'a>(
    configuration: &'a Configuration,
    tenant: Option<&'a Tenant>,
    api_key: Option<&'a [u8]>,
) -> OperationScope<'a> {
    let Some(tenants) = &configuration.tenants else {
        return OperationScope::Cluster;
    };
    let Some(api_key) = api_key else {
        return OperationScope::Public;
    };
    // On a public route, a request that finds no lease is not authenticated, but its tenant is still the same.
    match tenant.or_else(|| tenants.find(api_key)) {
        Some(tenant) => OperationScope::Tenant(&tenant.name),
        None => OperationScope::ApiKey(api_key),
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
