//! Whether what a host sent is the response to a request: it names the request's attempt, promises nothing that the host
//! did not say, and its end can be told from its breaking off. What fails here is never passed on (rule MIXED).

use crate::headers::{ATTEMPT_ID, KEEP_ALIVE, NOT_EXECUTED, RESPONSE_SEAL};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use rushcourse_routing::HostObservation;
use std::time::Duration;

/// Part of a host's idle limit for which a connection is kept: beyond it, the host's closing could cross a request (ours).
const IDLE_LIMIT_PART: (u32, u32) = (4, 5);
/// How long an idle connection is kept where the host names no limit: one under a second can't be named (ours).
const UNNAMED_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest idle limit that is believed.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(3_600);

/// What the head of a response says.
pub(crate) enum HeadVerdict {
    /// It is the response to the request.
    Response,
    /// The host says that it did not run the request, and never will.
    NotExecuted(HostObservation),
    /// It is not a response to the request, or not one that may be passed on: the request may have run.
    Invalid,
}

/// Checks the head of a response. `is_reused`: other requests went by the connection before.
pub(crate) fn check_head(
    head: &Parts,
    body: &Incoming,
    attempt_id: &HeaderValue,
    is_reused: bool,
) -> HeadVerdict {
    let refusal = refusal(head);
    if !names_attempt(head, attempt_id) {
        // An answer with another id, or none, belongs to no request here: what follows on this connection can't be
        // trusted either. Only where nothing else was ever asked is a refusal without an id this request's.
        let is_only_request = !is_reused && !head.headers.contains_key(ATTEMPT_ID);
        return refusal
            .filter(|_| is_only_request)
            .map_or(HeadVerdict::Invalid, HeadVerdict::NotExecuted);
    }
    match refusal {
        Some(observed) => HeadVerdict::NotExecuted(observed),
        None if may_be_passed_on(head) && has_certain_end(head, body) => HeadVerdict::Response,
        None => HeadVerdict::Invalid,
    }
}

/// How a host says that it did not run a request, if it does.
fn refusal(head: &Parts) -> Option<HostObservation> {
    if head.headers.contains_key(NOT_EXECUTED) {
        Some(HostObservation::Rejected)
    } else if head.status == StatusCode::MISDIRECTED_REQUEST {
        Some(HostObservation::WrongInstance)
    } else {
        None
    }
}

/// Whether a response names the attempt that was sent, and no other.
fn names_attempt(head: &Parts, attempt_id: &HeaderValue) -> bool {
    let mut ids = head.headers.get_all(ATTEMPT_ID).iter();
    ids.next() == Some(attempt_id) && ids.next().is_none()
}

/// Whether a response means to the client what it means here.
fn may_be_passed_on(head: &Parts) -> bool {
    // These promise the client that the request has not run, which the host did not say.
    let promises_not_run = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ]
    .contains(&head.status);
    let lacks_seal = head.status.is_success() && !head.headers.contains_key(RESPONSE_SEAL);
    !head.status.is_informational() && !promises_not_run && !lacks_seal
}

/// Whether the end of a response can be told from its breaking off: by its length or its last chunk, not both.
fn has_certain_end(head: &Parts, body: &Incoming) -> bool {
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if is_chunked && head.headers.contains_key(header::CONTENT_LENGTH) {
        return false;
    }
    is_chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}

/// How long a connection may rest after a response with these headers.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Duration {
    let value = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok());
    let limit = value.and_then(idle_limit).filter(|limit| !limit.is_zero());
    let (part, of) = IDLE_LIMIT_PART;
    limit.map_or(UNNAMED_IDLE_TIMEOUT, |limit| limit * part / of)
}

/// The limit that a `Keep-Alive` names, as in `timeout=8`: whole seconds.
fn idle_limit(keep_alive: &str) -> Option<Duration> {
    let seconds = keep_alive
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let limit = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(limit.min(MAX_IDLE_LIMIT))
}
