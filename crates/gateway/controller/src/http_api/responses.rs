//! Status and body of each outcome of a request.

use crate::control_request::ControlResponse;
use crate::json::quoted;
use axum::body::{Body, Bytes};
use axum::http::{HeaderValue, Response, StatusCode, header};
use rushcourse_config::ValidationError;
use std::fmt;

/// Seconds after which a caller that got no clear answer may come back.
const RETRY_AFTER_SECONDS: &str = "0.2";
/// Why a controller that is cut off acknowledges nothing.
const NO_QUORUM_CONTACT: &str = "no recent contact with a majority: ask another director";
/// Why a configuration is neither acknowledged nor refused.
const OUTCOME_UNKNOWN: &str = "no majority in time: it may be in force or not";
/// The answer to a configuration under whose number another operator's text is committed: it is acknowledged, as each
/// version that is not above the one held (PROTOCOL.md), and changed nothing.
const OTHER_TEXT_COMMITTED: &str = "{\"another_text_in_force\":true}";

/// Why a request is answered before the controller looks at it.
#[derive(Debug)]
pub(super) enum RequestRejection {
    /// Its body is longer than its endpoint takes, or broke off.
    BodyTooLarge { max_bytes: usize },
    /// Its body did not come in time.
    BodyTimeout,
    /// Its body can't be used.
    Invalid(ValidationError),
    /// The process ends.
    Stopping,
}

impl RequestRejection {
    fn status(&self) -> StatusCode {
        match self {
            RequestRejection::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            RequestRejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestRejection::Invalid(_) => StatusCode::BAD_REQUEST,
            RequestRejection::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(super) fn into_response(self) -> Response<Body> {
        error_response(self.status(), &self.to_string())
    }
}

impl fmt::Display for RequestRejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestRejection::BodyTooLarge { max_bytes } => {
                write!(formatter, "body: over {max_bytes} bytes, or broken off")
            }
            RequestRejection::BodyTimeout => formatter.write_str("body: did not come"),
            RequestRejection::Invalid(error) => error.fmt(formatter),
            RequestRejection::Stopping => formatter.write_str("ending"),
        }
    }
}

impl std::error::Error for RequestRejection {}

/// The answer to a request that the controller has looked at. `None`: it gave none in time.
pub(super) fn response_to(outcome: Option<ControlResponse>) -> Response<Body> {
    match outcome {
        Some(ControlResponse::Done | ControlResponse::Acknowledged) => {
            json_response(StatusCode::OK, "{}")
        }
        Some(ControlResponse::OtherTextCommitted) => {
            json_response(StatusCode::OK, OTHER_TEXT_COMMITTED)
        }
        Some(ControlResponse::Text(text)) => json_response(StatusCode::OK, Bytes::from_owner(text)),
        Some(ControlResponse::NoConfiguration) => error_response(
            StatusCode::NOT_FOUND,
            "no configuration has been acknowledged",
        ),
        Some(ControlResponse::NoQuorumContact) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, NO_QUORUM_CONTACT)
        }
        Some(ControlResponse::Unknown) | None => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, OUTCOME_UNKNOWN)
        }
    }
}

fn json_response(status: StatusCode, body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = HeaderValue::from_static(RETRY_AFTER_SECONDS);
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// An answer with its reason, as JSON.
fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    json_response(status, format!("{{\"error\":{}}}", quoted(reason)))
}
