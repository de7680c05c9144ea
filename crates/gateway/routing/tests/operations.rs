//! Retention of operations and their stored responses at the gateway that claimed them.

use rushcourse_messages::{ClaimId, NodeId, OperationState, ResponseHead, StoredResponse};
use rushcourse_routing::{OperationStatus, Operations};
use rushcourse_types::{Incarnation, KeyDigest, Timestamp};
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
    let head = ResponseHead {
        status: 200,
        headers: vec![],
    };
    let response = StoredResponse::new(&head, &vec![7; body_bytes]);
    OperationStatus::Completed(response.expect("a short response"))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn completed_operation_is_kept_until_its_retention_ends() {
    let mut operations = operations();
    operations.start(at(0), KeyDigest(5), CLAIM);
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), CLAIM, 0),
        OperationState::Running
    );
    operations.set_status(KeyDigest(5), CLAIM, completed(600));
    assert!(matches!(
        operations.state_of_claim(KeyDigest(5), CLAIM, 0),
        OperationState::Completed(part) if part.is_last() && part.bytes.ends_with(&[7; 600])
    ));
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), CLAIM, 10_000),
        OperationState::Unknown,
        "a part beyond the response, of a claim that is not withdrawn"
    );
    let other = ClaimId { number: 2, ..CLAIM };
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), other, 0),
        OperationState::NotFound,
        "a different claim of the same key"
    );
    assert!(operations.response(KeyDigest(5), other).is_none());
    // A second response exceeds the limit: the oldest one is evicted, but its operation is kept.
    operations.start(at(1), KeyDigest(6), CLAIM);
    operations.set_status(KeyDigest(6), CLAIM, completed(600));
    assert!(
        matches!(
            operations.status(KeyDigest(5)),
            Some(OperationStatus::Evicted)
        ) && matches!(
            operations.status(KeyDigest(6)),
            Some(OperationStatus::Completed(_))
        )
    );
    assert_eq!(
        operations.state_of_claim(KeyDigest(5), CLAIM, 0),
        OperationState::Evicted
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
        operations.state_of_claim(KeyDigest(5), CLAIM, 0),
        OperationState::Running,
        "a running operation does not expire"
    );
    operations.set_status(KeyDigest(5), CLAIM, completed(10));
    operations.expire(at(80_000));
    assert_eq!(operations.len(), 1, "retention was extended while it ran");
    operations.expire(at(140_000));
    assert_eq!((operations.len(), operations.stored_bytes()), (0, 0));
}

/// Responses that are still being received must not take more than their share of the memory.
#[test]
fn reserved_memory_is_limited_and_evicts_responses() {
    let mut operations = operations();
    operations.start(at(0), KeyDigest(5), CLAIM);
    operations.set_status(KeyDigest(5), CLAIM, completed(600));
    assert!(!operations.reserve(501), "more than half of the limit");
    assert!(operations.reserve(400));
    assert!(
        matches!(
            operations.status(KeyDigest(5)),
            Some(OperationStatus::Evicted)
        ),
        "the stored response makes room"
    );
    assert!(!operations.reserve(101));
    operations.release(400);
    assert!(operations.reserve(500));
    assert_eq!(operations.max_response_bytes(), 250);
}
