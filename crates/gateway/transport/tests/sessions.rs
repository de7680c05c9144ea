//! Sessions over plain TCP on loopback: peers that must be rejected, and messages that must close a session.

mod common;

use common::node::{Node, frame, write};
use common::{TEST_TIMEOUT, run};
use rushcourse_messages::{Message, Role};
use rushcourse_types::Epoch;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[test]
fn without_keys_peer_is_identified_by_source_address() {
    run(async {
        let mut controller = Node::controller([127, 31, 0, 1]);
        let mut gateway = Node::gateway([127, 31, 0, 11]);
        let port = controller.listen().await;

        gateway.dial(&controller, port);
        assert_eq!(controller.expect_opened().await.peer.name, "node-11");
        let session = gateway.expect_opened().await;
        session.send(&Message::PrimarySelected(true));
        assert_eq!(
            controller.expect_message().await,
            Message::PrimarySelected(true)
        );

        // A handshake that names the gateway, sent from another address.
        let impostor = Node::gateway([127, 31, 0, 12]);
        let mut handshake = impostor.context.local_handshake().clone();
        handshake.node = gateway.context.local_handshake().node;
        let mut stream = impostor.connect(&controller, port).await;
        write(&mut stream, &frame(&Message::Handshake(handshake))).await;
        controller.expect_rejection("other machine").await;
    });
}

/// Opens a session from `gateway`, sends `bytes`, and asserts that the controller closes the session, delivers no
/// message and counts the rejection under `reason`.
async fn assert_closes_session(
    controller: &mut Node,
    gateway: &Node,
    port: u16,
    bytes: &[u8],
    reason: &str,
) {
    let handshake = Message::Handshake(gateway.context.local_handshake().clone());
    let mut stream = gateway.connect(controller, port).await;
    write(&mut stream, &frame(&handshake)).await;
    let session = controller.expect_opened().await;
    assert_eq!(session.peer.role, Role::Gateway);

    write(&mut stream, bytes).await;
    controller
        .expect_closed(&format!("{reason}: no message is delivered"))
        .await;
    // The connection is closed for the peer as well.
    let mut rest = Vec::new();
    let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest))
        .await
        .expect("end of stream");
    controller.expect_rejection(reason).await;
}

#[test]
fn malformed_and_unauthorized_messages_close_session_and_are_counted() {
    run(async {
        let mut controller = Node::controller([127, 31, 1, 1]);
        let gateway = Node::gateway([127, 31, 1, 11]);
        let port = controller.listen().await;
        let handshake = Message::Handshake(gateway.context.local_handshake().clone());
        let snapshot_request = Message::SnapshotRequest {
            epoch: Epoch(1),
            after: None,
        };
        let cases: [(&str, Vec<u8>); 4] = [
            ("unreadable", vec![0, 0, 0, 2, 0xff, 0xff]),
            ("too long", vec![0xff; 8]),
            ("not for this sender", frame(&snapshot_request)),
            ("not for this sender", frame(&handshake)),
        ];
        for (count, (reason, bytes)) in cases.into_iter().enumerate() {
            assert_closes_session(&mut controller, &gateway, port, &bytes, reason).await;
            assert_eq!(
                controller.context.rejections().values().sum::<u64>(),
                count as u64 + 1
            );
        }
    });
}

#[test]
fn first_message_other_than_handshake_is_rejected() {
    run(async {
        let mut controller = Node::controller([127, 31, 4, 1]);
        let port = controller.listen().await;
        let mut stream = TcpStream::connect((controller.address, port))
            .await
            .expect("connect");
        write(&mut stream, &frame(&Message::Ping)).await;
        controller.expect_rejection("no handshake").await;
    });
}
