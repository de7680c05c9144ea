//! Requests that bind: one run for each operation key. A claim is held by a majority of disks before anything leaves;
//! the run goes on if its client goes, so that repeats get its answer.

use crate::answers::{ATTEMPT, Answer, Own};
use crate::board::Shared;
use crate::requests::{Call, Carried, NO_MAJORITY, carry, refuse};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use rushcourse_messages::{ClaimId, OperationState, StoredResponse};
use rushcourse_routing::{ClaimOutcome, OperationStatus};
use rushcourse_types::KeyDigest;
use rushcourse_types::hash::key_digest;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long the claimant of a key is waited for.
const ASK_WAIT: Duration = Duration::from_millis(400);
/// Voters still hold a claim under which nothing was sent.
const CLAIMS_MET: &str = "claims met";
/// Bytes of an answer that is kept for repeats; a longer one is passed on and its repeats get 409 (ours).
const KEPT_MOST: usize = 1 << 20;

pub async fn carry_call(
    board: &Shared,
    call: Call,
    key: KeyDigest,
    claim: ClaimId,
) -> Response<Answer> {
    // The run goes on without its client: whoever asks again gets its answer.
    let (tell, told) = oneshot::channel();
    let running = board.clone();
    board.busy.set(board.busy.get() + 1);
    tokio::task::spawn_local(async move {
        let response = run(&running, &call, key, claim).await;
        running.busy.set(running.busy.get() - 1);
        let _ = tell.send(response);
    });
    told.await.unwrap_or_else(|_| refuse(board, Own::Broke))
}

async fn run(board: &Shared, call: &Call, key: KeyDigest, claim: ClaimId) -> Response<Answer> {
    match carry(board, call).await {
        Carried::Answered(response) => {
            let (head, body) = response.into_parts();
            let Answer::Whole(body) = body else {
                board
                    .state
                    .borrow_mut()
                    .operations
                    .finish(key, claim, OperationStatus::Unknown);
                return Response::from_parts(head, body);
            };
            let bytes = body
                .collect()
                .await
                .map(|b| b.to_bytes())
                .unwrap_or_default();
            let kept = StoredResponse {
                status: head.status.as_u16(),
                headers: head
                    .headers
                    .iter()
                    .filter(|h| *h.0 != ATTEMPT)
                    .map(|h| (h.0.as_str().to_string(), h.1.as_bytes().to_vec()))
                    .collect(),
                body: bytes.to_vec(),
            };
            let state = if bytes.len() <= KEPT_MOST {
                OperationStatus::Completed(Arc::new(kept))
            } else {
                OperationStatus::Unknown
            };
            board
                .state
                .borrow_mut()
                .operations
                .finish(key, claim, state);
            Response::from_parts(head, Answer::Whole(Full::new(bytes)))
        }
        Carried::Own(what) => {
            let mut state = board.state.borrow_mut();
            if what.status() == StatusCode::SERVICE_UNAVAILABLE {
                // Nothing ran and nothing will: the key is free for the next try.
                state.withdraw(board.now(), key, claim);
            } else {
                state
                    .operations
                    .finish(key, claim, OperationStatus::Unknown);
            }
            drop(state);
            refuse(board, what)
        }
    }
}

/// A kept answer as the answer of a repeat.
fn repeat(call: &Call, kept: &StoredResponse) -> Response<Answer> {
    let mut response = Response::new(Answer::Whole(Full::new(Bytes::copy_from_slice(&kept.body))));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &kept.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value))
        {
            response.headers_mut().append(name, value);
        }
    }
    response
        .headers_mut()
        .insert(ATTEMPT, call.out.attempt.clone());
    response
}

/// Takes a request with a key through: its first try runs, repeats get what became of it.
pub async fn take(board: &Shared, call: Call) -> Response<Answer> {
    let Some(key) = call.key.as_deref().map(key_digest) else {
        return refuse(board, Own::Bad("no operation key"));
    };
    let known = board.state.borrow().operations.status(key).cloned();
    match known {
        Some(OperationStatus::Completed(kept)) => return repeat(&call, &kept),
        Some(OperationStatus::Running | OperationStatus::Unknown) => {
            return refuse(board, Own::AtWork);
        }
        None => {}
    }
    let now = board.now();
    let begun = {
        let mut state = board.state.borrow_mut();
        let state = &mut *state;
        let started = state
            .claims
            .start(now, key, |n| state.controllers.is_connected(n));
        started.map(|request| {
            let (tell, told) = oneshot::channel();
            state.claimed.insert(key, tell);
            state.operations.start(now, key, request.claim);
            state.send_claim(&request);
            (request.claim, told)
        })
    };
    let Some((claim, told)) = begun else {
        return refuse(board, Own::Refused(NO_MAJORITY));
    };
    // From here to the end of this block nothing may be dropped with its client: a claim is won, lost or withdrawn.
    let (board, waiting) = (board.clone(), oneshot::channel());
    let outer = board.clone();
    tokio::task::spawn_local(async move {
        let response = match told.await {
            Ok(ClaimOutcome::Won) => carry_call(&board, call, key, claim).await,
            Ok(ClaimOutcome::LostTo(holder)) => lost(&board, &call, key, claim, holder).await,
            _ => {
                board.state.borrow_mut().withdraw(board.now(), key, claim);
                refuse(&board, Own::Refused(NO_MAJORITY))
            }
        };
        let _ = waiting.0.send(response);
    });
    waiting
        .1
        .await
        .unwrap_or_else(|_| refuse(&outer, Own::Broke))
}

/// Another claim holds the key: its claimant knows what became of it.
async fn lost(
    board: &Shared,
    call: &Call,
    key: KeyDigest,
    claim: ClaimId,
    holder: ClaimId,
) -> Response<Answer> {
    let (token, told) = {
        let now = board.now();
        let mut state = board.state.borrow_mut();
        state.withdraw(now, key, claim);
        if holder.node == claim.node {
            let withdrawn = state.withdraw_again(now, key, holder);
            drop(state);
            // Of an earlier life of this director it is not known whether it sent anything.
            return refuse(
                board,
                if withdrawn {
                    Own::Refused(CLAIMS_MET)
                } else {
                    Own::AtWork
                },
            );
        }
        state.ask(now, key, holder)
    };
    let progress = timeout(ASK_WAIT, told).await;
    board.state.borrow_mut().asked.remove(&token);
    match progress {
        Ok(Ok(OperationState::Completed(kept))) => repeat(call, &kept),
        Ok(Ok(OperationState::NotFound)) => refuse(board, Own::Refused(CLAIMS_MET)),
        _ => refuse(board, Own::AtWork),
    }
}
