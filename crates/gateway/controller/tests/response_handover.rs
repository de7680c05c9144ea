//! Once a gateway has ended, the controller that stores its responses hands them over to another one.

mod common;

use common::response_gateway::{GatewaySession, KEY, part, run};
use common::{Controllers, wait_until};
use rushcourse_messages::OperationState;

/// Guards against DENIED: after the end of its gateway, a response was lost with the only controller that held it.
#[test]
fn response_of_an_ended_gateway_is_handed_over_to_another_controller() {
    let controllers = Controllers::start_with_settings("fault_tolerance.machines=1\n");
    wait_until("the controllers are connected", || {
        (1..=3).all(|number| {
            let page = controllers.status(number);
            page.is_some_and(|page| page.contains(r#""votes":true"#))
        })
    });
    run(async {
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        gateway.store_id().await;
        gateway.store(part()).await;
        gateway.session.close();
    });
    let replicas = || {
        let has_replica = |number: &u32| {
            let page = controllers.status(*number).unwrap_or_default();
            page.contains(r#""responses":{"open":true,"parts":1,"#)
        };
        (2..=3).filter(has_replica).collect::<Vec<u32>>()
    };
    wait_until("another controller has the response", || {
        !replicas().is_empty()
    });
    let replicas = replicas();
    assert_eq!(replicas.len(), 1, "as many as may be lost at once");
    let state = run(async {
        let mut gateway = GatewaySession::open(&controllers, replicas[0]).await;
        gateway.query(KEY).await
    });
    assert_eq!(state, OperationState::Completed(part()));
}
