//! The request pipeline. A request passes these phases in order:
//!
//! | phase | where | bounds | outcome on failure |
//! | --- | --- | --- | --- |
//! | accept the connection | `downstream.rs` | half of the available file descriptors; header and idle timeouts of the configuration | connection closed |
//! | parse the head | `request_head.rs` | head: `header_size_bytes` (hyper: 431); `Attempt-Id` 128 bytes, deadline 1 hour | 400; 503 without a configuration |
//! | match a route | [`match_route`] | | 404 |
//! | authenticate | `authentication.rs` | one `Api-Key`, looked up by its digest; a lease within `revocation_s`, if that is closed | 401; 503 without a lease |
//! | read the body | `request_body.rs` | `body_size_bytes`; request deadline | 413, 408, 400 |
//! | admit | `state.rs` (`check_admission`) | until `admission_ends_at` of `drain.rs` | 503 |
//! | claim the operation key | `idempotency.rs`, `operation_lookup.rs` | grants of a majority within 450 ms; replies of the gateway that holds the key and of controllers within 400 ms each | 503, 409 |
//! | choose a host | `forward.rs` (`choose_next_host`) | `maximum_attempts`, retry budget, three failed connects | 503 |
//! | forward | `upstream_connection.rs`, `upstream.rs` | connect within 350 ms; this gateway's share of `connection_capacity` | retry at the next host; 503, 504 |
//! | check the response | `response_check.rs` | responses up to 256 KiB are buffered completely | retry if not executed or read-only; 502 |
//! | record | `upstream.rs` (`ActiveAttempt`), `idempotency.rs` (`record`) | a stored response may take a quarter of the memory for responses | |
//! | respond | [`handle`]; `downstream.rs` | | client connection aborted if a streamed response is truncated |
//!
//! The request deadline is the client's deadline less [`RESPONSE_TRANSIT_MARGIN`], or the route's `timeout_s`,
//! whichever is sooner; after SIGTERM it is at the latest the time at which `drain.rs` makes responses due. A client
//! disconnect drops the future of [`handle`] and so cancels the request, except for operations with a key: they run to
//! completion so that retries get their response. `local_response.rs` defines the meaning of statuses.

use crate::authentication::authenticate;
use crate::forward::{RoutedRequest, forward};
use crate::headers::{OPERATION_KEY, remove_hop_by_hop};
use crate::idempotency;
use crate::local_response::{InvalidRequest, LocalResponse, Rejection};
use crate::request_body::read_body;
use crate::request_head::{RequestHead, parse_head, single_header};
use crate::response_body::ResponseBody;
use crate::state::GatewayState;
use crate::tenant::{operation_keys, replace_tenant_headers};
use crate::upstream::UpstreamRequest;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use rushcourse_config::{Configuration, Route, RouteKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Request timeout on routes without `timeout_s`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Subtracted from the client's deadline to leave time for the response to reach the client, which takes a
/// few milliseconds.
const RESPONSE_TRANSIT_MARGIN: Duration = Duration::from_millis(8);
/// Request timeout when the client's deadline does not exceed [`RESPONSE_TRANSIT_MARGIN`].
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_OPERATION_KEY_BYTES: usize = 512;

/// Processes one client request. Failures become local responses.
pub(crate) async fn handle(
    gateway: &Rc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = Instant::now();
    let response = respond(gateway, request, arrived_at).await;
    gateway.request_answered(arrived_at, response.status());
    response
}

async fn respond(
    gateway: &Rc<GatewayState>,
    request: Request<Incoming>,
    arrived_at: Instant,
) -> Response<ResponseBody> {
    let request = match route(gateway, request, arrived_at).await {
        Ok(request) => request,
        Err(local) => return gateway.respond_locally(local),
    };
    match request.operation_keys {
        Some(keys) => idempotency::run_once(gateway, request, keys).await,
        None => forward(gateway, &request)
            .await
            .unwrap_or_else(|local| gateway.respond_locally(local)),
    }
}

/// Validates a request, matches its route, reads its body and prepares it for forwarding.
async fn route(
    gateway: &GatewayState,
    request: Request<Incoming>,
    arrived_at: Instant,
) -> Result<RoutedRequest, LocalResponse> {
    let (mut head, body) = request.into_parts();
    let configuration = gateway.configuration().ok_or(Rejection::NoConfiguration)?;
    let parsed = parse_head(&head)?;
    let route = match_route(&configuration, &head, &parsed)?;
    let holds_lease = gateway.may_accept_api_keys();
    let tenant = authenticate(&configuration, route, &head.headers, holds_lease)?;
    let key = operation_key(&head, route)?;
    // All attempts of an operation have to choose the same service of a weighted split.
    let service = route
        .choose_service(key.unwrap_or(parsed.attempt_id).as_bytes())
        .into();
    let operation_keys =
        key.map(|key| operation_keys(&configuration, tenant, &head.headers, key.as_bytes()));
    let attempt_id = parsed.attempt_id.clone();
    let expires_at = arrived_at + request_timeout(route, parsed.deadline);
    let deadline = gateway.deadline(expires_at);
    let body = read_body(body, configuration.limits.max_body_bytes, &deadline).await?;
    gateway.check_admission()?;
    prepare_for_upstream(&mut head, body.is_empty());
    replace_tenant_headers(&mut head.headers, &configuration, tenant);
    gateway.count_request(&service);
    Ok(RoutedRequest {
        tenant: tenant.map(|tenant| tenant.name.clone()),
        operation_keys,
        upstream: UpstreamRequest {
            service,
            head,
            body,
            attempt_id,
        },
        route_kind: route.kind,
        max_attempts: route.max_attempts,
        deadline,
    })
}

fn match_route<'a>(
    configuration: &'a Configuration,
    head: &Parts,
    parsed: &RequestHead<'_>,
) -> Result<&'a Route, LocalResponse> {
    configuration
        .find_route(parsed.host, head.uri.path())
        .ok_or(LocalResponse::NoRoute)
}

/// Returns the idempotency key, which an idempotent route requires; `None` on other routes, where the header is
/// ignored.
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

/// Returns the timeout of a request, counted from its arrival.
fn request_timeout(route: &Route, deadline: Option<Duration>) -> Duration {
    let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT);
    match deadline {
        Some(deadline) => deadline
            .saturating_sub(RESPONSE_TRANSIT_MARGIN)
            .max(MIN_TIMEOUT)
            .min(timeout),
        None => timeout,
    }
}

/// Removes hop-by-hop headers and `Content-Length`, which hyper sets from the buffered body. For an empty body hyper
/// sets none, so methods that imply a body get an explicit 0.
fn prepare_for_upstream(head: &mut Parts, is_body_empty: bool) {
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let wants_length = [Method::POST, Method::PUT, Method::PATCH].contains(&head.method);
    if is_body_empty && wants_length {
        head.headers
            .insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
}
