//! HTTP status codes and bodies for the outcomes of requests.

use crate::control_request::ControlResponse;
use crate::json::quoted;
use axum::body::{Body, Bytes};
use axum::http::{HeaderValue, Response, StatusCode, header};
use rushcourse_config::ValidationError;
use std::fmt;

/// Value in seconds of the `Retry-After` header of 503 responses.
const RETRY_AFTER_SECONDS: &str = "0.2";
/// Error text of the 503 response of a controller without quorum contact.
const NO_QUORUM_CONTACT: &str = "no recent contact with a majority: ask another director";
/// Error text of the 503 response to a request whose outcome is unknown.
const OUTCOME_UNKNOWN: &str = "no majority in time: it may be in force or not";
/// Body of the 200 response to a configuration whose version is already committed with a different text. Such a request
/// is acknowledged, like any version that is not above the committed one, but has no effect.
const OTHER_TEXT_COMMITTED: &str = "{\"another_text_in_force\":true}";

/// The reason for rejecting a request before it reaches the event loop.
#[derive(Debug)]
pub(super) enum RequestRejection {
    /// The body exceeds the endpoint's limit, or the connection broke while reading it (413).
    BodyTooLarge { max_bytes: usize },
    /// The body was not received within the timeout (408).
    BodyTimeout,
    /// The body is malformed or has an invalid field (400).
    Invalid(ValidationError),
    /// The event loop has stopped since the process is shutting down (503).
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

/// Creates the HTTP response for a request that reached the event loop. `None` means that it timed out.
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

/// Creates a response with the JSON body `{"error":reason}`.
fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    json_response(status, format!("{{\"error\":{}}}", quoted(reason)))
}
