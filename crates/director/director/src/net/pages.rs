//! HTTP pages for operators and monitoring, served on the director's own address.
//!
//! * `metrics.rs`: `/metrics`. `tables.rs`: `/tables`.

mod metrics;
mod tables;

use crate::events::{EventSender, LoopEvent, Page};
use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushcourse_director_state::Session;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;

/// Time for a client to send the head of its request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of a connection's read buffer, in bytes; longer request heads are rejected.
const MAX_BUFFER_SIZE: usize = 16 << 10;

const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON: &str = "application/json";

/// Serves a single request on an accepted connection, then closes it.
pub(crate) async fn serve<T: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    stream: T,
    events: EventSender,
) -> io::Result<()> {
    hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .keep_alive(false)
        .max_buf_size(MAX_BUFFER_SIZE)
        .serve_connection(
            TokioIo::new(stream),
            TowerToHyperService::new(router(events)),
        )
        .await
        .map_err(io::Error::other)
}

fn router(events: EventSender) -> Router {
    Router::new()
        .route(
            "/healthz",
            get(|events| respond(events, Page::Health, PLAIN_TEXT)),
        )
        .route(
            "/metrics",
            get(|events| respond(events, Page::Metrics, PROMETHEUS_TEXT)),
        )
        .route("/tables", get(|events| respond(events, Page::Tables, JSON)))
        .with_state(events)
}

/// Requests a page from the event loop, which owns the session. Responds with status 503 during shutdown.
async fn respond(
    State(events): State<EventSender>,
    page: Page,
    content_type: &'static str,
) -> Response {
    let (response, rendered) = oneshot::channel();
    let requested = LoopEvent::PageRequested { page, response };
    if events.send(requested).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match rendered.await {
        Ok(text) => ([(header::CONTENT_TYPE, content_type)], text).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Renders the body of a page from the session's current state.
pub(crate) fn render(page: Page, session: &Session, dropped_log_lines: u64) -> String {
    match page {
        Page::Health => "ok\n".into(),
        Page::Metrics => metrics::render(session, dropped_log_lines),
        Page::Tables => tables::render(session).to_string(),
    }
}
