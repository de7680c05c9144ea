//! A request on its way: checked, routed, sent to one host or a second one, answered.

use crate::board::Shared;
use crate::headers::{ATTEMPT_ID, DEADLINE_MILLISECONDS, OPERATION_KEY, remove_hop_by_hop};
use crate::hosts::{Outgoing, Tried, try_at};
use crate::local_response::{InvalidRequest, LocalResponse, Rejection};
use crate::response_body::ResponseBody;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rushcourse_config::{Configuration, RouteKind};
use rushcourse_routing::Observed;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// s that a request may take whose route and client name no time (ours).
const NO_TIMEOUT: f64 = 60.0;
/// ms before its client stops waiting by which an answer leaves (ours: the way back takes a few).
const BEFORE_DEADLINE: u64 = 8;
/// Hosts that may turn out not to be reached before a request is given up (ours); they saw nothing of it.
const UNREACHED_MOST: u32 = 3;
/// A request that is checked and routed.
pub struct Call {
    pub out: Outgoing,
    pub kind: RouteKind,
    pub attempts: u32,
    pub key: Option<Bytes>,
    /// When its client stops waiting, less what the way back takes.
    pub until: Instant,
}

/// This director's own answer, counted by its reason.
pub fn refuse(board: &Shared, what: LocalResponse) -> Response<ResponseBody> {
    board.count(what.reason());
    what.into_response(board.random.fraction())
}

fn single<'a>(
    head: &'a hyper::http::request::Parts,
    name: &header::HeaderName,
) -> Result<Option<&'a HeaderValue>, LocalResponse> {
    let mut all = head.headers.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() {
        Err(InvalidRequest::DuplicateHeader.into())
    } else {
        Ok(first)
    }
}

/// Checks a request and reads its body.
pub async fn take(board: &Shared, request: Request<Incoming>) -> Result<Call, LocalResponse> {
    let arrived = Instant::now();
    let (mut head, body) = request.into_parts();
    let configuration = board.state.borrow().configuration.clone();
    let configuration = configuration.ok_or(LocalResponse::Rejected(Rejection::NoConfiguration))?;
    if head.method == Method::CONNECT
        || head.uri.authority().is_some()
        || !head.uri.path().starts_with('/')
    {
        return Err(InvalidRequest::Target.into());
    }
    // A length beside chunks is how requests are smuggled; the library went by the chunks.
    if head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(InvalidRequest::LengthWithChunks.into());
    }
    let host = single(&head, &header::HOST)?
        .and_then(|h| h.to_str().ok())
        .ok_or(InvalidRequest::MissingHost)?
        .to_string();
    let attempt = single(&head, &ATTEMPT_ID)?
        .cloned()
        .ok_or(InvalidRequest::MissingAttemptId)?;
    if attempt.is_empty() || attempt.len() > 128 || attempt.to_str().is_err() {
        return Err(InvalidRequest::AttemptId.into());
    }
    let deadline = match single(&head, &DEADLINE_MILLISECONDS)? {
        None => None,
        Some(value) => {
            let ms = value
                .to_str()
                .ok()
                .and_then(|v| v.trim().parse::<u64>().ok());
            Some(
                ms.filter(|ms| *ms > 0 && *ms <= 3_600_000)
                    .ok_or(InvalidRequest::Deadline)?,
            )
        }
    };
    let route = configuration
        .route(&host, head.uri.path())
        .ok_or(LocalResponse::NoRoute)?;
    let key = match (route.kind, single(&head, &OPERATION_KEY)?) {
        (RouteKind::Idempotent, None) => return Err(InvalidRequest::MissingOperationKey.into()),
        (RouteKind::Idempotent, Some(key)) if key.is_empty() || key.len() > 512 => {
            return Err(InvalidRequest::OperationKey.into());
        }
        (RouteKind::Idempotent, Some(key)) => Some(Bytes::copy_from_slice(key.as_bytes())),
        _ => None,
    };
    // One operation goes to one side of a split, whichever try it is.
    let service = route.service(key.as_deref().unwrap_or(attempt.as_bytes()));
    let service: Arc<str> = service.into();
    let held = Duration::from_secs_f64(route.timeout.unwrap_or(NO_TIMEOUT));
    let waits = deadline.map_or(held, |ms| {
        Duration::from_millis(ms.saturating_sub(BEFORE_DEADLINE).max(1)).min(held)
    });
    let until = arrived + waits;
    let (kind, attempts) = (route.kind, route.attempts);
    let body = read(&configuration, body, until).await?;
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    if body.is_empty() && [Method::POST, Method::PUT, Method::PATCH].contains(&head.method) {
        head.headers
            .insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    board
        .state
        .borrow_mut()
        .retry_budget
        .record_request(board.now(), &service);
    Ok(Call {
        out: Outgoing {
            service,
            head,
            body,
            attempt,
        },
        kind,
        attempts,
        key,
        until,
    })
}

async fn read(
    configuration: &Configuration,
    body: Incoming,
    until: Instant,
) -> Result<Bytes, LocalResponse> {
    use hyper::body::Body;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most = usize::try_from(configuration.limits.body_bytes).unwrap_or(usize::MAX);
    if body.size_hint().lower() > most as u64 {
        return Err(LocalResponse::BodyTooLarge);
    }
    match timeout_at(until, Limited::new(body, most).collect()).await {
        Ok(Ok(all)) => Ok(all.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(LocalResponse::BodyTooLarge),
        Ok(Err(_)) => Err(InvalidRequest::IncompleteBody.into()),
        Err(_) => Err(LocalResponse::BodyTimeout),
    }
}

pub enum Carried {
    Answered(Response<ResponseBody>),
    Local(LocalResponse),
}

/// Sends a request to a host, and to a second one where it cannot run twice and the budget allows.
pub async fn carry(board: &Shared, call: &Call) -> Carried {
    let service = &call.out.service;
    let (mut tried, mut reached, mut unreached, mut last) =
        (Vec::new(), 0, 0, LocalResponse::Rejected(Rejection::NoHost));
    loop {
        if Instant::now() >= call.until {
            return Carried::Local(if matches!(last, LocalResponse::NoValidResponse) {
                last
            } else {
                LocalResponse::Rejected(Rejection::DeadlineExceeded)
            });
        }
        if reached > 0
            && !board
                .state
                .borrow_mut()
                .retry_budget
                .try_spend(board.now(), service)
        {
            return Carried::Local(last);
        }
        let pick =
            board
                .state
                .borrow_mut()
                .tables
                .choose_host(board.now(), service, &tried, || board.random.fraction());
        let Some(host) = pick else {
            return Carried::Local(last);
        };
        tried.push(host.id.clone());
        let came = try_at(board, &call.out, &host, call.until).await;
        match came {
            Tried::Answered(response) => return Carried::Answered(response),
            Tried::NotRun(met) => {
                let seen = !matches!(met, Observed::ConnectFailed);
                reached += u32::from(seen);
                unreached += u32::from(!seen);
                last = LocalResponse::Rejected(if seen {
                    Rejection::HostsAtCapacity
                } else {
                    Rejection::HostsUnreachable
                });
            }
            Tried::Broke => {
                reached += 1;
                last = LocalResponse::NoValidResponse;
            }
            Tried::Late => return Carried::Local(LocalResponse::DeadlineExceeded),
        }
        log::debug!(
            "event=try_failed attempt={:?} service={service} host={} why={:?} tries={}",
            call.out.attempt,
            host.id,
            last.reason(),
            tried.len()
        );
        let may_have_run = last.status() == StatusCode::BAD_GATEWAY;
        let again = if may_have_run {
            call.kind == RouteKind::ReadOnly
        } else {
            true
        };
        if !again || reached >= call.attempts.max(1) || unreached >= UNREACHED_MOST {
            return Carried::Local(last);
        }
    }
}
