//! Operations with an idempotency key: one run for each key, whichever of its attempts arrives where.
//!
//! A claim of the key is granted by a majority of the voters' disks before anything leaves. The run goes on if its client
//! goes, so that repeats get its response. An operation that may have run is never sent again: its repeats get 409 until
//! its window ends (rules TWICE and REFUSED).

use crate::forward::{RoutedRequest, forward};
use crate::headers::ATTEMPT_ID;
use crate::keyed_operations::{OperationQuery, StartedClaim};
use crate::local_response::{LocalResponse, Rejection};
use crate::response_body::ResponseBody;
use crate::state::GatewayState;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use rushcourse_messages::{ClaimId, OperationState, StoredResponse};
use rushcourse_routing::{ClaimOutcome, OperationStatus};
use rushcourse_types::KeyDigest;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long the gateway that holds the claim of a key is waited for.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest response that is stored for repeats; a longer one is passed on, and its repeats get 409 (ours).
const MAX_STORED_RESPONSE_BYTES: usize = 1 << 20;

/// Runs an operation if this is its first attempt; a repeat gets what became of the first.
pub(crate) async fn run_once(
    gateway: &Rc<GatewayState>,
    request: RoutedRequest,
    key: KeyDigest,
) -> Response<ResponseBody> {
    match gateway.operation_status(key) {
        Some(OperationStatus::Completed(stored)) => return repeat(&request, &stored),
        Some(OperationStatus::Running | OperationStatus::Unknown) => {
            return gateway.respond_locally(LocalResponse::OperationInProgress);
        }
        None => {}
    }
    let Some(StartedClaim { claim, outcome }) = gateway.start_claim(key) else {
        return gateway.respond_locally(Rejection::NoQuorum.into());
    };
    // From here on nothing may be dropped with its client: a claim is won, lost or withdrawn, and what is won runs to its
    // end. So that has a task of its own.
    let operation = Operation {
        gateway: gateway.clone(),
        request,
        key,
        claim,
    };
    let (sender, response) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let response = operation.claim_and_run(outcome).await;
        let _ = sender.send(response);
    });
    response
        .await
        .unwrap_or_else(|_| gateway.respond_locally(LocalResponse::NoValidResponse))
}

/// The first attempt of an operation at this gateway, under a claim of its key.
struct Operation {
    gateway: Rc<GatewayState>,
    request: RoutedRequest,
    key: KeyDigest,
    claim: ClaimId,
}

impl Operation {
    async fn claim_and_run(
        &self,
        outcome: oneshot::Receiver<ClaimOutcome>,
    ) -> Response<ResponseBody> {
        match outcome.await {
            Ok(ClaimOutcome::Won) => self.run().await,
            Ok(ClaimOutcome::LostTo(holder)) => self.follow(holder).await,
            Ok(ClaimOutcome::NoMajority) | Err(_) => {
                self.withdraw();
                self.gateway.respond_locally(Rejection::NoQuorum.into())
            }
        }
    }

    /// The claim is won: forwards the request and records what becomes of it.
    async fn run(&self) -> Response<ResponseBody> {
        let _running = self.gateway.begin_running_operation();
        match forward(&self.gateway, &self.request).await {
            Ok(response) => self.record(response).await,
            Err(local) => {
                if matches!(local, LocalResponse::Rejected(_)) {
                    // Nothing ran and nothing will: the key is free for the next attempt.
                    self.withdraw();
                } else {
                    self.finish(OperationStatus::Unknown);
                }
                self.gateway.respond_locally(local)
            }
        }
    }

    /// Stores a response for repeats, unless it is too long for that.
    async fn record(&self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let (head, body) = response.into_parts();
        let ResponseBody::Complete(body) = body else {
            self.finish(OperationStatus::Unknown);
            return Response::from_parts(head, body);
        };
        let collected = body.collect().await;
        let body = collected
            .map(|collected| collected.to_bytes())
            .unwrap_or_default();
        self.finish(if body.len() <= MAX_STORED_RESPONSE_BYTES {
            OperationStatus::Completed(Arc::new(stored_response(&head, &body)))
        } else {
            OperationStatus::Unknown
        });
        Response::from_parts(head, ResponseBody::complete(body))
    }

    /// Another claim holds the key: its claimant knows what became of the operation.
    async fn follow(&self, holder: ClaimId) -> Response<ResponseBody> {
        self.withdraw();
        if holder.node == self.claim.node {
            return self.follow_own(holder);
        }
        let OperationQuery { token, state } = self.gateway.query_operation(self.key, holder);
        let state = timeout(QUERY_TIMEOUT, state).await;
        self.gateway.end_operation_query(token);
        match state {
            Ok(Ok(OperationState::Completed(stored))) => repeat(&self.request, &stored),
            Ok(Ok(OperationState::NotFound)) => self
                .gateway
                .respond_locally(Rejection::ConflictingClaims.into()),
            _ => self
                .gateway
                .respond_locally(LocalResponse::OperationInProgress),
        }
    }

    /// The claim that holds the key is one of this gateway, and its operation is not known here any more.
    fn follow_own(&self, holder: ClaimId) -> Response<ResponseBody> {
        let is_withdrawn = self.gateway.withdraw_claim_again(self.key, holder);
        self.gateway.respond_locally(if is_withdrawn {
            Rejection::ConflictingClaims.into()
        } else {
            // Of an earlier incarnation of this gateway it is not known whether it sent anything.
            LocalResponse::OperationInProgress
        })
    }

    fn withdraw(&self) {
        self.gateway.withdraw_claim(self.key, self.claim);
    }

    fn finish(&self, status: OperationStatus) {
        self.gateway.finish_operation(self.key, self.claim, status);
    }
}

/// What is stored of a response. Each repeat gets an `Attempt-Id` of its own.
fn stored_response(head: &Parts, body: &Bytes) -> StoredResponse {
    let headers = head.headers.iter().filter(|(name, _)| *name != ATTEMPT_ID);
    StoredResponse {
        status: head.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: body.to_vec(),
    }
}

/// A stored response as the response to a repeat.
fn repeat(request: &RoutedRequest, stored: &StoredResponse) -> Response<ResponseBody> {
    let body = ResponseBody::complete(Bytes::copy_from_slice(&stored.body));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in &stored.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value))
        {
            headers.append(name, value);
        }
    }
    headers.insert(ATTEMPT_ID, request.upstream.attempt_id.clone());
    response
}
