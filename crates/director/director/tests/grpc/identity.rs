//! Identification of proxies: which are served, and the status with which others are rejected.

use crate::common::free_address;
use crate::{assert_ends_with, joined, proxy, proxy_named, serving};
use rushcourse_grpc_standin::link::Link;
use rushcourse_grpc_standin::proxy::{Proxy, ProxyOptions};
use tonic::Code;

#[tokio::test]
async fn unknown_and_duplicate_proxies_are_rejected_with_status() {
    let (harness, at) = serving(", node_names = {\"edge\": 5}").await;
    let edge = joined(&harness, at, proxy_named("edge", false)).await;
    for (id, zone, expected) in [
        ("edge", "east", Code::AlreadyExists),
        ("relay-5", "east", Code::AlreadyExists),
        ("nobody", "east", Code::PermissionDenied),
        ("relay-8", "east", Code::ResourceExhausted),
        ("relay-1", "north", Code::InvalidArgument),
        ("", "east", Code::InvalidArgument),
    ] {
        let options = ProxyOptions::new(id, zone, &["look"], true);
        let other = Proxy::start(at, options).await.expect("a channel");
        assert_ends_with(&harness, &other, expected).await;
    }
    assert!(edge.status().is_none());
    harness
        .wait_for_metric("rushcourse_streams_refused_total", 6.0)
        .await;
}

#[tokio::test]
async fn proxy_reconnects_after_unanswered_pings() {
    let (harness, at) = serving(", ping_every_ms = 300, ping_within_ms = 300").await;
    let link = Link::start(free_address(), at).await.expect("a link");
    let vanished = joined(&harness, link.address, proxy(3, true)).await;
    link.set_frozen(true);
    harness
        .wait_for_metric("rushcourse_streams_joined", 1.0)
        .await;
    harness
        .wait_until("the proxy is identified", || {
            harness.log_text().contains("is relay 3")
        })
        .await;
    for _ in 0..3000 {
        if harness.metric("rushcourse_streams_joined").await == 0.0 {
            break;
        }
    }
    assert_eq!(
        harness.metric("rushcourse_streams_joined").await,
        0.0,
        "the connection is closed after unanswered pings"
    );
    drop(vanished);
    joined(&harness, at, proxy(3, true)).await;
}
