//! HTTP server for hosts and operators: accepts connections and routes requests to endpoints.

use super::endpoints::{ENDPOINTS, Endpoint};
use super::handler::handle;
use crate::control_request::EventSender;
use axum::Router;
use axum::extract::{Path, Request, State};
use axum::routing::{MethodFilter, MethodRouter, on};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushcourse_transport::accept;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the buffer of a connection in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Serves connections of hosts and operators, and closes new ones beyond `max_connections`. Never returns.
pub(crate) async fn serve_connections(
    listener: TcpListener,
    max_connections: usize,
    events: EventSender,
) {
    let (router, open) = (router(events), Rc::new(Cell::new(0usize)));
    loop {
        let (stream, from) = accept(&listener).await;
        if open.get() >= max_connections {
            log::warn!("event=connection_rejected why=\"too many connections\" from={from}");
            continue;
        }
        open.set(open.get() + 1);
        let _ = stream.set_nodelay(true);
        let (router, open) = (router.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve(stream, from, router).await;
            open.set(open.get() - 1);
        });
    }
}

/// Serves the requests of one connection until it ends. Errors are logged at debug level.
async fn serve(stream: TcpStream, from: SocketAddr, router: Router) {
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
        .await;
    if let Err(error) = served {
        log::debug!(
            "event=connection_broke_off from={from} why={:?}",
            error.to_string()
        );
    }
}

fn router(events: EventSender) -> Router {
    let routes = ENDPOINTS.iter().fold(Router::new(), |router, endpoint| {
        router.route(endpoint.path, route(endpoint))
    });
    routes.with_state(events)
}

fn route(endpoint: &'static Endpoint) -> MethodRouter<EventSender> {
    let method = MethodFilter::try_from(endpoint.method.clone()).unwrap_or(MethodFilter::GET);
    on(
        method,
        move |State(events): State<EventSender>, id: Option<Path<String>>, request: Request| {
            log::trace!(
                "event=request caller={:?} operation={:?}",
                endpoint.caller,
                endpoint.operation
            );
            handle(endpoint, events, id.map(|Path(id)| id), request)
        },
    )
}
