//! What became of operations that were claimed at a gateway.

use rushcourse_messages::{ClaimId, NodeId, OperationState, StoredResponse};
use rushcourse_routing::{OperationStatus, Operations};
use rushcourse_types::{Incarnation, KeyDigest, Timestamp};
use std::sync::Arc;
use std::time::Duration;

const CLAIM: ClaimId = ClaimId {
    node: NodeId(9),
    incarnation: Incarnation(1),
    number: 1,
};

/// Operations with a key window of 60 s and room for 1,000 bytes of responses.
fn operations() -> Operations {
    Operations::new(Duration::from_millis(60_000), 1_000)
}

fn completed(body_bytes: usize) -> OperationStatus {
    OperationStatus::Completed(Arc::new(StoredResponse {
        status: 200,
        headers: vec![],
        body: vec![7; body_bytes],
    }))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_repeat_gets_the_first_response_until_the_window_is_over() {
    let mut operations = operations();
    operations.start(at(0), KeyDigest(5), CLAIM);
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), CLAIM),
        OperationState::Running
    );
    operations.finish(KeyDigest(5), CLAIM, completed(600));
    assert!(matches!(
        operations.state_of_claim(KeyDigest(5), CLAIM),
        OperationState::Completed(response) if response.body.len() == 600
    ));
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), ClaimId { number: 2, ..CLAIM }),
        OperationState::NotFound,
        "another claim of the same key"
    );
    // The oldest responses go when there is no room; what ran is never forgotten sooner than the window.
    operations.start(at(1), KeyDigest(6), CLAIM);
    operations.finish(KeyDigest(6), CLAIM, completed(600));
    assert!(
        matches!(
            operations.status(KeyDigest(5)),
            Some(OperationStatus::Unknown)
        ) && matches!(
            operations.status(KeyDigest(6)),
            Some(OperationStatus::Completed(_))
        )
    );
    operations.start(at(2), KeyDigest(7), CLAIM);
    operations.withdraw(KeyDigest(7), CLAIM);
    assert!(
        operations.status(KeyDigest(7)).is_none(),
        "nothing was sent: free again"
    );
    operations.expire(at(60_000));
    assert_eq!(operations.len(), 2);
    operations.expire(at(70_000));
    assert_eq!((operations.len(), operations.stored_bytes()), (0, 0));
}

#[test]
fn an_operation_that_runs_beyond_the_window_is_forgotten_after_its_end() {
    let mut operations = operations();
    operations.start(at(0), KeyDigest(5), CLAIM);
    operations.expire(at(70_000));
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), CLAIM),
        OperationState::Running,
        "not while it runs"
    );
    operations.finish(KeyDigest(5), CLAIM, completed(10));
    operations.expire(at(80_000));
    assert_eq!(operations.len(), 1, "its repeats still come");
    operations.expire(at(140_000));
    assert_eq!((operations.len(), operations.stored_bytes()), (0, 0));
}
