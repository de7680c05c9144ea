//! Authentication of requests by the API keys of the configuration's tenants (rule ROUTE in RULES.md).

use crate::headers::API_KEY;
use crate::local_response::{ApiKeyError, LocalResponse, Rejection};
use hyper::header::HeaderMap;
use rushcourse_config::{Configuration, Route, Tenant};

/// Returns the tenant that holds the request's `Api-Key`. Returns `None` if the configuration has no tenants, and also
/// on a public route if the key is absent, repeated or unknown, or `holds_lease` is false. Must be called when the
/// request has arrived: the bound on revocation counts from when the client sent it.
///
/// `holds_lease` tells whether the configuration is recent enough to accept API keys. Without a lease a key may have been
/// revoked, and an unknown one may have been added.
///
/// # Errors
/// The configuration has tenants, the route is not public, and there is no lease, or the key is absent, repeated or
/// unknown.
pub(crate) fn authenticate<'a>(
    configuration: &'a Configuration,
    route: &Route,
    headers: &HeaderMap,
    holds_lease: bool,
) -> Result<Option<&'a Tenant>, LocalResponse> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    let tenant = if holds_lease {
        single_api_key(headers)
            .and_then(|key| tenants.find(key).ok_or(ApiKeyError::Unknown))
            .map_err(LocalResponse::from)
    } else {
        Err(Rejection::NoConfigurationLease.into())
    };
    match tenant {
        Ok(tenant) => Ok(Some(tenant)),
        Err(_) if route.is_public => Ok(None),
        Err(error) => Err(error),
    }
}

/// Returns the value of `Api-Key`.
///
/// # Errors
/// The header is absent or repeated.
pub(crate) fn single_api_key(headers: &HeaderMap) -> Result<&[u8], ApiKeyError> {
    let mut keys = headers.get_all(API_KEY).iter();
    let key = keys.next().ok_or(ApiKeyError::Missing)?;
    if keys.next().is_some() {
        return Err(ApiKeyError::Repeated);
    }
    Ok(key.as_bytes())
}
