//! Peers that connect to the director's own address: collectors, and clients that violate the protocol.

use crate::common::Harness;
use rushcourse_standin::collector::{Collector, encode_frame, read_message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads until the other side closes the connection and returns what was received.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // A reset also counts as the end.
    _ = stream.read_to_end(&mut rest).await;
    rest
}

#[tokio::test]
async fn fragmented_and_batched_messages_are_decoded() {
    let harness = Harness::start().await;
    let mut stream = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    for byte in encode_frame(r#"{"@type":"ping"}"#) {
        stream.write_all(&[byte]).await.expect("written");
        tokio::task::yield_now().await;
    }
    assert!(
        read_message(&mut stream)
            .await
            .expect("an answer")
            .contains("pong")
    );
    let mut burst = encode_frame(r#"{"@type":"collector","az":"east"}"#);
    for _ in 0..500 {
        burst.extend(encode_frame(
            r#"{"@type":"usage","sidecar":0,"kind":"look","n":3,"bad":0,"window":1000.0}"#,
        ));
    }
    burst.extend(encode_frame(r#"{"@type":"ping"}"#));
    stream.write_all(&burst).await.expect("written");
    assert!(
        read_message(&mut stream)
            .await
            .expect("an answer")
            .contains("pong")
    );
    harness
        .wait_for_metric("rushcourse_reports_usage_total", 500.0)
        .await;
    let mut two = Collector::connect(harness.address, "east")
        .await
        .expect("a second collector of the zone");
    two.report_host("east", "h-1", 9).await.expect("sent");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
}

#[tokio::test]
async fn invalid_message_closes_only_its_connection() {
    let harness = Harness::start().await;
    let mut good = Collector::connect(harness.address, "east")
        .await
        .expect("a collector");
    let over = ((1u32 << 20) + 1).to_le_bytes().to_vec();
    let long = encode_frame(&format!(
        r#"{{"@type":"collector","az":"{}"}}"#,
        "x".repeat(5000)
    ));
    let tls = vec![0x16, 3, 1, 2, 0, 1, 0, 1];
    for bytes in [
        over,
        vec![0xff; 4096],
        encode_frame("no json"),
        b"PRI * HTTP/2.0\r\n\r\n".to_vec(),
        long,
        tls,
    ] {
        let mut stream = TcpStream::connect(harness.address)
            .await
            .expect("a connection");
        _ = stream.write_all(&bytes).await;
        read_to_end(&mut stream).await;
    }
    // A peer that keeps sending invalid bytes is disconnected as well.
    let mut stream = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    while stream.write_all(&[b'x'; 65_536]).await.is_ok() {}
    // So is a collector that sends something other than a frame, or an incomplete message.
    for bytes in [vec![b'x'; 64], vec![0, 2, 0, 0, b'{']] {
        let mut odd = Collector::connect(harness.address, "east")
            .await
            .expect("a collector");
        odd.stream.write_all(&bytes).await.expect("written");
        read_to_end(&mut odd.stream).await;
    }
    good.report_host("east", "h-1", 9).await.expect("sent");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
    harness.wait_for_pong().await;
}

#[tokio::test]
async fn idle_unregistered_peers_do_not_block_collectors() {
    let harness = Harness::start().await;
    let mut good = Collector::connect(harness.address, "east")
        .await
        .expect("a collector");
    good.report_host("east", "h-1", 9).await.expect("sent");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
    let mut unregistered = Vec::new();
    for index in 0..300 {
        let mut stream = TcpStream::connect(harness.address)
            .await
            .expect("a connection");
        if index % 3 > 0 {
            // Half a length prefix, or a prefix that announces a long message.
            let bytes = if index % 3 == 1 {
                vec![9, 0]
            } else {
                (1u32 << 20).to_le_bytes().to_vec()
            };
            _ = stream.write_all(&bytes).await;
        }
        unregistered.push(stream);
    }
    harness.wait_for_pong().await;
    for peer in &mut unregistered {
        assert!(
            read_to_end(peer).await.is_empty(),
            "each connection is closed"
        );
    }
    good.report_host("east", "h-1", 9)
        .await
        .expect("the connection is still open");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 2.0)
        .await;
    assert!(harness.metric("rushcourse_peers_open").await <= 256.0);
}

#[tokio::test]
async fn unregistered_peer_that_idles_or_reports_is_disconnected() {
    let harness = Harness::start().await;
    let mut idle = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    idle.write_all(&encode_frame(r#"{"@type":"ping"}"#))
        .await
        .expect("written");
    assert!(
        read_message(&mut idle)
            .await
            .expect("an answer")
            .contains("pong")
    );
    assert!(read_to_end(&mut idle).await.is_empty());
    for json in [
        r#"{"@type":"collector","az":"nowhere"}"#,
        r#"{"@type":"update","orders":[]}"#,
    ] {
        let mut stream = TcpStream::connect(harness.address)
            .await
            .expect("a connection");
        stream
            .write_all(&encode_frame(json))
            .await
            .expect("written");
        assert!(
            read_message(&mut stream)
                .await
                .expect("a refusal")
                .contains("refused")
        );
        assert!(read_to_end(&mut stream).await.is_empty());
    }
    // An HTTP connection is closed after one response, and an incomplete request is closed after a timeout.
    let mut page = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    page.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("sent");
    assert!(String::from_utf8_lossy(&read_to_end(&mut page).await).ends_with("ok\n"));
    let mut half = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    half.write_all(b"GET /healthz HTT").await.expect("sent");
    read_to_end(&mut half).await;
}

#[tokio::test]
async fn large_message_right_after_registration_is_read() {
    let harness = Harness::start().await;
    let mut burst = encode_frame(r#"{"@type":"collector","az":"east"}"#);
    let pad = " ".repeat(200_000);
    burst.extend(encode_frame(&format!(
        r#"{{"@type":"heard","az":"east","host":"h-1","n":3,"bad":0,"avg":40.0,"window":1000.0{pad}}}"#
    )));
    let mut stream = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    stream.write_all(&burst).await.expect("written");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
}
