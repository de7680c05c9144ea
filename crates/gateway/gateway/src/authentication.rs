//! Authentication of requests by the API keys of the configuration's tenants (rule ROUTE in RULES.md).

use crate::headers::API_KEY;
use crate::local_response::ApiKeyError;
use hyper::header::HeaderMap;
use rushcourse_config::{Configuration, Route, Tenant};

/// Returns the tenant that holds the request's `Api-Key`. Returns `None` if the configuration has no tenants, and also
/// on a public route if the key is absent, repeated or unknown.
///
/// # Errors
/// The configuration has tenants, the route is not public, and the key is absent, repeated or unknown.
pub(crate) fn authenticate<'a>(
    configuration: &'a Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Tenant>, ApiKeyError> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    let tenant =
        single_api_key(headers).and_then(|key| tenants.find(key).ok_or(ApiKeyError::Unknown));
    match tenant {
        Ok(tenant) => Ok(Some(tenant)),
        Err(_) if route.is_public => Ok(None),
        Err(error) => Err(error),
    }
}

fn single_api_key(headers: &HeaderMap) -> Result<&[u8], ApiKeyError> {
    let mut keys = headers.get_all(API_KEY).iter();
    let key = keys.next().ok_or(ApiKeyError::Missing)?;
    if keys.next().is_some() {
        return Err(ApiKeyError::Repeated);
    }
    Ok(key.as_bytes())
}
