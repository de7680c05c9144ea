//! Operators can look up the claim of an operation, also where its key belongs to a tenant.

mod common;

use common::{Controllers, wait_until};
use rushcourse_config::OperationScope;
use rushcourse_messages::{ClaimId, Handshake, Message, PROTOCOL_VERSION, Role};
use rushcourse_transport::{Dialer, SessionContext, SessionEvent};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{sleep, timeout};

/// The first port of the controllers' `internal_port_range`.
const INTERNAL_PORT: u16 = 7540;
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(20);

/// Claims a key at a controller, in the role of a gateway, until the controller answers.
async fn claim(gateway: Ipv4Addr, controller: Ipv4Addr, key: KeyDigest) {
    let (event_sender, mut events) = unbounded_channel();
    let node = NodeId::from(gateway);
    let incarnation = Incarnation(1);
    let handshake = Handshake {
        protocol_version: PROTOCOL_VERSION,
        role: Role::Gateway,
        node,
        incarnation,
        name: "front-1".into(),
        zone: "z1".into(),
    };
    let context = SessionContext::new(handshake, event_sender);
    Dialer::new(context, INTERNAL_PORT).dial(NodeId::from(controller));
    let Some(SessionEvent::Opened(session)) = events.recv().await else {
        panic!("the session was not opened")
    };
    let claim = ClaimId {
        node,
        incarnation,
        number: 1,
    };
    let epoch = Epoch(1);
    loop {
        session.send(&Message::ClaimRequest {
            epoch,
            keys: key.into(),
            claim,
        });
        let answered = async {
            while let Some(event) = events.recv().await {
                let SessionEvent::Received { message, .. } = event else {
                    continue;
                };
                if matches!(message, Message::ClaimResponse { .. }) {
                    return;
                }
            }
        };
        if timeout(CLAIM_INTERVAL, answered).await.is_ok() {
            return;
        }
        sleep(CLAIM_INTERVAL).await;
    }
}

/// Guards against operators that can't find out why a tenant's repeats get 409.
#[test]
fn claim_of_a_tenants_operation_is_found_by_its_digest() {
    let controllers = Controllers::start();
    wait_until("the first voting set is formed", || {
        controllers
            .status(1)
            .is_some_and(|page| page.contains(r#""votes":true"#))
    });
    let key = OperationScope::Tenant("bakery").digest(b"k1");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let claimed = claim(controllers.address(9), controllers.address(1), key);
        timeout(CLAIM_TIMEOUT, claimed)
            .await
            .expect("the controller answers the claim");
    });

    let is_held = |path: &str| {
        let response = controllers.request(1, "GET", path, "");
        response.is_some_and(|response| response.text.contains(r#""held":true"#))
    };
    wait_until("the claim is held", || {
        is_held(&format!("/-/claims/{:x}", key.0))
    });
    assert!(
        !is_held("/-/keys/k1"),
        "the key of a client without tenant is another operation"
    );
    let invalid = controllers
        .request(1, "GET", "/-/claims/k1", "")
        .expect("the controller responds");
    assert_eq!(invalid.status, 400, "{}", invalid.text);
}
