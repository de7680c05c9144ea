//! Headers that the gateway reads or writes (PROTOCOL.md), and those that concern one connection only.

use hyper::header::{self, HeaderMap, HeaderName};

/// Names one attempt of a client; the host's response repeats it.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// How long the client, or the gateway in its place, waits for the response: whole milliseconds.
pub const DEADLINE_MILLISECONDS: HeaderName = HeaderName::from_static("deadline-milliseconds");
/// The idempotency key: binds all attempts of a client into one operation.
pub const OPERATION_KEY: HeaderName = HeaderName::from_static("operation-key");
/// The host that a request is meant for; any other one answers 421 and does not run it.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// A host's proof that it ran the request; each 2xx carries one.
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");
/// The host has not run the request and never will.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// How long the other side keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that concern one connection only (hop-by-hop): the usual ones, and those that `Connection` names.
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

/// A client may not use `Connection` to remove the headers that the protocol depends on.
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
