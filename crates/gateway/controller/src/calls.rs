//! The calls of hosts and operators, in one table.

use crate::reading;
use crate::work::{Command, Reply, Work};
use axum::body::{Body, to_bytes};
use axum::extract::{Path, Request, State};
use axum::http::{HeaderValue, Method, Response, StatusCode, header};
use axum::routing::{MethodFilter, MethodRouter, on};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushcourse_config::Configuration;
use rushcourse_transport::accept;
use rushcourse_types::hash::key_digest;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// s within which a call is answered: its caller moves on after one (PROTOCOL.md).
const CALL_WAIT: Duration = Duration::from_millis(950);
/// A body comes within this time.
const BODY_WAIT: Duration = Duration::from_secs(5);
/// s after which a caller that got no clear answer may come back.
const COME_BACK: &str = "0.2";
/// Why a director that is cut off acknowledges nothing.
const NO_CONTACT: &str = "no recent contact with a majority: ask another director";

/// Body of the answer to an order under whose number another operator's text is in force: it is acknowledged, as each
/// version that is not above the one held (PROTOCOL.md), and changed nothing.
pub const ANOTHER_TEXT: &str = "{\"another_text_in_force\":true}";

/// Who calls, for the log and the pages.
#[derive(Clone, Copy, Debug)]
pub enum Caller {
    Host,
    Operator,
}

#[derive(Clone, Copy, Debug)]
pub enum Name {
    Register,
    SignOff,
    PutConfiguration,
    GetConfiguration,
    Status,
    Key,
}

pub struct Call {
    pub method: Method,
    pub path: &'static str,
    pub caller: Caller,
    pub name: Name,
    /// Bytes of a body at most.
    pub body_most: usize,
}

/// Every call that is taken; what is not here gets 404 or 405.
pub const CALLS: [Call; 6] = [
    call(
        Method::PUT,
        "/-/instances/{id}",
        Caller::Host,
        Name::Register,
        16 << 10,
    ),
    call(
        Method::DELETE,
        "/-/instances/{id}",
        Caller::Host,
        Name::SignOff,
        1 << 10,
    ),
    call(
        Method::PUT,
        "/-/configuration",
        Caller::Operator,
        Name::PutConfiguration,
        8 << 20,
    ),
    call(
        Method::GET,
        "/-/configuration",
        Caller::Operator,
        Name::GetConfiguration,
        1 << 10,
    ),
    call(
        Method::GET,
        "/-/status",
        Caller::Operator,
        Name::Status,
        1 << 10,
    ),
    call(
        Method::GET,
        "/-/keys/{id}",
        Caller::Operator,
        Name::Key,
        1 << 10,
    ),
];

const fn call(
    method: Method,
    path: &'static str,
    caller: Caller,
    name: Name,
    body_most: usize,
) -> Call {
    Call {
        method,
        path,
        caller,
        name,
        body_most,
    }
}

type Queue = mpsc::UnboundedSender<Work>;

pub fn router(work: Queue) -> axum::Router {
    let mut router = axum::Router::new();
    for call in &CALLS {
        let filter = MethodFilter::try_from(call.method.clone()).unwrap_or(MethodFilter::GET);
        let (name, caller, most) = (call.name, call.caller, call.body_most);
        let method: MethodRouter<Queue> = on(
            filter,
            move |State(work): State<Queue>, id: Option<Path<String>>, request: Request| {
                log::trace!("event=call caller={caller:?} call={name:?}");
                handle(name, most, work, id.map(|p| p.0), request)
            },
        );
        router = router.route(call.path, method);
    }
    router.with_state(work)
}

fn answer(status: StatusCode, body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from_static(COME_BACK));
    }
    response
}

/// A refusal with its reason, as JSON.
fn refuse(status: StatusCode, why: &str) -> Response<Body> {
    let quoted = facet_json::to_string(&why.to_string()).unwrap_or_else(|_| "\"refused\"".into());
    answer(status, format!("{{\"error\":{quoted}}}"))
}

async fn handle(
    name: Name,
    most: usize,
    work: Queue,
    id: Option<String>,
    request: Request,
) -> Response<Body> {
    let body = match timeout(BODY_WAIT, to_bytes(request.into_body(), most)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            return refuse(
                StatusCode::PAYLOAD_TOO_LARGE,
                &format!("body: over {most} bytes, or broken off"),
            );
        }
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "body: did not come"),
    };
    let (reply, answered) = oneshot::channel();
    let id = id.unwrap_or_default();
    let command = match name {
        Name::Register => match reading::host(&id, &body) {
            Ok(news) => Command::Register { news, reply },
            Err(e) => {
                log::warn!(
                    "event=call_refused call=register id={id:?} why={:?}",
                    e.to_string()
                );
                return refuse(StatusCode::BAD_REQUEST, &e.to_string());
            }
        },
        Name::SignOff => Command::SignOff {
            id: id.as_str().into(),
            reply,
        },
        Name::PutConfiguration => match Configuration::parse(&body) {
            Ok(read) => Command::Put {
                version: read.version,
                text: Arc::from(&*body),
                reply,
            },
            Err(e) => {
                log::warn!(
                    "event=call_refused call=put_configuration why={:?}",
                    e.to_string()
                );
                return refuse(StatusCode::BAD_REQUEST, &e.to_string());
            }
        },
        Name::GetConfiguration => Command::Get { reply },
        Name::Status => Command::Status { reply },
        Name::Key => Command::Key {
            key: key_digest(id.as_bytes()),
            reply,
        },
    };
    if work.send(Work::Command(command)).is_err() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "ending");
    }
    match timeout(CALL_WAIT, answered).await {
        Ok(Ok(Reply::Done | Reply::Acknowledged { another: false })) => {
            answer(StatusCode::OK, "{}")
        }
        Ok(Ok(Reply::Acknowledged { another: true })) => answer(StatusCode::OK, ANOTHER_TEXT),
        Ok(Ok(Reply::Text(text))) => answer(StatusCode::OK, bytes::Bytes::from_owner(text)),
        Ok(Ok(Reply::Nothing)) => refuse(
            StatusCode::NOT_FOUND,
            "no configuration has been acknowledged",
        ),
        Ok(Ok(Reply::NoContact)) => refuse(StatusCode::SERVICE_UNAVAILABLE, NO_CONTACT),
        _ => refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "no majority in time: it may be in force or not",
        ),
    }
}

/// Takes connections of hosts and operators, `most` at a time.
pub async fn take(listener: TcpListener, most: usize, work: mpsc::UnboundedSender<Work>) {
    let (router, open) = (router(work), Rc::new(Cell::new(0usize)));
    loop {
        let (stream, from) = accept(&listener).await;
        if open.get() >= most {
            log::warn!("event=call_refused why=\"too many connections\" from={from}");
            continue;
        }
        open.set(open.get() + 1);
        let _ = stream.set_nodelay(true);
        let (router, open) = (router.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(30))
                .max_buf_size(64 << 10)
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
                .await;
            if let Err(e) = served {
                log::debug!("event=call_broke_off from={from} why={:?}", e.to_string());
            }
            open.set(open.get() - 1);
        });
    }
}
