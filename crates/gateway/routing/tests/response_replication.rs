//! Which controllers get replicas of responses, and when (rule DENIED: a response survives the end of its gateway once two
//! seconds have passed).

use rushcourse_messages::{ClaimId, NodeId, ResponseHead, StoredResponse};
use rushcourse_routing::response_replication::{
    REPLICATION_INTERVAL, RETURN_TIMEOUT, STORE_TIMEOUT,
};
use rushcourse_routing::{
    OperationStatus, Operations, ReplicaPart, ReplicationSetup, ResponseReplication,
};
use rushcourse_types::{Incarnation, KeyDigest, ReplicaSequence, ResponseStoreId, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

const KEY_WINDOW: Duration = Duration::from_secs(60);
const NEAR: NodeId = NodeId(1);
const FAR: NodeId = NodeId(2);
const FARTHER: NodeId = NodeId(3);
/// More than any test here sends in a second.
const FAST_LINK: f64 = 1e9;

/// A gateway in zone `a` with its operations, and a clock.
struct Gateway {
    now: Timestamp,
    operations: Operations,
    replication: ResponseReplication,
}

impl Gateway {
    fn new(bytes_per_second: f64) -> Gateway {
        Gateway {
            now: Timestamp::from_millis(1_000),
            operations: Operations::new(KEY_WINDOW, 100_000_000),
            replication: ResponseReplication::new(ReplicationSetup {
                local_node: NodeId(9),
                zone: "a".into(),
                bytes_per_second,
                key_window: KEY_WINDOW,
            }),
        }
    }

    /// One controller in the gateway's zone and two in others.
    fn with_controllers() -> Gateway {
        let mut gateway = Gateway::new(FAST_LINK);
        gateway.open_store(NEAR, "a");
        gateway.open_store(FAR, "b");
        gateway.open_store(FARTHER, "c");
        gateway
    }

    fn open_store(&mut self, controller: NodeId, zone: &str) {
        let store = ResponseStoreId(u64::from(controller.0));
        self.replication.store_opened(controller, zone, store);
    }

    /// Completes an operation with a response body of this length.
    fn complete(&mut self, number: u64, body_bytes: usize) -> ClaimId {
        let (key, claim) = (KeyDigest(number.into()), claim(number));
        let head = ResponseHead {
            status: 200,
            headers: vec![],
        };
        let response = StoredResponse::new(&head, &vec![7; body_bytes]);
        let status = OperationStatus::Completed(response.expect("a short response"));
        self.operations.start(self.now, key, claim);
        self.operations.set_status(key, claim, status);
        self.replication.response_completed(self.now, key, claim);
        claim
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.replication.maintain(self.now);
    }

    fn send(&mut self) -> Vec<ReplicaPart> {
        self.replication.take_parts(self.now, &self.operations)
    }

    /// Sends, and confirms every part at once.
    fn send_and_store(&mut self) -> Vec<ReplicaPart> {
        let parts = self.send();
        for part in &parts {
            self.store(part.controller, part.sequence);
        }
        parts
    }

    fn store(&mut self, controller: NodeId, sequence: ReplicaSequence) {
        self.replication.parts_stored(controller, &[sequence]);
    }
}

fn claim(number: u64) -> ClaimId {
    ClaimId {
        node: NodeId(9),
        incarnation: Incarnation(1),
        number,
    }
}

fn controllers(parts: &[ReplicaPart]) -> BTreeSet<NodeId> {
    parts.iter().map(|part| part.controller).collect()
}

#[test]
fn response_goes_to_the_own_zone_in_rounds() {
    let mut gateway = Gateway::with_controllers();
    let first = gateway.complete(1, 10);
    assert_eq!(controllers(&gateway.send_and_store()), [NEAR].into());
    assert_eq!(gateway.replication.stored_at(first), Some(NEAR));
    let second = gateway.complete(2, 10);
    assert!(gateway.send().is_empty(), "until the next round");
    gateway.wait(REPLICATION_INTERVAL);
    let parts = gateway.send_and_store();
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].claim, parts[0].key), (second, KeyDigest(2)));
}

#[test]
fn response_goes_to_another_zone_if_the_own_has_no_controller() {
    let mut gateway = Gateway::new(FAST_LINK);
    gateway.complete(1, 10);
    assert!(gateway.send().is_empty() && gateway.replication.is_complete());
    gateway.open_store(FAR, "b");
    gateway.open_store(FARTHER, "c");
    gateway.wait(REPLICATION_INTERVAL);
    let sent = controllers(&gateway.send_and_store());
    assert_eq!(sent.len(), 1, "{sent:?}");
}

/// Guards against a response that is lost with its gateway because the chosen controller does not answer.
#[test]
fn response_that_is_not_stored_in_time_goes_elsewhere_within_two_seconds() {
    let mut gateway = Gateway::with_controllers();
    let completed_at = gateway.now;
    gateway.send();
    let claim = gateway.complete(1, 10);
    gateway.wait(REPLICATION_INTERVAL);
    assert_eq!(controllers(&gateway.send()), [NEAR].into());
    gateway.wait(STORE_TIMEOUT + Duration::from_millis(100));
    let parts = gateway.send_and_store();
    assert_eq!(parts.len(), 1);
    assert_ne!(parts[0].controller, NEAR);
    assert_eq!(
        gateway.replication.stored_at(claim),
        Some(parts[0].controller)
    );
    assert!(gateway.now - completed_at < Duration::from_secs(2));
    gateway.complete(2, 10);
    gateway.wait(REPLICATION_INTERVAL);
    assert!(!controllers(&gateway.send_and_store()).contains(&NEAR));
    gateway.wait(Duration::from_secs(10));
    gateway.complete(3, 10);
    assert!(controllers(&gateway.send()).contains(&NEAR), "tried again");
}

#[test]
fn disconnected_controller_keeps_its_replicas_unless_it_stays_away() {
    let mut gateway = Gateway::with_controllers();
    let stored = gateway.complete(1, 10);
    gateway.send_and_store();
    let sent = gateway.complete(2, 10);
    gateway.wait(REPLICATION_INTERVAL);
    gateway.send();
    gateway
        .replication
        .controller_disconnected(gateway.now, NEAR);
    let parts = gateway.send_and_store();
    let claims: Vec<ClaimId> = parts.iter().map(|part| part.claim).collect();
    assert_eq!(claims, [sent], "what was not stored");
    gateway.wait(RETURN_TIMEOUT + Duration::from_millis(1));
    assert_eq!(gateway.replication.stored_at(stored), None);
    gateway.wait(REPLICATION_INTERVAL);
    let claims: Vec<ClaimId> = gateway.send().iter().map(|part| part.claim).collect();
    assert_eq!(claims, [stored]);
}

/// Guards against responses that count as replicated though the disk that held them is gone.
#[test]
fn controller_that_lost_its_disk_gets_the_responses_again() {
    let mut gateway = Gateway::with_controllers();
    let claim = gateway.complete(1, 10);
    gateway.send_and_store();
    let now = gateway.now;
    gateway.replication.controller_disconnected(now, NEAR);
    gateway.open_store(NEAR, "a");
    gateway.wait(REPLICATION_INTERVAL);
    assert!(gateway.send().is_empty(), "the same store as before");
    assert_eq!(gateway.replication.stored_at(claim), Some(NEAR));
    gateway.replication.controller_disconnected(now, NEAR);
    gateway
        .replication
        .store_opened(NEAR, "a", ResponseStoreId(77));
    assert_eq!(gateway.replication.stored_at(claim), None);
    gateway.wait(REPLICATION_INTERVAL);
    assert_eq!(controllers(&gateway.send()), [NEAR].into());
}

#[test]
fn shutdown_replicates_at_once() {
    let mut gateway = Gateway::with_controllers();
    gateway.send();
    let claim = gateway.complete(1, 10);
    assert!(gateway.send().is_empty(), "until the next round");
    gateway.replication.start_draining();
    assert!(!gateway.replication.is_complete());
    gateway.send_and_store();
    assert!(gateway.replication.is_complete());
    assert_eq!(gateway.replication.stored_at(claim), Some(NEAR));
}

#[test]
fn long_response_is_sent_in_parts_within_bounds() {
    let mut gateway = Gateway::with_controllers();
    let body_bytes = 3_000_000;
    let claim = gateway.complete(1, body_bytes);
    let mut sent_bytes = 0;
    while gateway.replication.stored_at(claim).is_none() {
        let parts = gateway.send_and_store();
        let bytes: usize = parts.iter().map(|part| part.part.bytes.len()).sum();
        assert!((1..=600_000).contains(&bytes), "{bytes} unacknowledged");
        sent_bytes += bytes;
    }
    assert!(sent_bytes > body_bytes);
}

/// Guards against replicas that take the link from the clients.
#[test]
fn bytes_per_second_are_limited() {
    let mut gateway = Gateway::new(50_000.0);
    gateway.open_store(NEAR, "a");
    for number in 1..=1_000 {
        gateway.complete(number, 1_000);
    }
    let mut sent_bytes = 0;
    for _ in 0..100 {
        gateway.wait(Duration::from_millis(100));
        let parts = gateway.send_and_store();
        sent_bytes += parts
            .iter()
            .map(|part| part.part.bytes.len())
            .sum::<usize>();
    }
    assert!(
        (450_000..=560_000).contains(&sent_bytes),
        "{sent_bytes} bytes in 10 s"
    );
}

#[test]
fn response_is_not_sent_after_its_key_window() {
    let mut gateway = Gateway::new(FAST_LINK);
    gateway.complete(1, 10);
    gateway.wait(KEY_WINDOW);
    gateway.open_store(NEAR, "a");
    assert!(gateway.send().is_empty());
}

/// Guards against a shutdown that waits for a replica of a response that was evicted before it was sent.
#[test]
fn response_that_is_not_held_any_more_does_not_hold_up_a_shutdown() {
    let mut gateway = Gateway::with_controllers();
    gateway.send();
    let claim = gateway.complete(1, 10);
    gateway.operations.withdraw(KeyDigest(1), claim);
    gateway.replication.start_draining();
    assert!(!gateway.replication.is_complete());
    assert!(gateway.send().is_empty());
    assert!(gateway.replication.is_complete());
}
