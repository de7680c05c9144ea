//! The HTTP pages for operators and monitoring.

use crate::common::Harness;
use serde_json::Value;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn pages_show_director_state() {
    let harness = Harness::start_with_bound_proxy().await;
    let (status, body) = harness.page("/healthz").await;
    assert!(
        status.contains("200") && body.starts_with("ok"),
        "{status} {body}"
    );
    let (status, body) = harness.page("/metrics").await;
    assert!(status.contains("200"));
    for name in [
        "rushcourse_calls_sent_total",
        "rushcourse_proxies_joined",
        "rushcourse_list_age_seconds",
    ] {
        assert!(
            body.lines().any(|l| l.starts_with(name)),
            "{name} is missing: {body}"
        );
        assert!(
            body.contains(&format!("# HELP {name} ")) && body.contains(&format!("# TYPE {name} "))
        );
    }
    harness
        .wait_for_metric("rushcourse_tick_to_call_seconds_count", 1.0)
        .await;
    let (status, body) = harness.page("/tables").await;
    assert!(status.contains("200"));
    let tables: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(tables["proxies"][0]["proxy"], 0, "{body}");
    assert_eq!(
        tables["proxies"][0]["lines"].as_array().map(Vec::len),
        Some(2),
        "{body}"
    );
    let (status, _) = harness.page("/nothing").await;
    assert!(status.contains("404"));
    assert_is_read_only(&harness, "/tables").await;
}

async fn assert_is_read_only(harness: &Harness, path: &str) {
    let mut stream = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    let request = format!("POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("a response");
    assert!(text.starts_with("HTTP/1.1 405"), "read only: {text}");
}

/// Guards against instructions in docs/on-call.md that name a metric which doesn't exist.
#[tokio::test]
async fn metrics_named_in_on_call_page_are_exported() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../docs/on-call.md");
    let text = std::fs::read_to_string(path).expect("the page");
    let words = text.split('`').skip(1).step_by(2);
    let ends = ["_total", "_seconds", "_waiting", "_open"];
    let named: Vec<&str> = words
        .filter(|w| ends.iter().any(|e| w.ends_with(e)) && !w.contains(' '))
        .collect();
    assert!(named.len() > 20, "{named:?}");
    let (_, body) = Harness::start().await.page("/metrics").await;
    for name in named {
        assert!(
            body.contains(&format!("# TYPE rushcourse_{name} ")),
            "{name} is not on the page"
        );
    }
}
