//! A request on its way: checked, routed, sent to one host or a second one, answered.

use crate::answers::{ATTEMPT, Answer, DEADLINE, KEY, Own, own, strip};
use crate::board::Shared;
use crate::hosts::{Outgoing, Tried, try_at};
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

/// What a request may take whose route and client name no time (ours).
const NO_TIMEOUT: Duration = Duration::from_secs(60);
/// ms before its client stops waiting by which an answer leaves (ours: the way back takes a few).
const BEFORE_DEADLINE: u64 = 8;
/// Hosts that may turn out not to be reached before a request is given up (ours); they saw nothing of it.
const UNREACHED_MOST: u32 = 3;
/// s after which a refused client is told to come back, and how far that is spread (ours).
const BACK_FIRST: f64 = 0.03;
const BACK_SPREAD: f64 = 0.09;

/// The same where this director can't yet, or no longer, send anything anywhere.
const BACK_UNPREPARED: f64 = 0.35;
pub const UNPREPARED: &str = "no configuration yet";
pub const NO_HOST: &str = "no host";
pub const NO_MAJORITY: &str = "no majority of voters";

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
pub fn refuse(board: &Shared, what: Own) -> Response<Answer> {
    board.count(what.why());
    // Who comes back before there is a configuration or a host is refused again.
    let (first, spread) = if matches!(what, Own::Refused(UNPREPARED | NO_HOST | NO_MAJORITY)) {
        (BACK_UNPREPARED, BACK_UNPREPARED)
    } else {
        (BACK_FIRST, BACK_SPREAD)
    };
    own(what, first + board.chance() * spread)
}

fn single<'a>(
    head: &'a hyper::http::request::Parts,
    name: &header::HeaderName,
) -> Result<Option<&'a HeaderValue>, Own> {
    let mut all = head.headers.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() {
        Err(Own::Bad("a header stands twice"))
    } else {
        Ok(first)
    }
}

/// Checks a request and reads its body.
pub async fn take(board: &Shared, request: Request<Incoming>) -> Result<Call, Own> {
    let arrived = Instant::now();
    let (mut head, body) = request.into_parts();
    let configuration = board.state.borrow().configuration.clone();
    let configuration = configuration.ok_or(Own::Refused(UNPREPARED))?;
    if head.method == Method::CONNECT
        || head.uri.authority().is_some()
        || !head.uri.path().starts_with('/')
    {
        return Err(Own::Bad("not a path of this host"));
    }
    // A length beside chunks is how requests are smuggled; the library went by the chunks.
    if head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(Own::Bad("a length beside chunks"));
    }
    let host = single(&head, &header::HOST)?
        .and_then(|h| h.to_str().ok())
        .ok_or(Own::Bad("no host"))?
        .to_string();
    let attempt = single(&head, &ATTEMPT)?
        .cloned()
        .ok_or(Own::Bad("no attempt id"))?;
    if attempt.is_empty() || attempt.len() > 128 || attempt.to_str().is_err() {
        return Err(Own::Bad("an attempt id that can't be"));
    }
    let deadline = match single(&head, &DEADLINE)? {
        None => None,
        Some(value) => {
            let ms = value
                .to_str()
                .ok()
                .and_then(|v| v.trim().parse::<u64>().ok());
            Some(
                ms.filter(|ms| *ms > 0 && *ms <= 3_600_000)
                    .ok_or(Own::Bad("a deadline that can't be"))?,
            )
        }
    };
    let route = configuration
        .find_route(&host, head.uri.path())
        .ok_or(Own::NoRoute)?;
    let key = match (route.kind, single(&head, &KEY)?) {
        (RouteKind::Idempotent, None) => return Err(Own::Bad("no operation key")),
        (RouteKind::Idempotent, Some(key)) if key.is_empty() || key.len() > 512 => {
            return Err(Own::Bad("an operation key that can't be"));
        }
        (RouteKind::Idempotent, Some(key)) => Some(Bytes::copy_from_slice(key.as_bytes())),
        _ => None,
    };
    // One operation goes to one side of a split, whichever try it is.
    let service = route.choose_service(key.as_deref().unwrap_or(attempt.as_bytes()));
    let service: Arc<str> = service.into();
    let held = route.timeout.unwrap_or(NO_TIMEOUT);
    let waits = deadline.map_or(held, |ms| {
        Duration::from_millis(ms.saturating_sub(BEFORE_DEADLINE).max(1)).min(held)
    });
    let until = arrived + waits;
    let (kind, attempts) = (route.kind, route.max_attempts);
    let body = read(&configuration, body, until).await?;
    strip(&mut head.headers);
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

async fn read(configuration: &Configuration, body: Incoming, until: Instant) -> Result<Bytes, Own> {
    use hyper::body::Body;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most = usize::try_from(configuration.limits.max_body_bytes).unwrap_or(usize::MAX);
    if body.size_hint().lower() > most as u64 {
        return Err(Own::TooLarge);
    }
    match timeout_at(until, Limited::new(body, most).collect()).await {
        Ok(Ok(all)) => Ok(all.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Own::TooLarge),
        Ok(Err(_)) => Err(Own::Bad("the body breaks off")),
        Err(_) => Err(Own::TooSlow),
    }
}

pub enum Carried {
    Answered(Response<Answer>),
    Own(Own),
}

/// Sends a request to a host, and to a second one where it cannot run twice and the budget allows.
pub async fn carry(board: &Shared, call: &Call) -> Carried {
    let service = &call.out.service;
    let (mut tried, mut reached, mut unreached, mut last) =
        (Vec::new(), 0, 0, Own::Refused(NO_HOST));
    loop {
        if Instant::now() >= call.until {
            return Carried::Own(if matches!(last, Own::Broke) {
                last
            } else {
                Own::Refused("time is over")
            });
        }
        if reached > 0
            && !board
                .state
                .borrow_mut()
                .retry_budget
                .try_spend(board.now(), service)
        {
            return Carried::Own(last);
        }
        let pick =
            board
                .state
                .borrow_mut()
                .tables
                .choose_host(board.now(), service, &tried, || board.chance());
        let Some(host) = pick else {
            return Carried::Own(last);
        };
        tried.push(host.id.clone());
        let came = try_at(board, &call.out, &host, call.until).await;
        match came {
            Tried::Answered(response) => return Carried::Answered(response),
            Tried::NotRun(met) => {
                let seen = !matches!(met, Observed::ConnectFailed);
                reached += u32::from(seen);
                unreached += u32::from(!seen);
                last = Own::Refused(if seen {
                    "hosts are full"
                } else {
                    "hosts are not reached"
                });
            }
            Tried::Broke => {
                reached += 1;
                last = Own::Broke;
            }
            Tried::Late => return Carried::Own(Own::Late),
        }
        log::debug!(
            "event=try_failed attempt={:?} service={service} host={} why={:?} tries={}",
            call.out.attempt,
            host.id,
            last.why(),
            tried.len()
        );
        let may_have_run = last.status() == StatusCode::BAD_GATEWAY;
        let again = if may_have_run {
            call.kind == RouteKind::ReadOnly
        } else {
            true
        };
        if !again || reached >= call.attempts.max(1) || unreached >= UNREACHED_MOST {
            return Carried::Own(last);
        }
    }
}
