//! Pages for people and monitors, by HTTP on the director's own address.
//!
//! * `metrics.rs`: `/metrics`. `tables.rs`: `/tables`.

mod metrics;
mod tables;

use crate::events::{LoopEvent, LoopSender, Page};
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

/// A request's head is read within this; one request is answered, then the connection ends.
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a connection buffers.
const MAX_BUFFER_SIZE: usize = 16 << 10;

const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON: &str = "application/json";

/// Serves the pages on one connection.
pub(crate) async fn serve<T: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    stream: T,
    events: LoopSender,
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

fn router(events: LoopSender) -> Router {
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

/// Has the loop render a page.
async fn respond(
    State(events): State<LoopSender>,
    page: Page,
    content_type: &'static str,
) -> Response {
    let (text, rendered) = oneshot::channel();
    let requested = LoopEvent::PageRequested { page, text };
    if events.send(requested).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match rendered.await {
        Ok(text) => ([(header::CONTENT_TYPE, content_type)], text).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// The text of a page, from the session as it stands.
pub(crate) fn render(page: Page, session: &Session, dropped_log_lines: u64) -> String {
    match page {
        Page::Health => "ok\n".into(),
        Page::Metrics => metrics::render(session, dropped_log_lines),
        Page::Tables => tables::render(session).to_string(),
    }
}
