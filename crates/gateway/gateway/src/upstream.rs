//! One attempt of a request at a host: acquires a connection, sends the request and receives the response.

use crate::deadline::Deadline;
use crate::headers::{DEADLINE_MILLISECONDS, EXPECTED_INSTANCE, remove_hop_by_hop};
use crate::response_body::ResponseBody;
use crate::response_check::{HeadVerdict, check_head, idle_timeout};
use crate::state::GatewayState;
use crate::upstream_connection::{UpstreamConnection, acquire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request;
use hyper::{Request, Response};
use rushcourse_routing::{HostChoice, HostObservation};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time before the deadline at which a request is still sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);
/// Response bodies up to this size are buffered completely before they are forwarded, so that a truncated one becomes a
/// 502. Longer ones are streamed, and a truncation aborts the response to the client.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Result of one attempt at a host.
pub(crate) enum AttemptOutcome {
    /// A valid response. Its body is complete, or streamed if it exceeds [`MAX_BUFFERED_BYTES`].
    Response(Response<ResponseBody>),
    /// The host did not execute the request and never will, so a retry is safe.
    NotExecuted(HostObservation),
    /// The connection failed or the response was invalid. The request may have been executed.
    Failed,
    /// No response by the deadline. The request may have been executed or may still be running.
    TimedOut,
}

/// A client's request in the form sent to every host that is tried.
pub(crate) struct UpstreamRequest {
    pub(crate) service: Arc<str>,
    /// Method, target and headers, without hop-by-hop headers and `Content-Length`.
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// `Attempt-Id` that the host has to echo.
    pub(crate) attempt_id: HeaderValue,
}

impl UpstreamRequest {
    /// Builds the request for one host, with the host's id and `time_left` as its deadline.
    fn build_for_host(&self, host: &HostChoice, time_left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        let time_left = time_left.as_millis() as u64;
        headers.insert(DEADLINE_MILLISECONDS, HeaderValue::from(time_left));
        if let Ok(id) = HeaderValue::from_str(&host.id) {
            headers.insert(EXPECTED_INSTANCE, id);
        }
        request
    }
}

/// Makes one attempt at a chosen host and records its result for load balancing. `deadline` is the request's.
pub(crate) async fn attempt(
    gateway: &Rc<GatewayState>,
    request: &UpstreamRequest,
    host: &HostChoice,
    deadline: &Deadline,
) -> AttemptOutcome {
    let active = ActiveAttempt::start(gateway, request, host);
    let outcome = send_request(gateway, request, host, deadline).await;
    active.finish(&outcome);
    outcome
}

/// Sends the request. If a reused connection was closed before any byte was sent, tries the next connection.
async fn send_request(
    gateway: &Rc<GatewayState>,
    request: &UpstreamRequest,
    host: &HostChoice,
    deadline: &Deadline,
) -> AttemptOutcome {
    loop {
        let mut connection = match acquire(gateway, &request.service, host, deadline).await {
            Ok(connection) => connection,
            Err(observation) => return AttemptOutcome::NotExecuted(observation),
        };
        // The host may have started to drain while the connection was being established.
        if !gateway.is_host_available(&request.service, &host.id) {
            return AttemptOutcome::NotExecuted(HostObservation::WrongInstance);
        }
        let time_left = deadline.time_left();
        if time_left < MIN_TIME_LEFT {
            return AttemptOutcome::NotExecuted(HostObservation::Rejected);
        }
        let http_request = request.build_for_host(host, time_left);
        let sending = connection.sender.try_send_request(http_request);
        match deadline.bound(sending).await {
            Ok(Ok(response)) => {
                return receive_response(gateway, request, host, connection, response, deadline)
                    .await;
            }
            Ok(Err(mut error)) => {
                let nothing_sent = error.take_message().is_some();
                if !(nothing_sent && connection.is_reused) {
                    return AttemptOutcome::Failed;
                }
            }
            Err(_) => return AttemptOutcome::TimedOut,
        }
    }
}

/// Validates a response and buffers its body up to [`MAX_BUFFERED_BYTES`]. The connection returns to the pool only
/// after a completely buffered response.
async fn receive_response(
    gateway: &GatewayState,
    request: &UpstreamRequest,
    host: &HostChoice,
    connection: UpstreamConnection,
    response: Response<Incoming>,
    deadline: &Deadline,
) -> AttemptOutcome {
    let (mut head, body) = response.into_parts();
    let verdict = check_head(&head, &body, &request.attempt_id, connection.is_reused);
    let refusal = match verdict {
        HeadVerdict::Response => None,
        HeadVerdict::NotExecuted(observation) => Some(observation),
        HeadVerdict::Invalid => return AttemptOutcome::Failed,
    };
    let idle_timeout = idle_timeout(&head.headers);
    let buffered = match deadline.bound(buffer_body(body)).await {
        Ok(Ok(buffered)) => buffered,
        Ok(Err(_)) => return refusal.map_or(AttemptOutcome::Failed, AttemptOutcome::NotExecuted),
        Err(_) => return refusal.map_or(AttemptOutcome::TimedOut, AttemptOutcome::NotExecuted),
    };
    remove_hop_by_hop(&mut head.headers);
    let body = match buffered {
        BufferedBody::Long { buffered, rest } => {
            ResponseBody::streaming(buffered, rest, deadline.expires_at())
        }
        BufferedBody::Whole(parts) => {
            let idle_until = gateway.now() + idle_timeout;
            gateway.return_connection(&host.id, connection.sender, idle_until);
            if let Some(observation) = refusal {
                return AttemptOutcome::NotExecuted(observation);
            }
            ResponseBody::complete(concatenate(parts))
        }
    };
    AttemptOutcome::Response(Response::from_parts(head, body))
}

/// Result of [`buffer_body`].
enum BufferedBody {
    /// All chunks of the body.
    Whole(VecDeque<Bytes>),
    /// The body exceeds [`MAX_BUFFERED_BYTES`]; `rest` has not been read.
    Long {
        buffered: VecDeque<Bytes>,
        rest: Box<Incoming>,
    },
}

/// Reads a body to its end, or until more than [`MAX_BUFFERED_BYTES`] have arrived.
async fn buffer_body(mut body: Incoming) -> Result<BufferedBody, hyper::Error> {
    let mut parts = VecDeque::new();
    let mut bytes = 0;
    while !body.is_end_stream() {
        let Some(frame) = body.frame().await else {
            break;
        };
        if let Ok(data) = frame?.into_data() {
            bytes += data.len();
            parts.push_back(data);
        }
        if bytes > MAX_BUFFERED_BYTES {
            return Ok(BufferedBody::Long {
                buffered: parts,
                rest: Box::new(body),
            });
        }
    }
    Ok(BufferedBody::Whole(parts))
}

/// Joins the chunks of a body. Does not copy if there is only one.
fn concatenate(mut parts: VecDeque<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut whole = Vec::new();
    for part in parts {
        whole.extend_from_slice(&part);
    }
    whole.into()
}

/// Guard of an attempt that `choose_host` counted. Dropping it without [`ActiveAttempt::finish`], on a client
/// disconnect, cancels the attempt.
struct ActiveAttempt {
    gateway: Rc<GatewayState>,
    service: Arc<str>,
    host: Arc<str>,
    started_at_ms: f64,
    has_ended: bool,
}

impl ActiveAttempt {
    fn start(
        gateway: &Rc<GatewayState>,
        request: &UpstreamRequest,
        host: &HostChoice,
    ) -> ActiveAttempt {
        ActiveAttempt {
            gateway: gateway.clone(),
            service: request.service.clone(),
            host: host.id.clone(),
            started_at_ms: gateway.clock().precise_millis(),
            has_ended: false,
        }
    }

    /// Records the result of the attempt. A timeout counts as a response with the latency until the deadline.
    fn finish(mut self, outcome: &AttemptOutcome) {
        self.has_ended = true;
        let observation = match outcome {
            AttemptOutcome::Response(_) | AttemptOutcome::TimedOut => HostObservation::Response {
                latency_ms: self.gateway.clock().precise_millis() - self.started_at_ms,
            },
            AttemptOutcome::NotExecuted(observation) => *observation,
            AttemptOutcome::Failed => HostObservation::Failed,
        };
        self.gateway
            .record_attempt(&self.service, &self.host, observation);
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        if !self.has_ended {
            self.gateway.cancel_attempt(&self.service, &self.host);
        }
    }
}
