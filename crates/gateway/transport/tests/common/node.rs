//! A test node with its own loopback address, session context and event queue.

use super::TEST_TIMEOUT;
use rushcourse_messages::{Handshake, Message, PROTOCOL_VERSION, Role, encode};
use rushcourse_transport::{Dialer, Session, SessionContext, SessionEvent, accept_sessions};
use rushcourse_types::{Incarnation, NodeId};
use std::net::Ipv4Addr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Maximum number of inbound sessions of a test node.
const MAX_SESSIONS: usize = 8;

pub struct Node {
    pub address: Ipv4Addr,
    pub context: SessionContext,
    pub events: UnboundedReceiver<SessionEvent>,
}

impl Node {
    pub fn new(address: [u8; 4], role: Role) -> Node {
        let address = Ipv4Addr::from(address);
        let (sender, events) = unbounded_channel();
        let node = NodeId::from(address);
        let handshake = Handshake {
            protocol_version: PROTOCOL_VERSION,
            role,
            node,
            incarnation: Incarnation(u64::from(node.0)),
            name: format!("node-{}", address.octets()[3]),
            zone: "north".into(),
        };
        Node {
            address,
            context: SessionContext::new(handshake, sender),
            events,
        }
    }

    pub fn controller(address: [u8; 4]) -> Node {
        Node::new(address, Role::Controller)
    }

    pub fn gateway(address: [u8; 4]) -> Node {
        Node::new(address, Role::Gateway)
    }

    /// Starts accepting sessions on a free port, and returns the port.
    pub async fn listen(&self) -> u16 {
        let listener = TcpListener::bind((self.address, 0))
            .await
            .expect("bind the loopback address");
        let port = listener.local_addr().expect("local address").port();
        let accepting = accept_sessions(listener, MAX_SESSIONS, self.context.clone());
        tokio::task::spawn_local(accepting);
        port
    }

    pub fn dial(&self, other: &Node, port: u16) {
        Dialer::new(self.context.clone(), port).dial(NodeId::from(other.address));
    }

    /// Opens a raw TCP connection from this node's address, without a handshake.
    pub async fn connect(&self, other: &Node, port: u16) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("create a socket");
        socket
            .bind((self.address, 0).into())
            .expect("bind the source address");
        socket
            .connect((other.address, port).into())
            .await
            .expect("connect")
    }

    pub async fn next_event(&mut self) -> SessionEvent {
        tokio::time::timeout(TEST_TIMEOUT, self.events.recv())
            .await
            .expect("an event before the timeout")
            .expect("an open event queue")
    }

    pub async fn expect_opened(&mut self) -> Session {
        match self.next_event().await {
            SessionEvent::Opened(session) => session,
            _ => panic!("expected an opened session"),
        }
    }

    pub async fn expect_message(&mut self) -> Message {
        match self.next_event().await {
            SessionEvent::Received { message, .. } => message,
            SessionEvent::Opened(_) => panic!("expected a message, but a session was opened"),
            SessionEvent::Closed(_) => panic!("expected a message, but a session was closed"),
        }
    }

    pub async fn expect_closed(&mut self, why: &str) {
        assert!(
            matches!(self.next_event().await, SessionEvent::Closed(_)),
            "{why}"
        );
    }

    /// Waits until a peer is rejected for `reason`, and asserts that no session event was emitted.
    pub async fn expect_rejection(&mut self, reason: &str) {
        let counted = async {
            while !self.context.rejections().contains_key(reason) {
                tokio::task::yield_now().await;
            }
        };
        let waited = tokio::time::timeout(TEST_TIMEOUT, counted).await;
        assert!(
            waited.is_ok(),
            "no rejection for {reason:?}: {:?}",
            self.context.rejections()
        );
        assert!(self.events.try_recv().is_err(), "unexpected session event");
    }
}

/// Encodes a message with its frame header.
pub fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("encode the message");
    bytes
}

pub async fn write(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.expect("write to the stream");
}
