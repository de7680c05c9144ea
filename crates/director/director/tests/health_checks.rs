//! Health checks of hosts that respond, fail, hang or violate HTTP.

use bytes::Bytes;
use rushcourse_director::{HealthCheckClient, HealthCheckResult};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a host that sends `response` on every connection; with `None`, it keeps connections open without responding.
async fn host(response: Option<&'static [u8]>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 512];
            _ = stream.read(&mut head).await;
            if let Some(bytes) = response {
                _ = stream.write_all(bytes).await;
            } else {
                open.push(stream);
            }
        }
    });
    address
}

async fn check(address: &str) -> (Option<u16>, Bytes) {
    let HealthCheckResult { status, body, .. } = HealthCheckClient::new()
        .check(address, "/status/load", TIMEOUT)
        .await;
    (status, body)
}

async fn status_of(response: Option<&'static [u8]>) -> Option<u16> {
    check(&host(response).await).await.0
}

#[tokio::test]
async fn health_check_ends_in_time_for_any_host_behavior() {
    let healthy = host(Some(
        b"HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\nTEXT util=0.5",
    ))
    .await;
    assert_eq!(
        check(&healthy).await,
        (Some(200), Bytes::from_static(b"TEXT util=0.5"))
    );
    let full = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(status_of(Some(full)).await, Some(503));
    assert_eq!(status_of(None).await, None, "no response");
    assert_eq!(
        status_of(Some(b"")).await,
        None,
        "closed without a response"
    );
    assert_eq!(
        status_of(Some(b"what?\r\n\r\n")).await,
        None,
        "not an HTTP response"
    );
    let endless = b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\nTEXT";
    assert_eq!(status_of(Some(endless)).await, None, "incomplete body");
    assert_eq!(check("127.0.0.1:1").await.0, None, "connection refused");
    assert_eq!(check("no address").await.0, None);
}
