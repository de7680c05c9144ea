//! Pages for people and monitors, by axum, on the director's own address.

use crate::events::{LoopEvent, LoopSender, Page};
use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushcourse_director_protocol::relay;
use rushcourse_director_state::Session;
use rushcourse_policy::interface::Channel;
use serde_json::{Value, json};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;

/// A request is read within this; one is answered, then the connection ends.
const HEAD_WITHIN: Duration = Duration::from_secs(1);

async fn page(State(to): State<LoopSender>, what: Page, kind: &'static str) -> Response {
    let (answer, text) = oneshot::channel();
    if to.send(LoopEvent::Page { what, to: answer }).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match text.await {
        Ok(text) => ([(header::CONTENT_TYPE, kind)], text).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn router(to: LoopSender) -> Router {
    const TEXT: &str = "text/plain; charset=utf-8";
    const METRICS: &str = "text/plain; version=0.0.4; charset=utf-8";
    Router::new()
        .route("/healthz", get(|state| page(state, Page::Health, TEXT)))
        .route("/metrics", get(|state| page(state, Page::Metrics, METRICS)))
        .route(
            "/tables",
            get(|state| page(state, Page::Tables, "application/json")),
        )
        .with_state(to)
}

/// Serves the pages on one connection.
pub async fn serve<T: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    stream: T,
    to: LoopSender,
) -> io::Result<()> {
    hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .keep_alive(false)
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
        Page::Tables => tables(session).to_string(),
    }
}

fn metrics(session: &Session, log_dropped: u64) -> String {
    use std::fmt::Write;
    let mut out = String::new();
    let dropped = (
        "log_lines_dropped",
        "Log lines that the log's own queue could not take.",
        log_dropped,
    );
    for (name, help, n) in session.counters().all().chain([dropped]) {
        let name = format!("rushcourse_{name}_total");
        _ = writeln!(
            out,
            "# HELP {name} {help}\n# TYPE {name} counter\n{name} {n}"
        );
    }
    for (name, help, value) in session.gauges() {
        let name = format!("rushcourse_{name}");
        _ = writeln!(
            out,
            "# HELP {name} {help}\n# TYPE {name} gauge\n{name} {value}"
        );
    }
    let delays = [
        (
            "tick_to_call_seconds",
            "From the first input of a tick to its call.",
            &session.counters().tick_to_call,
        ),
        (
            "call_answer_seconds",
            "From a call to its answer.",
            &session.counters().call_answer,
        ),
    ];
    for (name, help, h) in delays {
        _ = writeln!(
            out,
            "# HELP rushcourse_{name} {help}\n# TYPE rushcourse_{name} histogram"
        );
        for (bound, n) in h.buckets() {
            _ = writeln!(
                out,
                "rushcourse_{name}_bucket{{le=\"{}\"}} {n}",
                bound / 1000.0
            );
        }
        _ = writeln!(out, "rushcourse_{name}_bucket{{le=\"+Inf\"}} {}", h.count());
        _ = writeln!(
            out,
            "rushcourse_{name}_sum {}\nrushcourse_{name}_count {}",
            h.sum / 1000.0,
            h.count()
        );
    }
    out
}

/// What the model holds, certain or uncertain.
fn tables(session: &Session) -> Value {
    let (view, names) = (session.view(), session.names());
    let zone = |z: usize| names.zones.get(z).cloned().unwrap_or_default();
    let classes = |mask: u32| relay::named(mask, &names.classes);
    let proxies = view.proxies.iter().map(|p| {
        let lines = p.groups.iter().flat_map(|g| {
            g.endpoints.iter().map(move |e| {
                let standing = e.certainty.to_string();
                json!({"host": &*e.host, "standing": standing, "table": g.table, "classes": classes(g.classes)})
            })
        });
        json!({"proxy": p.proxy, "zone": zone(p.zone), "lines": lines.collect::<Vec<_>>()})
    });
    let tables = view.tables.iter().map(|t| {
        let lines: serde_json::Map<String, Value> = t
            .weights
            .iter()
            .map(|(host, weight)| (host.to_string(), json!(weight)))
            .collect();
        json!({"table": t.table, "lines": lines})
    });
    let withdrawn = |channel: Channel| {
        let of = view.withdrawn.iter().filter(|w| w.channel == channel);
        of.map(|w| w.host.to_string()).collect::<Vec<_>>()
    };
    json!({
        "proxies": proxies.collect::<Vec<_>>(),
        "tables": tables.collect::<Vec<_>>(),
        "withdrawn": withdrawn(Channel::Shared),
        "withdrawn_for_streams": withdrawn(Channel::Dedicated),
        "lines_unanswered": view.unacknowledged_lines,
        "changes_waiting": view.pending_updates,
    })
}
