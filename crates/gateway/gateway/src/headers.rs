//! Names of the headers that the gateway reads or writes (PROTOCOL.md), and removal of hop-by-hop headers.

use hyper::header::{self, HeaderMap, HeaderName};

/// Identifies one attempt of a client; the host has to echo it in its response.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Time in whole milliseconds that the sender waits for the response. The gateway replaces the client's value by the
/// time remaining when it forwards the request.
pub const DEADLINE_MILLISECONDS: HeaderName = HeaderName::from_static("deadline-milliseconds");
/// Idempotency key, the same on all attempts of one operation. Required on idempotent routes, ignored on others.
pub const OPERATION_KEY: HeaderName = HeaderName::from_static("operation-key");
/// API key of the client's tenant, required where the configuration has tenants and the route is not public. A secret:
/// hosts and logs never get it.
pub const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// Names the tenant of a request to the host. The gateway replaces the client's value.
pub const TENANT_NAME: HeaderName = HeaderName::from_static("tenant-name");
/// Id of the host that the gateway chose. A host with another id responds with 421 and does not execute the request.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// Set by a host that executed the request. A 2xx response without it is not forwarded.
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");
/// Set by a host that did not execute the request and never will, so that the request may be sent to another host.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Carries `timeout=SECONDS`, for which a host keeps an idle connection open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the hop-by-hop headers, including those listed in `Connection` unless the protocol depends on them.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_protected(name))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
}

/// Whether a header stays even if `Connection` lists it, because the protocol depends on it.
fn is_protected(name: &HeaderName) -> bool {
    [
        ATTEMPT_ID,
        DEADLINE_MILLISECONDS,
        OPERATION_KEY,
        RESPONSE_SEAL,
        header::HOST,
    ]
    .contains(name)
}
