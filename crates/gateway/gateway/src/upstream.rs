//! One attempt of a request at a host: a connection, the sending, and what came of it.

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
use tokio::time::{Instant, timeout_at};

/// With less time left than this, a request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);
/// Bytes of a response that are held back until it is whole, so that one that breaks off can be told apart (ours). A
/// longer one is streamed, and breaks off for the client where it breaks off here.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// What came of one attempt.
pub(crate) enum AttemptOutcome {
    /// The host's response: whole, or long and streamed from here on.
    Response(Response<ResponseBody>),
    /// It has not run there and never will: why.
    NotExecuted(HostObservation),
    /// The connection broke, or what came was no valid response: it may have run.
    Failed,
    /// Its time is over: it may have run, or still run.
    TimedOut,
}

/// What goes to a host.
pub(crate) struct UpstreamRequest {
    /// The service whose hosts may get it.
    pub(crate) service: Arc<str>,
    /// Method, target and headers.
    pub(crate) head: request::Parts,
    /// The whole body.
    pub(crate) body: Bytes,
    /// The `Attempt-Id` that the response has to repeat.
    pub(crate) attempt_id: HeaderValue,
}

impl UpstreamRequest {
    /// The request to one host, which stops its work after `time_left`.
    fn to_host(&self, host: &HostChoice, time_left: Duration) -> Request<Full<Bytes>> {
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

/// Makes one attempt at a host that was chosen. `expires_at`: when its client stops waiting.
pub(crate) async fn attempt(
    gateway: &Rc<GatewayState>,
    request: &UpstreamRequest,
    host: &HostChoice,
    expires_at: Instant,
) -> AttemptOutcome {
    let active = ActiveAttempt::start(gateway, request, host);
    let outcome = send(gateway, request, host, expires_at).await;
    active.finish(&outcome);
    outcome
}

/// Sends the request; a pooled connection that turns out to be closed is replaced by the next.
async fn send(
    gateway: &Rc<GatewayState>,
    request: &UpstreamRequest,
    host: &HostChoice,
    expires_at: Instant,
) -> AttemptOutcome {
    loop {
        let mut connection = match acquire(gateway, &request.service, host, expires_at).await {
            Ok(connection) => connection,
            Err(observed) => return AttemptOutcome::NotExecuted(observed),
        };
        // The table may have changed while the connection was made: nothing leaves for a host that drains.
        if !gateway.is_host_available(&request.service, &host.id) {
            return AttemptOutcome::NotExecuted(HostObservation::WrongInstance);
        }
        let time_left = expires_at.saturating_duration_since(Instant::now());
        if time_left < MIN_TIME_LEFT {
            return AttemptOutcome::NotExecuted(HostObservation::Rejected);
        }
        let message = request.to_host(host, time_left);
        let sending = connection.sender.try_send_request(message);
        match timeout_at(expires_at, sending).await {
            Ok(Ok(response)) => {
                return receive(gateway, request, host, connection, response, expires_at).await;
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

/// Checks a response, and reads it whole unless it is long. The connection goes back to the pool once all of the response
/// has come.
async fn receive(
    gateway: &GatewayState,
    request: &UpstreamRequest,
    host: &HostChoice,
    connection: UpstreamConnection,
    response: Response<Incoming>,
    expires_at: Instant,
) -> AttemptOutcome {
    let (mut head, body) = response.into_parts();
    let verdict = check_head(&head, &body, &request.attempt_id, connection.is_reused);
    let refusal = match verdict {
        HeadVerdict::Response => None,
        HeadVerdict::NotExecuted(observed) => Some(observed),
        HeadVerdict::Invalid => return AttemptOutcome::Failed,
    };
    let idle_timeout = idle_timeout(&head.headers);
    let buffered = match timeout_at(expires_at, buffer(body)).await {
        Ok(Ok(buffered)) => buffered,
        Ok(Err(_)) => return refusal.map_or(AttemptOutcome::Failed, AttemptOutcome::NotExecuted),
        Err(_) => return refusal.map_or(AttemptOutcome::TimedOut, AttemptOutcome::NotExecuted),
    };
    remove_hop_by_hop(&mut head.headers);
    let body = match buffered {
        BufferedBody::Long { buffered, rest } => ResponseBody::Streaming { buffered, rest },
        BufferedBody::Whole(parts) => {
            let idle_until = gateway.now() + idle_timeout;
            gateway.return_connection(&host.id, connection.sender, idle_until);
            if let Some(observed) = refusal {
                return AttemptOutcome::NotExecuted(observed);
            }
            ResponseBody::complete(concatenate(parts))
        }
    };
    AttemptOutcome::Response(Response::from_parts(head, body))
}

/// What was read of a body.
enum BufferedBody {
    /// All of it, in parts as they came.
    Whole(VecDeque<Bytes>),
    /// Its beginning, which is more than is held back.
    Long {
        buffered: VecDeque<Bytes>,
        rest: Box<Incoming>,
    },
}

/// Reads a body until it is whole, or longer than what is held back.
async fn buffer(mut body: Incoming) -> Result<BufferedBody, hyper::Error> {
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

/// The parts of a body as one; a single part is not copied.
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

/// An attempt that is counted on a host until it ends, or until its client goes and this is dropped.
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

    /// Records what the attempt met. A time-out counts with the time that it took, like a response.
    fn finish(mut self, outcome: &AttemptOutcome) {
        self.has_ended = true;
        let observed = match outcome {
            AttemptOutcome::Response(_) | AttemptOutcome::TimedOut => HostObservation::Response {
                latency_ms: self.gateway.clock().precise_millis() - self.started_at_ms,
            },
            AttemptOutcome::NotExecuted(observed) => *observed,
            AttemptOutcome::Failed => HostObservation::Failed,
        };
        self.gateway
            .record_attempt(&self.service, &self.host, observed);
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        if !self.has_ended {
            self.gateway.cancel_attempt(&self.service, &self.host);
        }
    }
}
