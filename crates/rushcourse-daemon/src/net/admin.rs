//! Pages for people and monitors, by axum, on the director's own address.

use crate::effects::{ToLoop, Told};
use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushcourse_reducer::Session;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;

#[derive(Clone, Copy)]
pub enum Page {
    Health,
    Metrics,
    Tables,
}

async fn page(State(to): State<ToLoop>, what: Page, kind: &'static str) -> Response {
    let (answer, text) = oneshot::channel();
    if to.send(Told::Page { what, to: answer }).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match text.await {
        Ok(text) => ([(header::CONTENT_TYPE, kind)], text).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn router(to: ToLoop) -> Router {
    const TEXT: &str = "text/plain; charset=utf-8";
    const METRICS: &str = "text/plain; version=0.0.4; charset=utf-8";
    Router::new()
        .route("/healthz", get(|state| page(state, Page::Health, TEXT)))
        .route("/metrics", get(|state| page(state, Page::Metrics, METRICS)))
        .route("/tables", get(|state| page(state, Page::Tables, "application/json")))
        .with_state(to)
}

/// Serves the pages on one connection.
pub async fn serve<T: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    stream: T,
    to: ToLoop,
) -> io::Result<()> {
    hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(5))
        .max_buf_size(16 << 10)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router(to)))
        .await
        .map_err(io::Error::other)
}

/// The text of a page, from the session as it stands.
pub fn render(what: Page, session: &Session, log_dropped: u64) -> String {
    match what {
        Page::Health => "ok\n".into(),
        Page::Metrics => metrics(session, log_dropped),
        Page::Tables => "{}".into(),
    }
}

fn metrics(session: &Session, log_dropped: u64) -> String {
    use std::fmt::Write;
    let mut out = String::new();
    for (name, n) in session.counters().all() {
        _ = writeln!(out, "# TYPE rushcourse_{name}_total counter\nrushcourse_{name}_total {n}");
    }
    _ = writeln!(out, "# TYPE rushcourse_log_lines_dropped_total counter");
    _ = writeln!(out, "rushcourse_log_lines_dropped_total {log_dropped}");
    for (name, value) in session.gauges() {
        _ = writeln!(out, "# TYPE rushcourse_{name} gauge\nrushcourse_{name} {value}");
    }
    let delays = [
        ("tick_to_call_seconds", &session.counters().tick_to_call),
        ("call_answer_seconds", &session.counters().call_answer),
    ];
    for (name, h) in delays {
        _ = writeln!(out, "# TYPE rushcourse_{name} histogram");
        for (bound, n) in h.buckets() {
            _ = writeln!(out, "rushcourse_{name}_bucket{{le=\"{}\"}} {n}", bound / 1000.0);
        }
        _ = writeln!(out, "rushcourse_{name}_bucket{{le=\"+Inf\"}} {}", h.count());
        _ = writeln!(out, "rushcourse_{name}_sum {}\nrushcourse_{name}_count {}", h.sum / 1000.0, h.count());
    }
    out
}
