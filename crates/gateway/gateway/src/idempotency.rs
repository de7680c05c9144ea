//! Executes each operation with an idempotency key at most once, whichever gateways its attempts arrive at.
//!
//! A majority of the voters has to persist a claim of the key before the request is forwarded. A client disconnect does
//! not cancel the operation, so that retries get its response. An operation that may have been executed is never
//! forwarded again: its retries get its response, or 409 until the key window ends if that is not known (rules TWICE,
//! REFUSED and DENIED).

use crate::forward::{RoutedRequest, forward};
use crate::headers::ATTEMPT_ID;
use crate::keyed_operations::StartedClaim;
use crate::local_response::{LocalResponse, Rejection};
use crate::operation_lookup::{Lookup, look_up};
use crate::response_body::{BodyError, ResponseBody};
use crate::response_capture::ResponseCapture;
use crate::state::GatewayState;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use rushcourse_messages::{ClaimId, KeyHolder, ResponseHead, StoredResponse};
use rushcourse_routing::{ClaimOutcome, OperationStatus};
use rushcourse_types::{KeyDigest, NodeId, OperationKeys};
use std::future::pending;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Chunks of a streamed response that may wait for the client.
const MAX_RELAYED_CHUNKS: usize = 4;

/// The chunks of a streamed response on their way to the client.
type RelayedChunks = mpsc::Sender<Result<Bytes, BodyError>>;

/// Executes an operation if no earlier attempt has claimed its key. A retry gets the stored response, or 409 while the
/// operation is running or its outcome is unknown.
pub(crate) async fn run_once(
    gateway: &Rc<GatewayState>,
    request: RoutedRequest,
    keys: OperationKeys,
) -> Response<ResponseBody> {
    match settled_status(gateway, &request, keys.key).await {
        Some(OperationStatus::Completed(stored)) => {
            return replay_response(gateway, &request, stored);
        }
        Some(OperationStatus::Evicted) => {
            return respond_with_evicted(gateway, &request, keys.key).await;
        }
        Some(OperationStatus::Claiming | OperationStatus::Running | OperationStatus::Unknown) => {
            return gateway.respond_locally(LocalResponse::OperationInProgress);
        }
        None => {}
    }
    let Some(StartedClaim { claim, outcome }) = gateway.start_claim(keys) else {
        return gateway.respond_locally(Rejection::NoQuorum.into());
    };
    // A started claim has to be finished or withdrawn, so it runs in a task that a client disconnect does not cancel.
    let operation = Rc::new(Operation {
        gateway: gateway.clone(),
        request,
        key: keys.key,
        claim,
    });
    let (sender, response) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let response = operation.claim_and_run(outcome).await;
        let _ = sender.send(response);
    });
    response
        .await
        .unwrap_or_else(|_| gateway.respond_locally(LocalResponse::NoValidResponse))
}

/// Returns the status of the operation with this key at this gateway, `None` without a record. Waits while another attempt
/// claims the key: its claim may be lost to the one under which the operation was executed long ago.
async fn settled_status(
    gateway: &GatewayState,
    request: &RoutedRequest,
    key: KeyDigest,
) -> Option<OperationStatus> {
    while let Some(settlement) = gateway.claim_settlement(key) {
        if request.deadline.bound(settlement.notified()).await.is_err() {
            break;
        }
    }
    gateway.operation_status(key)
}

/// Responds with the state of an operation of this gateway whose response was evicted.
async fn respond_with_evicted(
    gateway: &Rc<GatewayState>,
    request: &RoutedRequest,
    key: KeyDigest,
) -> Response<ResponseBody> {
    match gateway.operation_holder(key) {
        Some(holder) => respond_with_state_of(gateway, request, holder.claim.node, holder).await,
        None => gateway.respond_locally(LocalResponse::OperationInProgress),
    }
}

/// Responds with the state of the operation under `holder`, the claim that holds the key or the alias.
async fn respond_with_state_of(
    gateway: &Rc<GatewayState>,
    request: &RoutedRequest,
    local_node: NodeId,
    holder: KeyHolder,
) -> Response<ResponseBody> {
    let search = look_up(gateway, local_node, holder);
    let local = match request.deadline.bound(search).await {
        Ok(Lookup::Completed(stored)) => return replay_response(gateway, request, stored),
        Ok(Lookup::NotExecuted) => Rejection::ConflictingClaims.into(),
        Ok(Lookup::Unavailable) | Err(_) => LocalResponse::OperationInProgress,
    };
    gateway.respond_locally(local)
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
        self: Rc<Self>,
        outcome: oneshot::Receiver<ClaimOutcome>,
    ) -> Response<ResponseBody> {
        match outcome.await {
            Ok(ClaimOutcome::Won) => {
                self.gateway.claim_won(self.key, self.claim);
                self.run().await
            }
            Ok(ClaimOutcome::LostTo(holder)) => self.resolve_lost_claim(holder).await,
            Ok(ClaimOutcome::NoMajority) | Err(_) => {
                self.withdraw();
                self.gateway.respond_locally(Rejection::NoQuorum.into())
            }
        }
    }

    /// Forwards the request under a won claim and records its outcome.
    async fn run(self: Rc<Self>) -> Response<ResponseBody> {
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

    /// Stores a response for retries of the operation. A streamed one is stored while it is relayed to the client.
    async fn record(self: &Rc<Self>, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let (head, body) = response.into_parts();
        let stored_head = stored_head(&head);
        let ResponseBody::Complete(body) = body else {
            let (client, chunks) = mpsc::channel(MAX_RELAYED_CHUNKS);
            let relay = self.clone().relay(stored_head, body, client);
            tokio::task::spawn_local(relay);
            return Response::from_parts(head, ResponseBody::Relayed(chunks));
        };
        let collected = body.collect().await;
        let body = collected
            .map(|collected| collected.to_bytes())
            .unwrap_or_default();
        self.finish_with(StoredResponse::new(&stored_head, &body).ok());
        Response::from_parts(head, ResponseBody::complete(body))
    }

    /// Relays the body of a response to the client and stores it. After a client disconnect, reads on until the deadline,
    /// so that a retry gets the response.
    async fn relay(
        self: Rc<Self>,
        head: ResponseHead,
        mut body: ResponseBody,
        client: RelayedChunks,
    ) {
        let _running = self.gateway.begin_running_operation();
        let mut capture = ResponseCapture::new(&self.gateway, head);
        while !(client.is_closed() && capture.is_given_up()) {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = self.abandoned(&client) => break,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        capture.push(&chunk);
                        let _ = client.send(Ok(chunk)).await;
                    }
                }
                // Without the error, the client would take the response for complete.
                Some(Err(error)) => {
                    let _ = client.send(Err(error)).await;
                    break;
                }
                None => return self.finish_with(capture.finish()),
            }
        }
        self.finish_with(None);
    }

    /// Waits until the client has disconnected and the deadline has passed.
    async fn abandoned(&self, client: &RelayedChunks) {
        client.closed().await;
        let _ = self.request.deadline.bound(pending::<()>()).await;
    }

    /// Withdraws the claim, and responds with the state of the operation under the one that holds the key.
    async fn resolve_lost_claim(&self, holder: KeyHolder) -> Response<ResponseBody> {
        self.withdraw();
        respond_with_state_of(&self.gateway, &self.request, self.claim.node, holder).await
    }

    fn withdraw(&self) {
        self.gateway.withdraw_claim(self.key, self.claim);
    }

    fn finish(&self, status: OperationStatus) {
        self.gateway.finish_operation(self.key, self.claim, status);
    }

    /// Records that the operation ran; without a response, its retries get 409.
    fn finish_with(&self, response: Option<StoredResponse>) {
        self.finish(response.map_or(OperationStatus::Unknown, OperationStatus::Completed));
    }
}

/// Converts the head of a response for storage, without `Attempt-Id`, which differs for each retry.
fn stored_head(head: &Parts) -> ResponseHead {
    let headers = head.headers.iter().filter(|(name, _)| *name != ATTEMPT_ID);
    ResponseHead {
        status: head.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .collect(),
    }
}

/// Lends the body of a stored response to the response of a client without a copy.
struct StoredBody(StoredResponse);

impl AsRef<[u8]> for StoredBody {
    fn as_ref(&self) -> &[u8] {
        self.0.body()
    }
}

/// Builds the response to a retry from a stored response, with the retry's own `Attempt-Id`.
fn replay_response(
    gateway: &GatewayState,
    request: &RoutedRequest,
    stored: StoredResponse,
) -> Response<ResponseBody> {
    let Ok(head) = stored.head() else {
        return gateway.respond_locally(LocalResponse::NoValidResponse);
    };
    let body = ResponseBody::complete(Bytes::from_owner(StoredBody(stored)));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in &head.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value))
        {
            headers.append(name, value);
        }
    }
    headers.insert(ATTEMPT_ID, request.upstream.attempt_id.clone());
    response
}
