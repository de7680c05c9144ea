//! Sessions on loopback without keys: who may open one, and what ends one.

mod common;

use common::node::{Node, frame, write};
use common::{TEST_TIMEOUT, run};
use rushcourse_messages::{Message, Role};
use rushcourse_types::Epoch;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[test]
fn without_keys_the_address_of_a_machine_is_its_name() {
    run(async {
        let mut controller = Node::controller([127, 31, 0, 1]);
        let mut gateway = Node::gateway([127, 31, 0, 11]);
        let port = controller.listen().await;

        gateway.dial(&controller, port);
        assert_eq!(controller.opened().await.peer.name, "node-11");
        let session = gateway.opened().await;
        session.send(&Message::PrimarySelected(true));
        assert_eq!(controller.received().await, Message::PrimarySelected(true));

        // Another machine whose handshake names the gateway's address is rejected.
        let impostor = Node::gateway([127, 31, 0, 12]);
        let mut handshake = impostor.context.local_handshake().clone();
        handshake.node = gateway.context.local_handshake().node;
        let mut stream = impostor.connect(&controller, port).await;
        write(&mut stream, &frame(&Message::Handshake(handshake))).await;
        controller.rejects("other machine").await;
    });
}

/// A gateway opens a session and sends `bytes`: the session ends, nothing of them is handed on, and they are counted.
async fn session_ends_by(
    controller: &mut Node,
    gateway: &Node,
    port: u16,
    bytes: &[u8],
    reason: &str,
) {
    let handshake = Message::Handshake(gateway.context.local_handshake().clone());
    let mut stream = gateway.connect(controller, port).await;
    write(&mut stream, &frame(&handshake)).await;
    let session = controller.opened().await;
    assert_eq!(session.peer.role, Role::Gateway);

    write(&mut stream, bytes).await;
    controller
        .closed(&format!("{reason}: nothing was handed on"))
        .await;
    // The other side sees the end.
    let mut rest = Vec::new();
    let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest))
        .await
        .expect("an end");
    controller.rejects(reason).await;
}

#[test]
fn malformed_and_unauthorized_messages_end_their_session_and_are_counted() {
    run(async {
        let mut controller = Node::controller([127, 31, 1, 1]);
        let gateway = Node::gateway([127, 31, 1, 11]);
        let port = controller.listen().await;
        let handshake = Message::Handshake(gateway.context.local_handshake().clone());
        let of_a_learner = Message::SnapshotRequest {
            epoch: Epoch(1),
            after: None,
        };
        let cases: [(&str, Vec<u8>); 4] = [
            ("unreadable", vec![0, 0, 0, 2, 0xff, 0xff]),
            ("too long", vec![0xff; 8]),
            ("not for this sender", frame(&of_a_learner)),
            ("not for this sender", frame(&handshake)),
        ];
        for (count, (reason, bytes)) in cases.into_iter().enumerate() {
            session_ends_by(&mut controller, &gateway, port, &bytes, reason).await;
            assert_eq!(
                controller.context.rejections().values().sum::<u64>(),
                count as u64 + 1
            );
        }
    });
}

#[test]
fn who_sends_something_else_than_a_handshake_first_opens_no_session() {
    run(async {
        let mut controller = Node::controller([127, 31, 4, 1]);
        let port = controller.listen().await;
        let mut stream = TcpStream::connect((controller.address, port))
            .await
            .expect("a connection");
        write(&mut stream, &frame(&Message::Ping)).await;
        controller.rejects("no handshake").await;
    });
}
