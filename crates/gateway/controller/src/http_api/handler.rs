//! Handling of one HTTP request: reads and validates the body, forwards the request to the event loop, and awaits the
//! response.

use super::endpoints::{Endpoint, Operation};
use super::host_body;
use super::responses::{RequestRejection, response_to};
use crate::control_request::{
    ControlEvent, ControlRequest, ControlResponse, EventSender, Responder,
};
use axum::body::{Body, Bytes, to_bytes};
use axum::extract::Request;
use axum::http::Response;
use rushcourse_config::{Configuration, OperationScope, ValidationError};
use rushcourse_types::KeyDigest;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout for the response of the event loop; below the one second after which clients give up.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(950);
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles one request. `id` is the path parameter, if the endpoint has one.
pub(super) async fn handle(
    endpoint: &'static Endpoint,
    events: EventSender,
    id: Option<String>,
    request: Request,
) -> Response<Body> {
    match forward(endpoint, &events, &id.unwrap_or_default(), request).await {
        Ok(outcome) => response_to(outcome),
        Err(rejection) => rejection.into_response(),
    }
}

/// Validates a request and forwards it to the event loop. Returns `None` if the response times out.
async fn forward(
    endpoint: &'static Endpoint,
    events: &EventSender,
    id: &str,
    request: Request,
) -> Result<Option<ControlResponse>, RequestRejection> {
    let body = read_body(request, endpoint.max_body_bytes).await?;
    let (responder, response) = oneshot::channel();
    let request = parse(endpoint.operation, id, &body, responder)?;
    events
        .send(ControlEvent::Request(request))
        .map_err(|_| RequestRejection::Stopping)?;
    let outcome = timeout(RESPONSE_TIMEOUT, response).await;
    Ok(outcome.ok().and_then(Result::ok))
}

async fn read_body(request: Request, max_bytes: usize) -> Result<Bytes, RequestRejection> {
    match timeout(BODY_TIMEOUT, to_bytes(request.into_body(), max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err(RequestRejection::BodyTooLarge { max_bytes }),
        Err(_) => Err(RequestRejection::BodyTimeout),
    }
}

fn parse(
    operation: Operation,
    id: &str,
    body: &[u8],
    responder: Responder,
) -> Result<ControlRequest, RequestRejection> {
    Ok(match operation {
        Operation::RegisterHost => {
            let record = host_body::parse(id, body).map_err(|error| {
                log::warn!(
                    "event=request_rejected request=register_host id={id:?} why={:?}",
                    error.to_string()
                );
                RequestRejection::Invalid(error)
            })?;
            ControlRequest::RegisterHost { record, responder }
        }
        Operation::DeregisterHost => ControlRequest::DeregisterHost {
            id: id.into(),
            responder,
        },
        Operation::PutConfiguration => ControlRequest::PutConfiguration {
            version: checked_configuration(body)?.version,
            text: Arc::from(body),
            responder,
        },
        Operation::GetConfiguration => ControlRequest::GetConfiguration { responder },
        Operation::GetStatus => ControlRequest::GetStatus { responder },
        Operation::GetKey => ControlRequest::GetClaim {
            key: OperationScope::Cluster.digest(id.as_bytes()),
            responder,
        },
        Operation::GetClaim => ControlRequest::GetClaim {
            key: parse_digest(id)?,
            responder,
        },
    })
}

/// Parses the digest of an operation key, a hexadecimal number of 128 bits.
fn parse_digest(id: &str) -> Result<KeyDigest, RequestRejection> {
    u128::from_str_radix(id, 16)
        .map(KeyDigest)
        .map_err(|_| ValidationError::at("digest", "must be a hexadecimal number of 128 bits"))
        .map_err(RequestRejection::Invalid)
}

fn checked_configuration(body: &[u8]) -> Result<Configuration, RequestRejection> {
    Configuration::parse_upload(body).map_err(|error| {
        log::warn!(
            "event=request_rejected request=put_configuration why={:?}",
            error.to_string()
        );
        RequestRejection::Invalid(error)
    })
}
