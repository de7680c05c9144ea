//! A session with a controller process in the role of a gateway.

use super::Controllers;
use rushcourse_messages::{Handshake, PROTOCOL_VERSION, Role};
use rushcourse_transport::{Dialer, Session, SessionContext, SessionEvent};
use rushcourse_types::{Incarnation, NodeId};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

const INTERNAL_PORT: u16 = 7540;
/// Last octet of the address of the gateway.
const GATEWAY: u32 = 100;
/// Time for a session to open on a busy machine.
const OPEN_TIMEOUT: Duration = Duration::from_secs(15);
/// Incarnation of the gateway.
pub const INCARNATION: Incarnation = Incarnation(1);

/// The node id of the gateway.
pub fn gateway_node(controllers: &Controllers) -> NodeId {
    NodeId::from(controllers.address(GATEWAY))
}

/// Opens a session with a controller. Must be called within a `LocalSet`.
pub async fn open_session(
    controllers: &Controllers,
    number: u32,
) -> (Session, UnboundedReceiver<SessionEvent>) {
    open_session_of(controllers, number, INCARNATION).await
}

/// Opens a session with a controller as this run of the gateway. Must be called within a `LocalSet`.
pub async fn open_session_of(
    controllers: &Controllers,
    number: u32,
    incarnation: Incarnation,
) -> (Session, UnboundedReceiver<SessionEvent>) {
    let (event_sender, mut events) = unbounded_channel();
    let handshake = Handshake {
        protocol_version: PROTOCOL_VERSION,
        role: Role::Gateway,
        node: gateway_node(controllers),
        incarnation,
        name: "front-1".into(),
        zone: "z1".into(),
    };
    let context = SessionContext::new(handshake, event_sender);
    let controller = NodeId::from(controllers.address(number));
    Dialer::new(context, INTERNAL_PORT).dial(controller);
    let opened = timeout(OPEN_TIMEOUT, events.recv()).await;
    let Ok(Some(SessionEvent::Opened(session))) = opened else {
        panic!("the session was not opened")
    };
    (session, events)
}
