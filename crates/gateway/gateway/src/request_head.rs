//! Validation of a client's request head, before any other work is done for the request (rule UNASKED in RULES.md).

use crate::headers::{ATTEMPT_ID, DEADLINE_MILLISECONDS};
use crate::local_response::{InvalidRequest, LocalResponse};
use hyper::Method;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use std::time::Duration;

const MAX_ATTEMPT_ID_BYTES: usize = 128;
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Fields of a valid request head that routing needs.
pub(crate) struct RequestHead<'a> {
    pub(crate) host: &'a str,
    pub(crate) attempt_id: &'a HeaderValue,
    /// Value of `Deadline-Milliseconds`, at most [`MAX_DEADLINE`]; `None` if the header is absent.
    pub(crate) deadline: Option<Duration>,
}

/// Validates the target, the framing and the protocol headers of a request.
///
/// # Errors
/// [`LocalResponse::Invalid`] (400) with the first fault found.
pub(crate) fn parse_head(head: &Parts) -> Result<RequestHead<'_>, LocalResponse> {
    check_target(head)?;
    check_framing(head)?;
    let host = single_header(head, &header::HOST)?
        .and_then(|value| value.to_str().ok())
        .ok_or(InvalidRequest::MissingHost)?;
    Ok(RequestHead {
        host,
        attempt_id: attempt_id(head)?,
        deadline: deadline(head)?,
    })
}

/// Rejects `CONNECT` and targets in absolute form; the host comes from the `Host` header only.
fn check_target(head: &Parts) -> Result<(), InvalidRequest> {
    let is_path = head.method != Method::CONNECT
        && head.uri.authority().is_none()
        && head.uri.path().starts_with('/');
    is_path.then_some(()).ok_or(InvalidRequest::Target)
}

/// Rejects a request with both `Content-Length` and `Transfer-Encoding` (request smuggling); hyper would accept it and
/// use the chunked framing.
fn check_framing(head: &Parts) -> Result<(), InvalidRequest> {
    let has_both = head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH);
    (!has_both)
        .then_some(())
        .ok_or(InvalidRequest::ConflictingFraming)
}

fn attempt_id(head: &Parts) -> Result<&HeaderValue, InvalidRequest> {
    let id = single_header(head, &ATTEMPT_ID)?.ok_or(InvalidRequest::MissingAttemptId)?;
    let is_valid = !id.is_empty() && id.len() <= MAX_ATTEMPT_ID_BYTES && id.to_str().is_ok();
    is_valid.then_some(id).ok_or(InvalidRequest::AttemptId)
}

fn deadline(head: &Parts) -> Result<Option<Duration>, InvalidRequest> {
    let Some(value) = single_header(head, &DEADLINE_MILLISECONDS)? else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    millis
        .map(Duration::from_millis)
        .filter(|deadline| !deadline.is_zero() && *deadline <= MAX_DEADLINE)
        .map(Some)
        .ok_or(InvalidRequest::Deadline)
}

/// Returns the value of a header that may occur at most once.
///
/// # Errors
/// [`InvalidRequest::DuplicateHeader`] if it occurs more than once.
pub(crate) fn single_header<'a>(
    head: &'a Parts,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, InvalidRequest> {
    let mut values = head.headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        Err(InvalidRequest::DuplicateHeader)
    } else {
        Ok(first)
    }
}
