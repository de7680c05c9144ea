//! gRPC clients that violate the protocol, and the standard health and reflection services.

use crate::{joined, picks_only, proxy, serving};
use rushcourse_grpc_standin::raw::{CallEnd, RawCall, send_bytes};
use std::net::SocketAddr;

const ADS: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// Values of the `grpc-status` trailer.
const OK: &str = "0";
const DEADLINE_EXCEEDED: &str = "4";
const RESOURCE_EXHAUSTED: &str = "8";
const OUT_OF_RANGE: &str = "11";
const UNIMPLEMENTED: &str = "12";

fn status(code: &str) -> CallEnd {
    CallEnd::Status(code.into())
}

#[tokio::test]
async fn incomplete_message_ends_stream_after_timeout() {
    let (harness, at) = serving(", join_within_ms = 400").await;
    for path in [ADS, LRS] {
        let mut call = RawCall::open(at, path, 0).await.expect("a call");
        call.send_message(&[0; 200], 20).expect("sent");
        assert_eq!(
            call.wait_for_end().await,
            status(DEADLINE_EXCEEDED),
            "{path}"
        );
    }
    assert!(harness.metric("rushcourse_streams_silent_total").await >= 2.0);
}

/// Asserts that a message above the size limit and oversized metadata are rejected.
async fn assert_large_calls_are_rejected(at: SocketAddr) {
    let mut call = RawCall::open(at, ADS, 0).await.expect("a call");
    call.send_message(&vec![0; 1 << 20], 1 << 20).expect("sent");
    let ended = call.wait_for_end().await;
    assert!(
        ended == status(OUT_OF_RANGE)
            || ended == status(RESOURCE_EXHAUSTED)
            || matches!(ended, CallEnd::Reset(_)),
        "{ended:?}"
    );
    let ended = match RawCall::open(at, ADS, 64 << 10).await {
        Ok(call) => Some(call.wait_for_end().await),
        Err(_) => None,
    };
    assert_ne!(ended, Some(status(OK)));
}

#[tokio::test]
async fn invalid_clients_are_rejected_while_proxies_are_served() {
    let (harness, at) = serving("").await;
    let proxy = joined(&harness, at, proxy(3, false)).await;
    // Connections that send nothing.
    let mut silent = Vec::new();
    for _ in 0..300 {
        silent.push(tokio::spawn(send_bytes(at, b"")));
    }
    // A TLS handshake, HTTP/1, and invalid bytes.
    let answer = send_bytes(at, &[0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3]).await;
    assert!(answer.len() < 200);
    let answer = send_bytes(at, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(!String::from_utf8_lossy(&answer).contains("200 OK"));
    send_bytes(at, &[0xff; 4096]).await;
    assert_large_calls_are_rejected(at).await;
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("the proxy is still served", || picks_only(&proxy, "h-1"))
        .await;
    assert!(proxy.status().is_none());
    // The idle connections are closed after a timeout.
    for task in silent {
        task.await.expect("the connection ends");
    }
}

#[tokio::test]
async fn health_and_reflection_services_are_available() {
    let (_harness, at) = serving("").await;
    // Requests the health of the whole server, and the list of services.
    for (path, message) in [
        ("/grpc.health.v1.Health/Check", &b""[..]),
        (
            "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo",
            b"\x3a\x01*",
        ),
    ] {
        let mut call = RawCall::open(at, path, 0).await.expect("a call");
        call.send_message(message, message.len()).expect("sent");
        call.finish().expect("sent");
        assert_eq!(call.wait_for_end().await, status(OK), "{path}");
    }
    let mut call = RawCall::open(at, "/no.such.Service/Method", 0)
        .await
        .expect("a call");
    call.finish().expect("sent");
    assert_eq!(call.wait_for_end().await, status(UNIMPLEMENTED));
}
