//! Responses that the gateway gives itself, without a host's: why, with which status, and when to come back.
//!
//! A status is a promise to the client (PROTOCOL.md): 408 and 503 say that the request has not run and never will; 502 and
//! 504 promise nothing; 400, 404 and 413 are not worth another attempt.

use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::fmt;
use std::time::Duration;

/// `Retry-After` of a rejected request at least, and by how much more it is spread at random, so that rejected clients
/// don't come back all at once (ours).
const RETRY_DELAY: Duration = Duration::from_millis(30);
const RETRY_DELAY_SPREAD: Duration = Duration::from_millis(90);
/// The same where this gateway can't yet, or no longer, forward anything: who comes back sooner is rejected again (ours).
const UNPREPARED_RETRY_DELAY: Duration = Duration::from_millis(350);
const UNPREPARED_RETRY_DELAY_SPREAD: Duration = Duration::from_millis(350);

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// 400: the request is not one that may be sent.
    Invalid(InvalidRequest),
    /// 404: no route of its host matches its path.
    NoRoute,
    /// 408: its body did not come in time; it was not forwarded.
    BodyTimeout,
    /// 409: the first attempt of its operation is running, or its outcome is not known.
    OperationInProgress,
    /// 413: its body is longer than the configuration allows.
    BodyTooLarge,
    /// 502: it may have run; the host's connection broke, or what came was not a response to it.
    NoValidResponse,
    /// 503: it has not run and never will; another attempt may be made.
    Rejected(Rejection),
    /// 504: it may have run, or still run; its time is over.
    DeadlineExceeded,
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// Its target is not a path (a `CONNECT`, or a target with an authority).
    Target,
    /// It has a length beside chunks, which is how requests are smuggled.
    LengthWithChunks,
    /// One of the headers that the protocol depends on stands twice.
    DuplicateHeader,
    /// No `Host`.
    MissingHost,
    /// No `Attempt-Id`.
    MissingAttemptId,
    /// An `Attempt-Id` that is empty, too long, or not text.
    AttemptId,
    /// A `Deadline-Milliseconds` that is not a number within its bounds.
    Deadline,
    /// No `Operation-Key` on an idempotent route.
    MissingOperationKey,
    /// An `Operation-Key` that is empty or too long.
    OperationKey,
    /// Its body ended early.
    IncompleteBody,
}

/// Why a request was rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This gateway has not received a configuration yet.
    NoConfiguration,
    /// No host of the service may be chosen.
    NoHost,
    /// No majority of the voting set has granted the claim of its operation key.
    NoQuorum,
    /// Other claims of its operation key, under which nothing was sent, are not withdrawn everywhere yet.
    ConflictingClaims,
    /// Its time was over before it was sent.
    DeadlineExceeded,
    /// The hosts that it was sent to did not execute it.
    HostsAtCapacity,
    /// The hosts could not be connected to.
    HostsUnreachable,
}

impl LocalResponse {
    /// The status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            LocalResponse::Invalid(_) => StatusCode::BAD_REQUEST,
            LocalResponse::NoRoute => StatusCode::NOT_FOUND,
            LocalResponse::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            LocalResponse::OperationInProgress => StatusCode::CONFLICT,
            LocalResponse::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            LocalResponse::NoValidResponse => StatusCode::BAD_GATEWAY,
            LocalResponse::Rejected(_) => StatusCode::SERVICE_UNAVAILABLE,
            LocalResponse::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The words by which it is counted, and which its body tells the client.
    pub fn reason(self) -> &'static str {
        match self {
            LocalResponse::Invalid(invalid) => invalid.reason(),
            LocalResponse::NoRoute => "no route",
            LocalResponse::BodyTimeout => "body timeout",
            LocalResponse::OperationInProgress => "operation in progress",
            LocalResponse::BodyTooLarge => "body too large",
            LocalResponse::NoValidResponse => "no valid host response",
            LocalResponse::Rejected(rejection) => rejection.reason(),
            LocalResponse::DeadlineExceeded => "deadline exceeded",
        }
    }

    /// When the client may try again, if it is told. `fraction`: a random number from 0 up to 1.
    fn retry_after(self, fraction: f64) -> Option<Duration> {
        let (delay, spread) = match self {
            LocalResponse::Rejected(rejection) if rejection.is_unprepared() => {
                (UNPREPARED_RETRY_DELAY, UNPREPARED_RETRY_DELAY_SPREAD)
            }
            LocalResponse::Rejected(_) | LocalResponse::OperationInProgress => {
                (RETRY_DELAY, RETRY_DELAY_SPREAD)
            }
            _ => return None,
        };
        Some(delay + spread.mul_f64(fraction))
    }

    /// The response as it goes to the client. `fraction`: a random number from 0 up to 1 that spreads `Retry-After`.
    pub fn into_response(self, fraction: f64) -> Response<ResponseBody> {
        let text = format!("{}\n", self.reason());
        let mut response = Response::new(ResponseBody::complete(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let seconds = self
            .retry_after(fraction)
            .map(|delay| format!("{:.3}", delay.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}

impl fmt::Display for LocalResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for LocalResponse {}

impl From<InvalidRequest> for LocalResponse {
    fn from(invalid: InvalidRequest) -> LocalResponse {
        LocalResponse::Invalid(invalid)
    }
}

impl From<Rejection> for LocalResponse {
    fn from(rejection: Rejection) -> LocalResponse {
        LocalResponse::Rejected(rejection)
    }
}

impl InvalidRequest {
    fn reason(self) -> &'static str {
        match self {
            InvalidRequest::Target => "invalid request target",
            InvalidRequest::LengthWithChunks => "content length beside chunks",
            InvalidRequest::DuplicateHeader => "duplicate header",
            InvalidRequest::MissingHost => "no host header",
            InvalidRequest::MissingAttemptId => "no attempt id",
            InvalidRequest::AttemptId => "invalid attempt id",
            InvalidRequest::Deadline => "invalid deadline",
            InvalidRequest::MissingOperationKey => "no operation key",
            InvalidRequest::OperationKey => "invalid operation key",
            InvalidRequest::IncompleteBody => "incomplete body",
        }
    }
}

impl Rejection {
    fn reason(self) -> &'static str {
        match self {
            Rejection::NoConfiguration => "no configuration yet",
            Rejection::NoHost => "no host",
            Rejection::NoQuorum => "no majority of voters",
            Rejection::ConflictingClaims => "conflicting claims",
            Rejection::DeadlineExceeded => "deadline exceeded",
            Rejection::HostsAtCapacity => "hosts at capacity",
            Rejection::HostsUnreachable => "hosts unreachable",
        }
    }

    /// Whether every request like it would be rejected now: it takes longer until another attempt is worth its while.
    fn is_unprepared(self) -> bool {
        matches!(
            self,
            Rejection::NoConfiguration | Rejection::NoHost | Rejection::NoQuorum
        )
    }
}
