//! A node: an address of loopback, what its sessions start from, and what happens on them.

use super::TEST_TIMEOUT;
use rushcourse_messages::{Handshake, Message, PROTOCOL_VERSION, Role, encode};
use rushcourse_transport::{Dialer, Session, SessionContext, SessionEvent, accept_sessions};
use rushcourse_types::{Incarnation, NodeId};
use std::net::Ipv4Addr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Sessions that a node of a test takes at most.
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

    /// Takes sessions; at which port.
    pub async fn listen(&self) -> u16 {
        let listener = TcpListener::bind((self.address, 0))
            .await
            .expect("an address of loopback");
        let port = listener.local_addr().expect("an address").port();
        let accepting = accept_sessions(listener, MAX_SESSIONS, self.context.clone());
        tokio::task::spawn_local(accepting);
        port
    }

    pub fn dial(&self, other: &Node, port: u16) {
        Dialer::new(self.context.clone(), port).dial(NodeId::from(other.address));
    }

    /// A connection from this node's address that no session runs on.
    pub async fn connect(&self, other: &Node, port: u16) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind((self.address, 0).into()).expect("an address");
        socket
            .connect((other.address, port).into())
            .await
            .expect("a connection")
    }

    pub async fn next_event(&mut self) -> SessionEvent {
        tokio::time::timeout(TEST_TIMEOUT, self.events.recv())
            .await
            .expect("in time")
            .expect("events")
    }

    pub async fn opened(&mut self) -> Session {
        match self.next_event().await {
            SessionEvent::Opened(session) => session,
            _ => panic!("a session was to open"),
        }
    }

    pub async fn received(&mut self) -> Message {
        match self.next_event().await {
            SessionEvent::Received { message, .. } => message,
            SessionEvent::Opened(_) => panic!("a second session"),
            SessionEvent::Closed(_) => panic!("the session ended"),
        }
    }

    pub async fn closed(&mut self, why: &str) {
        assert!(
            matches!(self.next_event().await, SessionEvent::Closed(_)),
            "{why}"
        );
    }

    /// Waits until a peer was rejected for this reason; no session opened meanwhile.
    pub async fn rejects(&mut self, reason: &str) {
        let counted = async {
            while !self.context.rejections().contains_key(reason) {
                tokio::task::yield_now().await;
            }
        };
        let waited = tokio::time::timeout(TEST_TIMEOUT, counted).await;
        assert!(
            waited.is_ok(),
            "{reason} was to be rejected: {:?}",
            self.context.rejections()
        );
        assert!(self.events.try_recv().is_err(), "no session came of it");
    }
}

/// A message as it goes over the wire.
pub fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a frame");
    bytes
}

pub async fn write(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.expect("written");
}
