//! Validates host responses. A response is forwarded only if it echoes the attempt id, its status does not imply that
//! the request was not executed, and its framing reveals truncation (rule MIXED in RULES.md).

use crate::headers::{ATTEMPT_ID, KEEP_ALIVE, NOT_EXECUTED, RESPONSE_SEAL};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use rushcourse_routing::HostObservation;
use std::time::Duration;

/// Fraction (numerator, denominator) of the host's `Keep-Alive` timeout for which an idle connection is reused, so that
/// the host does not close it while a request is being sent.
const IDLE_TIMEOUT_FRACTION: (u32, u32) = (4, 5);
/// Idle timeout of connections to hosts that send no `Keep-Alive` timeout. Below 1 second, because the header can't
/// express shorter timeouts.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Upper bound applied to the `Keep-Alive` timeout of a host.
const MAX_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Result of validating a response head.
pub(crate) enum HeadVerdict {
    /// The response belongs to the request and may be forwarded.
    Response,
    /// The host did not execute the request and never will.
    NotExecuted(HostObservation),
    /// The response belongs to another request or may not be forwarded. The request may have been executed.
    Invalid,
}

/// Validates the head of a response. `is_reused` is true if the connection has carried other requests before.
pub(crate) fn check_head(
    head: &Parts,
    body: &Incoming,
    attempt_id: &HeaderValue,
    is_reused: bool,
) -> HeadVerdict {
    let not_executed = not_executed_reason(head);
    if !matches_attempt_id(head, attempt_id) {
        // The response may belong to another request on this connection. Without an attempt id it is certain to be this
        // request's only if the connection has carried no other.
        let is_only_request = !is_reused && !head.headers.contains_key(ATTEMPT_ID);
        return not_executed
            .filter(|_| is_only_request)
            .map_or(HeadVerdict::Invalid, HeadVerdict::NotExecuted);
    }
    match not_executed {
        Some(observation) => HeadVerdict::NotExecuted(observation),
        None if is_forwardable(head) && is_self_delimited(head, body) => HeadVerdict::Response,
        None => HeadVerdict::Invalid,
    }
}

/// Returns the reason if the host reports that it did not execute the request: a `Not-Executed` header or status 421.
fn not_executed_reason(head: &Parts) -> Option<HostObservation> {
    if head.headers.contains_key(NOT_EXECUTED) {
        Some(HostObservation::Rejected)
    } else if head.status == StatusCode::MISDIRECTED_REQUEST {
        Some(HostObservation::WrongInstance)
    } else {
        None
    }
}

/// Whether a response has exactly one `Attempt-Id`, equal to the request's.
fn matches_attempt_id(head: &Parts, attempt_id: &HeaderValue) -> bool {
    let mut ids = head.headers.get_all(ATTEMPT_ID).iter();
    ids.next() == Some(attempt_id) && ids.next().is_none()
}

/// Whether a response may be forwarded: its status must not tell the client that the request was not executed, since
/// the host did not send `Not-Executed`, and a 2xx response needs a seal.
fn is_forwardable(head: &Parts) -> bool {
    // Clients treat these statuses as a guarantee that the request was not executed.
    let implies_not_executed = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ]
    .contains(&head.status);
    let lacks_seal = head.status.is_success() && !head.headers.contains_key(RESPONSE_SEAL);
    !head.status.is_informational() && !implies_not_executed && !lacks_seal
}

/// Whether a truncated body can be detected: framed by `Content-Length` or by chunks, but not by both.
fn is_self_delimited(head: &Parts, body: &Incoming) -> bool {
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if is_chunked && head.headers.contains_key(header::CONTENT_LENGTH) {
        return false;
    }
    is_chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}

/// Returns how long a connection may stay idle in the pool after a response with these headers.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Duration {
    let value = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok());
    let limit = value
        .and_then(keep_alive_timeout)
        .filter(|limit| !limit.is_zero());
    let (part, of) = IDLE_TIMEOUT_FRACTION;
    limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| limit * part / of)
}

/// Parses the timeout, in whole seconds, from a `Keep-Alive` header such as `timeout=8, max=100`.
fn keep_alive_timeout(keep_alive: &str) -> Option<Duration> {
    let seconds = keep_alive
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let limit = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(limit.min(MAX_KEEP_ALIVE_TIMEOUT))
}
