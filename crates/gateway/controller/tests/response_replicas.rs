//! A controller stores shards of gateways' responses and returns them, also after it was killed.

mod common;

use common::Controllers;
use common::response_gateway::{GatewaySession, KEY, part, run};
use rushcourse_messages::OperationState;
use rushcourse_types::KeyDigest;

/// Guards against DENIED: no node but the gateway that ran an operation had its response.
#[test]
fn stored_response_survives_a_kill_of_the_controller() {
    let mut controllers = Controllers::start();
    let id = run(async {
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        let id = gateway.store_id().await;
        gateway.store(part()).await;
        id
    });
    controllers.kill(1);
    controllers.restart(1);
    run(async {
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        assert_eq!(gateway.store_id().await, id, "the file is the same");
        assert_eq!(gateway.query(KEY).await, OperationState::Completed(part()));
        let other = gateway.query(KeyDigest(6)).await;
        assert_eq!(other, OperationState::NotFound, "of another operation");
    });
    let page = controllers.status(1).expect("the controller responds");
    assert!(
        page.contains(r#""responses":{"open":true,"parts":"#),
        "{page}"
    );
}
