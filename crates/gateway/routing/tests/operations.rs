//! Retention of operations and their stored responses at the gateway that claimed them.

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

/// Operations with a key window of 60 s and a limit of 1,000 bytes for stored responses.
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
fn completed_operation_is_kept_until_its_retention_ends() {
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
        "a different claim of the same key"
    );
    // A second response exceeds the limit: the oldest one is evicted, but its operation is kept.
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
        "a withdrawn operation frees its key"
    );
    operations.expire(at(60_000));
    assert_eq!(operations.len(), 2);
    operations.expire(at(70_000));
    assert_eq!((operations.len(), operations.stored_bytes()), (0, 0));
}

#[test]
fn running_operation_is_kept_beyond_its_retention() {
    let mut operations = operations();
    operations.start(at(0), KeyDigest(5), CLAIM);
    operations.expire(at(70_000));
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), CLAIM),
        OperationState::Running,
        "a running operation does not expire"
    );
    operations.finish(KeyDigest(5), CLAIM, completed(10));
    operations.expire(at(80_000));
    assert_eq!(operations.len(), 1, "retention was extended while it ran");
    operations.expire(at(140_000));
    assert_eq!((operations.len(), operations.stored_bytes()), (0, 0));
}
