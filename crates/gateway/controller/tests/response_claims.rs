//! A controller stores shards of responses under the claims of the gateway that sends them.

mod common;

use common::Controllers;
use common::gateway_session::INCARNATION;
use common::response_gateway::{GatewaySession, KEY, part, run};
use rushcourse_messages::{OperationState, ResponsePart};
use rushcourse_types::Incarnation;

/// Guards against MIXED: a response that another run of a gateway made up must not be replayed to the clients of the
/// claimant. Both runs number their claims from 1.
#[test]
fn run_of_a_gateway_can_not_replace_the_response_of_another_run() {
    let controllers = Controllers::start();
    let other_run = Incarnation(INCARNATION.0 + 1);
    let other_part = ResponsePart {
        bytes: [7, 8, 9].into(),
        ..part()
    };
    run(async {
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        gateway.store_id().await;
        gateway.store(part()).await;
        let mut other = GatewaySession::open_as(&controllers, 1, other_run).await;
        assert_eq!(other.query(KEY).await, OperationState::NotFound);
        other.store(other_part.clone()).await;
        let stored = OperationState::Completed(other_part);
        assert_eq!(other.query(KEY).await, stored);
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        assert_eq!(gateway.query(KEY).await, OperationState::Completed(part()));
    });
}
