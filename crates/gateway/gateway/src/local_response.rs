//! Responses that the gateway generates itself: reason, status and `Retry-After`.
//!
//! The status tells the client whether a retry is safe (PROTOCOL.md): after 408 and 503 the request was not executed
//! and never will be; after 502 and 504 it may have been; after 400, 401, 404 and 413 a retry would fail again.

use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::fmt;
use std::time::Duration;

/// Minimum `Retry-After` of a rejected request.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// Upper bound of the random addition to [`RETRY_DELAY`], which spreads the retries of rejected clients.
const RETRY_JITTER: Duration = Duration::from_millis(90);
/// Minimum `Retry-After` while the gateway has no configuration, no available host or no quorum for a claim.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(350);
/// Upper bound of the random addition to [`NOT_READY_RETRY_DELAY`].
const NOT_READY_RETRY_JITTER: Duration = Duration::from_millis(350);
/// Value of `WWW-Authenticate`, which HTTP requires in responses with 401.
const AUTHENTICATION_SCHEME: HeaderValue = HeaderValue::from_static("ApiKey");

/// Reason why the gateway responds to a request without a host's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// 400: the request violates HTTP or the protocol of PROTOCOL.md.
    Invalid(InvalidRequest),
    /// 401: the request is not authenticated.
    Unauthenticated(ApiKeyError),
    /// 404: no route matches the `Host` header and the path.
    NoRoute,
    /// 408: the body was not complete by the deadline; the request was not forwarded.
    BodyTimeout,
    /// 409: an earlier attempt of the same operation is running, or it is unknown whether it was executed.
    OperationInProgress,
    /// 413: the body exceeds `body_size_bytes` of the configuration.
    BodyTooLarge,
    /// 502: the upstream connection failed or the response failed its checks; the request may have been executed.
    NoValidResponse,
    /// 503: the request was not executed and never will be; a retry is safe.
    Rejected(Rejection),
    /// 504: no response by the deadline, or by the end of the drain if this process shuts down; the request may have been
    /// executed or may still be running.
    DeadlineExceeded,
}

/// Fault of a request that is answered with 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The method is `CONNECT`, or the target has an authority or is not an absolute path.
    Target,
    /// The head has both `Content-Length` and `Transfer-Encoding`, which enables request smuggling.
    ConflictingFraming,
    /// A header that may occur only once, such as `Host` or `Attempt-Id`, occurs more than once.
    DuplicateHeader,
    /// `Host` is absent or not visible ASCII.
    MissingHost,
    /// `Attempt-Id` is absent.
    MissingAttemptId,
    /// `Attempt-Id` is empty, longer than 128 bytes or not visible ASCII.
    AttemptId,
    /// `Deadline-Milliseconds` is not a whole number from 1 to 3,600,000.
    Deadline,
    /// `Operation-Key` is absent on an idempotent route.
    MissingOperationKey,
    /// `Operation-Key` is empty or longer than 512 bytes.
    OperationKey,
    /// The client closed the connection, or sent malformed chunks, before the end of the body.
    IncompleteBody,
}

/// Fault of a request that is answered with 401, where the configuration has tenants and the route is not public.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKeyError {
    /// `Api-Key` is absent.
    Missing,
    /// `Api-Key` occurs more than once.
    Repeated,
    /// No tenant of the configuration holds the key.
    Unknown,
}

/// Reason why a request is answered with 503. No host executed the request and none will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The gateway has not received a configuration yet.
    NoConfiguration,
    /// The gateway holds no lease on its configuration, so the API key may have been revoked by a newer one.
    NoConfigurationLease,
    /// The service has no available host.
    NoHost,
    /// No majority of the voting set granted the claim of the operation key.
    NoQuorum,
    /// Voters still hold earlier claims of the operation key under which nothing was executed. They are being
    /// withdrawn.
    ConflictingClaims,
    /// The deadline passed, or the drain of this process ended, before any host could have executed the request.
    DeadlineExceeded,
    /// The process is shutting down and no longer accepts requests.
    ShuttingDown,
    /// The last host tried did not execute the request, or this gateway's share of its connections was in use.
    HostsAtCapacity,
    /// The last host tried could not be connected to.
    HostsUnreachable,
}

impl LocalResponse {
    /// Returns the HTTP status, which tells the client whether a retry is safe.
    pub fn status(self) -> StatusCode {
        match self {
            LocalResponse::Invalid(_) => StatusCode::BAD_REQUEST,
            LocalResponse::Unauthenticated(_) => StatusCode::UNAUTHORIZED,
            LocalResponse::NoRoute => StatusCode::NOT_FOUND,
            LocalResponse::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            LocalResponse::OperationInProgress => StatusCode::CONFLICT,
            LocalResponse::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            LocalResponse::NoValidResponse => StatusCode::BAD_GATEWAY,
            LocalResponse::Rejected(_) => StatusCode::SERVICE_UNAVAILABLE,
            LocalResponse::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason text, used in the response body and as the counter's label.
    pub fn reason(self) -> &'static str {
        match self {
            LocalResponse::Invalid(invalid) => invalid.reason(),
            LocalResponse::Unauthenticated(error) => error.reason(),
            LocalResponse::NoRoute => "no route",
            LocalResponse::BodyTimeout => "body timeout",
            LocalResponse::OperationInProgress => "operation in progress",
            LocalResponse::BodyTooLarge => "body too large",
            LocalResponse::NoValidResponse => "no valid host response",
            LocalResponse::Rejected(rejection) => rejection.reason(),
            LocalResponse::DeadlineExceeded => "deadline exceeded",
        }
    }

    /// Returns the value of `Retry-After`, `None` for statuses without it. `jitter_fraction` is a random number in
    /// `0.0..1.0`.
    fn retry_after(self, jitter_fraction: f64) -> Option<Duration> {
        let (delay, jitter) = match self {
            LocalResponse::Rejected(rejection) if rejection.is_not_ready() => {
                (NOT_READY_RETRY_DELAY, NOT_READY_RETRY_JITTER)
            }
            LocalResponse::Rejected(_) | LocalResponse::OperationInProgress => {
                (RETRY_DELAY, RETRY_JITTER)
            }
            _ => return None,
        };
        Some(delay + jitter.mul_f64(jitter_fraction))
    }

    /// Builds the HTTP response. `jitter_fraction` is a random number in `0.0..1.0` that scales the jitter of
    /// `Retry-After`.
    pub fn into_response(self, jitter_fraction: f64) -> Response<ResponseBody> {
        let text = format!("{}\n", self.reason());
        let mut response = Response::new(ResponseBody::complete(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status() == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, AUTHENTICATION_SCHEME);
        }
        let seconds = self
            .retry_after(jitter_fraction)
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

impl From<ApiKeyError> for LocalResponse {
    fn from(error: ApiKeyError) -> LocalResponse {
        LocalResponse::Unauthenticated(error)
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
            InvalidRequest::ConflictingFraming => "content length beside chunks",
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

impl ApiKeyError {
    fn reason(self) -> &'static str {
        match self {
            ApiKeyError::Missing => "no api key",
            ApiKeyError::Repeated => "repeated api key",
            ApiKeyError::Unknown => "unknown api key",
        }
    }
}

impl Rejection {
    fn reason(self) -> &'static str {
        match self {
            Rejection::NoConfiguration => "no configuration yet",
            Rejection::NoConfigurationLease => "no configuration lease",
            Rejection::NoHost => "no host",
            Rejection::NoQuorum => "no majority of voters",
            Rejection::ConflictingClaims => "conflicting claims",
            Rejection::DeadlineExceeded => "deadline exceeded",
            Rejection::ShuttingDown => "shutting down",
            Rejection::HostsAtCapacity => "hosts at capacity",
            Rejection::HostsUnreachable => "hosts unreachable",
        }
    }

    /// Whether the cause affects all requests of the service and lasts longer than a shortage of host capacity.
    fn is_not_ready(self) -> bool {
        matches!(
            self,
            Rejection::NoConfiguration
                | Rejection::NoConfigurationLease
                | Rejection::NoHost
                | Rejection::NoQuorum
        )
    }
}
