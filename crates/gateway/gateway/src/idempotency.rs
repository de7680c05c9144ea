//! Executes each operation with an idempotency key at most once, whichever gateways its attempts arrive at.
//!
//! A majority of the voters has to persist a claim of the key before the request is forwarded. A client disconnect does
//! not cancel the operation, so that retries get its response. An operation that may have been executed is never
//! forwarded again: its retries get 409 until the key window ends (rules TWICE and REFUSED in RULES.md).

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
use rushcourse_messages::{ClaimId, KeyHolder, OperationState, StoredResponse};
use rushcourse_routing::{ClaimOutcome, OperationStatus};
use rushcourse_types::{KeyDigest, OperationKeys};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Upper bound of the wait for the reply of the gateway that holds a key.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest response body that is stored for retries. After a longer one, retries of the operation get 409.
const MAX_STORED_RESPONSE_BYTES: usize = 1 << 20;

/// Executes an operation if no earlier attempt has claimed its key. A retry gets the stored response, or 409 while the
/// operation is running or its outcome is unknown.
pub(crate) async fn run_once(
    gateway: &Rc<GatewayState>,
    request: RoutedRequest,
    keys: OperationKeys,
) -> Response<ResponseBody> {
    match gateway.operation_status(keys.key) {
        Some(OperationStatus::Completed(stored)) => return replay_response(&request, &stored),
        Some(OperationStatus::Running | OperationStatus::Unknown) => {
            return gateway.respond_locally(LocalResponse::OperationInProgress);
        }
        None => {}
    }
    let Some(StartedClaim { claim, outcome }) = gateway.start_claim(keys) else {
        return gateway.respond_locally(Rejection::NoQuorum.into());
    };
    // A started claim has to be finished or withdrawn, so it runs in a task that a client disconnect does not cancel.
    let operation = Operation {
        gateway: gateway.clone(),
        request,
        key: keys.key,
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

/// An operation that this gateway has started to claim.
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
            Ok(ClaimOutcome::LostTo(holder)) => self.resolve_lost_claim(holder).await,
            Ok(ClaimOutcome::NoMajority) | Err(_) => {
                self.withdraw();
                self.gateway.respond_locally(Rejection::NoQuorum.into())
            }
        }
    }

    /// Forwards the request under a won claim and records its outcome.
    async fn run(&self) -> Response<ResponseBody> {
        let _running = self.gateway.begin_running_operation();
        match forward(&self.gateway, &self.request).await {
            Ok(response) => self.record(response).await,
            Err(local) => {
                if matches!(local, LocalResponse::Rejected(_)) {
                    // No host executed the request, so the key is freed for a retry.
                    self.withdraw();
                } else {
                    self.finish(OperationStatus::Unknown);
                }
                self.gateway.respond_locally(local)
            }
        }
    }

    /// Stores a response for retries of the operation. A streamed or overlong response is not stored: the operation's
    /// status becomes unknown and retries get 409.
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

    /// Responds with the state of the operation under `holder`, the claim that holds the key or the alias, as reported
    /// by its gateway.
    async fn resolve_lost_claim(&self, holder: KeyHolder) -> Response<ResponseBody> {
        self.withdraw();
        if holder.claim.node == self.claim.node {
            return self.resolve_own_claim(holder);
        }
        let OperationQuery { token, state } = self.gateway.query_operation(holder);
        let state = timeout(QUERY_TIMEOUT, state).await;
        self.gateway.end_operation_query(token);
        match state {
            Ok(Ok(OperationState::Completed(stored))) => replay_response(&self.request, &stored),
            Ok(Ok(OperationState::NotFound)) => self
                .gateway
                .respond_locally(Rejection::ConflictingClaims.into()),
            _ => self
                .gateway
                .respond_locally(LocalResponse::OperationInProgress),
        }
    }

    /// Responds with the state of the operation under a claim of this gateway's own, whose key differs or of which it
    /// has no record. In the latter case it resends the withdrawal.
    fn resolve_own_claim(&self, holder: KeyHolder) -> Response<ResponseBody> {
        let local = match self.gateway.state_of_claim(holder) {
            OperationState::Completed(stored) => return replay_response(&self.request, &stored),
            OperationState::NotFound if self.gateway.is_own_claim(holder.claim) => {
                Rejection::ConflictingClaims.into()
            }
            // Without a record, an earlier incarnation of this gateway made the claim and may have forwarded the
            // request.
            OperationState::NotFound | OperationState::Running | OperationState::Unknown => {
                LocalResponse::OperationInProgress
            }
        };
        self.gateway.respond_locally(local)
    }

    fn withdraw(&self) {
        self.gateway.withdraw_claim(self.key, self.claim);
    }

    fn finish(&self, status: OperationStatus) {
        self.gateway.finish_operation(self.key, self.claim, status);
    }
}

/// Converts a response for storage, without `Attempt-Id`, which differs for each retry.
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

/// Builds the response to a retry from a stored response, with the retry's own `Attempt-Id`.
fn replay_response(request: &RoutedRequest, stored: &StoredResponse) -> Response<ResponseBody> {
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
