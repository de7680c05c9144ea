//! Peers at the director's own address: collectors, and others that keep to no protocol.

use crate::common::Harness;
use rushcourse_standin::collector::{Collector, encode_frame, read_message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads until the other side ends the connection; what it said before.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // A reset is an end too.
    _ = stream.read_to_end(&mut rest).await;
    rest
}

#[tokio::test]
async fn messages_in_pieces_and_in_bursts_are_the_same_messages() {
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
        .expect("another of the zone");
    two.report_host("east", "h-1", 9).await.expect("said");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
}

#[tokio::test]
async fn an_invalid_message_ends_its_connection_alone() {
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
    // Who goes on without end sees the end too.
    let mut stream = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    while stream.write_all(&[b'x'; 65_536]).await.is_ok() {}
    // A collector that goes on with what is no message, or with a message that does not end.
    for bytes in [vec![b'x'; 64], vec![0, 2, 0, 0, b'{']] {
        let mut odd = Collector::connect(harness.address, "east")
            .await
            .expect("a collector");
        odd.stream.write_all(&bytes).await.expect("written");
        read_to_end(&mut odd.stream).await;
    }
    good.report_host("east", "h-1", 9).await.expect("said");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
    harness.wait_for_pong().await;
}

#[tokio::test]
async fn many_unidentified_peers_leave_room_for_those_that_join() {
    let harness = Harness::start().await;
    let mut good = Collector::connect(harness.address, "east")
        .await
        .expect("a collector");
    good.report_host("east", "h-1", 9).await.expect("said");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 1.0)
        .await;
    let mut unidentified = Vec::new();
    for k in 0..300 {
        let mut stream = TcpStream::connect(harness.address)
            .await
            .expect("a connection");
        if k % 3 > 0 {
            // Half a message, or a long one that never comes.
            let bytes = if k % 3 == 1 {
                vec![9, 0]
            } else {
                (1u32 << 20).to_le_bytes().to_vec()
            };
            _ = stream.write_all(&bytes).await;
        }
        unidentified.push(stream);
    }
    harness.wait_for_pong().await;
    for peer in &mut unidentified {
        assert!(read_to_end(peer).await.is_empty(), "each sees its end");
    }
    good.report_host("east", "h-1", 9)
        .await
        .expect("still there");
    harness
        .wait_for_metric("rushcourse_reports_heard_total", 2.0)
        .await;
    assert!(harness.metric("rushcourse_peers_open").await <= 256.0);
}

#[tokio::test]
async fn an_unidentified_peer_that_holds_on_or_reports_is_disconnected() {
    let harness = Harness::start().await;
    let mut holds = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    holds
        .write_all(&encode_frame(r#"{"@type":"ping"}"#))
        .await
        .expect("written");
    assert!(
        read_message(&mut holds)
            .await
            .expect("an answer")
            .contains("pong")
    );
    assert!(read_to_end(&mut holds).await.is_empty());
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
                .expect("a last word")
                .contains("refused")
        );
        assert!(read_to_end(&mut stream).await.is_empty());
    }
    // HTTP has its answer, then a close, though the client would go on; half a request has a close.
    let mut page = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    page.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("asked");
    assert!(String::from_utf8_lossy(&read_to_end(&mut page).await).ends_with("ok\n"));
    let mut half = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    half.write_all(b"GET /healthz HTT").await.expect("asked");
    read_to_end(&mut half).await;
}

#[tokio::test]
async fn a_large_message_of_a_collector_is_read_right_after_it_joined() {
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
