//! Buffers the body of a client's request, bounded in size and time, before the request is forwarded.

use crate::deadline::Deadline;
use crate::local_response::{InvalidRequest, LocalResponse};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Reads the whole body of a request into memory.
///
/// # Errors
/// 413 if the body exceeds `max_bytes`, 408 if it is not complete by `deadline`, 400 if the client ends it early.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: u64,
    deadline: &Deadline,
) -> Result<Bytes, LocalResponse> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes {
        return Err(LocalResponse::BodyTooLarge);
    }
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match deadline
        .bound(Limited::new(body, max_bytes).collect())
        .await
    {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(LocalResponse::BodyTooLarge),
        Ok(Err(_)) => Err(InvalidRequest::IncompleteBody.into()),
        Err(_) => Err(LocalResponse::BodyTimeout),
    }
}
