//! The way of a request through the gateway, phase by phase, in their order:
//!
//! | phase | where | bounds | answer where it fails |
//! | --- | --- | --- | --- |
//! | accept a connection | `downstream.rs` | half of the file descriptors; head and idle time-outs of the configuration | closed unread, or closed |
//! | parse the head | `request_head.rs` | head: `header_size_bytes` (hyper: 431); `Attempt-Id` 128 bytes, deadline an hour | 400; 503 without a configuration |
//! | match a route | [`match_route`] | | 404 |
//! | read the body | `request_body.rs` | `body_size_bytes`; the request's time | 413, 408, 400 |
//! | claim the operation key | `idempotency.rs` | a majority's grants within 450 ms; a rival's answer within 400 ms | 503, 409 |
//! | choose a host | `forward.rs` (`choose_next_host`) | `maximum_attempts`, the retry budget, three hosts that are not reached | 503 |
//! | forward | `upstream_connection.rs`, `upstream.rs` | a connection within 350 ms; the gateway's share of `connection_capacity` | the next host; 503, 504 |
//! | check the response | `response_check.rs` | 256 KiB are held back until the response is whole | the next host where it has not run or may run twice; 502 |
//! | record | `upstream.rs` (`ActiveAttempt`), `idempotency.rs` (`record`) | 1 MiB of a response is stored for repeats | |
//! | answer | [`handle`]; `downstream.rs` | | the connection breaks off where a long response does |
//!
//! A request's time ends at its client's deadline less what the way back takes, or at its route's `timeout_s`, whichever is
//! sooner. A client that goes cancels its request (the future of [`handle`] is dropped), but for operations with a key,
//! which run on so that repeats get their response. The statuses' meaning stands in `local_response.rs`.

use crate::forward::{RoutedRequest, forward};
use crate::headers::{OPERATION_KEY, remove_hop_by_hop};
use crate::idempotency;
use crate::local_response::{InvalidRequest, LocalResponse, Rejection};
use crate::request_body::read_body;
use crate::request_head::{RequestHead, parse_head, single_header};
use crate::response_body::ResponseBody;
use crate::state::GatewayState;
use crate::upstream::UpstreamRequest;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use rushcourse_config::{Configuration, Route, RouteKind};
use rushcourse_types::hash::key_digest;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request may take whose route names no time-out (ours).
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// So long before its client stops waiting a response leaves at the latest (ours: the way back takes a few ms).
const RETURN_TIME: Duration = Duration::from_millis(8);
/// The least that is left of a deadline that leaves no time for the way back.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_OPERATION_KEY_BYTES: usize = 512;

/// Takes a request from its arrival to its response.
pub(crate) async fn handle(
    gateway: &Rc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let request = match route(gateway, request).await {
        Ok(request) => request,
        Err(local) => return gateway.respond_locally(local),
    };
    match request.operation_key {
        Some(key) => idempotency::run_once(gateway, request, key).await,
        None => forward(gateway, &request)
            .await
            .unwrap_or_else(|local| gateway.respond_locally(local)),
    }
}

/// Parses a request, matches its route and reads its body.
async fn route(
    gateway: &GatewayState,
    request: Request<Incoming>,
) -> Result<RoutedRequest, LocalResponse> {
    let arrived_at = Instant::now();
    let (mut head, body) = request.into_parts();
    let configuration = gateway.configuration().ok_or(Rejection::NoConfiguration)?;
    let parsed = parse_head(&head)?;
    let route = match_route(&configuration, &head, &parsed)?;
    let key = operation_key(&head, route)?;
    // One operation goes to one side of a weighted split, whichever attempt it is.
    let service = route
        .choose_service(key.unwrap_or(parsed.attempt_id).as_bytes())
        .into();
    let operation_key = key.map(|key| key_digest(key.as_bytes()));
    let attempt_id = parsed.attempt_id.clone();
    let expires_at = arrived_at + time_allowed(route, parsed.deadline);
    let body = read_body(body, configuration.limits.max_body_bytes, expires_at).await?;
    prepare_for_upstream(&mut head, body.is_empty());
    gateway.count_request(&service);
    Ok(RoutedRequest {
        operation_key,
        upstream: UpstreamRequest {
            service,
            head,
            body,
            attempt_id,
        },
        route_kind: route.kind,
        max_attempts: route.max_attempts,
        expires_at,
    })
}

/// The route of a request by its host and path.
fn match_route<'a>(
    configuration: &'a Configuration,
    head: &Parts,
    parsed: &RequestHead<'_>,
) -> Result<&'a Route, LocalResponse> {
    configuration
        .find_route(parsed.host, head.uri.path())
        .ok_or(LocalResponse::NoRoute)
}

/// The idempotency key of a request on an idempotent route; elsewhere it counts for nothing.
fn operation_key<'a>(
    head: &'a Parts,
    route: &Route,
) -> Result<Option<&'a HeaderValue>, InvalidRequest> {
    let key = single_header(head, &OPERATION_KEY)?;
    if route.kind != RouteKind::Idempotent {
        return Ok(None);
    }
    let key = key.ok_or(InvalidRequest::MissingOperationKey)?;
    if key.is_empty() || key.len() > MAX_OPERATION_KEY_BYTES {
        return Err(InvalidRequest::OperationKey);
    }
    Ok(Some(key))
}

/// How long a request may take from its arrival on.
fn time_allowed(route: &Route, deadline: Option<Duration>) -> Duration {
    let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT);
    match deadline {
        Some(deadline) => deadline
            .saturating_sub(RETURN_TIME)
            .max(MIN_TIMEOUT)
            .min(timeout),
        None => timeout,
    }
}

/// Leaves out of a head what concerns the client's connection only. The body goes along with a length of its own.
fn prepare_for_upstream(head: &mut Parts, is_body_empty: bool) {
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let wants_length = [Method::POST, Method::PUT, Method::PATCH].contains(&head.method);
    if is_body_empty && wants_length {
        head.headers
            .insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
}
