//! Which controllers get shards of responses, and when (rule DENIED: a response survives the end of its gateway and the disks
//! that may be lost once two seconds have passed).

use rushcourse_messages::{ClaimId, NodeId, ResponseHead, ShardPart, StoredResponse};
use rushcourse_routing::response_replication::{
    REPLICATION_INTERVAL, RETURN_TIMEOUT, STORE_TIMEOUT,
};
use rushcourse_routing::{
    OperationStatus, Operations, ReplicationSetup, ResponseReplication, ShardSet,
};
use rushcourse_types::{Incarnation, KeyDigest, ReplicaSequence, ResponseStoreId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const KEY_WINDOW: Duration = Duration::from_secs(60);
const NEAR: NodeId = NodeId(1);
const FAR: NodeId = NodeId(2);
const FARTHER: NodeId = NodeId(3);
/// More than any test here sends in a second.
const FAST_LINK: f64 = 1e9;

/// A part with the controller and the message that it was sent with.
struct SentPart {
    controller: NodeId,
    sequence: ReplicaSequence,
    content: ShardPart,
}

/// A gateway in zone `a` with its operations, and a clock.
struct Gateway {
    now: Timestamp,
    operations: Operations,
    replication: ResponseReplication,
}

impl Gateway {
    fn new(bytes_per_second: f64) -> Gateway {
        Gateway::tolerating(0, bytes_per_second)
    }

    fn tolerating(tolerated_losses: usize, bytes_per_second: f64) -> Gateway {
        Gateway {
            now: Timestamp::from_millis(1_000),
            operations: Operations::new(KEY_WINDOW, 100_000_000),
            replication: ResponseReplication::new(ReplicationSetup {
                local_node: NodeId(9),
                zone: "a".into(),
                tolerated_losses,
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

    fn send(&mut self) -> Vec<SentPart> {
        let batches = self.replication.take_batches(self.now, &self.operations);
        let parts = batches.into_iter().flat_map(|batch| {
            let (controller, sequence) = (batch.controller, batch.sequence);
            batch.parts.into_iter().map(move |content| SentPart {
                controller,
                sequence,
                content,
            })
        });
        parts.collect()
    }

    /// Sends, and confirms every message at once.
    fn send_and_store(&mut self) -> Vec<SentPart> {
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

fn controllers(parts: &[SentPart]) -> BTreeSet<NodeId> {
    parts.iter().map(|part| part.controller).collect()
}

/// The numbers of the claims that parts belong to.
fn claims(parts: &[SentPart]) -> Vec<u64> {
    parts.iter().map(|part| part.content.claim_number).collect()
}

/// What the controllers hold of one response: the bytes of their shards.
fn shards(parts: Vec<SentPart>) -> BTreeMap<NodeId, Vec<u8>> {
    let mut shards: BTreeMap<NodeId, Vec<u8>> = BTreeMap::new();
    for part in parts {
        let shard = shards.entry(part.controller).or_default();
        assert_eq!(part.content.part.offset as usize, shard.len());
        shard.extend_from_slice(&part.content.part.bytes);
    }
    shards
}

/// The response that the shards of some controllers restore.
fn restore(shards: &BTreeMap<NodeId, Vec<u8>>, lost: &[NodeId]) -> Option<StoredResponse> {
    let mut found = ShardSet::default();
    let kept = shards.iter().filter(|(node, _)| !lost.contains(node));
    kept.filter_map(|(_, shard)| found.add(shard.clone()))
        .last()
}

fn bytes_to_other_zones(shards: &BTreeMap<NodeId, Vec<u8>>, own: &[NodeId]) -> usize {
    let sent = shards.iter().filter(|(node, _)| !own.contains(node));
    sent.map(|(_, shard)| shard.len()).sum()
}

/// Guards against DENIED: a response was lost with the disk of the only controller that stored it.
#[test]
fn response_survives_any_disks_that_may_be_lost() {
    for (tolerated, zones) in [
        (1, &["a", "b", "c", "d"][..]),
        (1, &["a", "a", "b"]),
        (1, &["b", "c", "d"]),
        (2, &["a", "b", "c", "d", "e"]),
        (2, &["a", "a", "b", "c", "d", "e", "f"]),
        (2, &["a", "b", "c"]),
        (3, &["a", "b", "c", "d", "e", "f", "g"]),
    ] {
        for body_bytes in [0, 1, 1_000, 100_000, 200_003] {
            let mut gateway = Gateway::tolerating(tolerated, FAST_LINK);
            let nodes: Vec<NodeId> = (1..=zones.len() as u32).map(NodeId).collect();
            for (node, zone) in nodes.iter().zip(zones) {
                gateway.open_store(*node, zone);
            }
            let claim = gateway.complete(1, body_bytes);
            let mut sent = Vec::new();
            while !gateway.replication.is_complete() {
                sent.extend(gateway.send_and_store());
                gateway.wait(REPLICATION_INTERVAL);
            }
            let shards = shards(sent);
            let holders = gateway.replication.stored_at(claim);
            assert_eq!(holders.len(), shards.len());
            let response = gateway.operations.response(KeyDigest(1), claim);
            for lost in subsets(&nodes, tolerated) {
                let case = format!("{zones:?}, {body_bytes} bytes, without {lost:?}");
                assert_eq!(restore(&shards, &lost).as_ref(), response, "{case}");
            }
        }
    }
}

/// All subsets with this number of members.
fn subsets(nodes: &[NodeId], size: usize) -> Vec<Vec<NodeId>> {
    if size == 0 {
        return vec![Vec::new()];
    }
    let mut found = Vec::new();
    for (position, first) in nodes.iter().enumerate() {
        for mut rest in subsets(&nodes[position + 1..], size - 1) {
            rest.push(*first);
            found.push(rest);
        }
    }
    found
}

/// Guards against a price between zones that grows with each disk that may be lost.
#[test]
fn shards_send_little_more_than_the_response_to_other_zones() {
    for (tolerated, zones, expected_share) in [
        (1, &["a", "b", "c", "d"][..], 1.0),
        (2, &["a", "b", "c", "d", "e"], 4.0 / 3.0),
        (2, &["a", "a", "b", "c", "d"], 1.0),
        (2, &["a", "a", "a", "b", "c"], 0.0),
    ] {
        let mut gateway = Gateway::tolerating(tolerated, FAST_LINK);
        let mut own = Vec::new();
        for (number, zone) in (1..).zip(zones) {
            gateway.open_store(NodeId(number), zone);
            own.extend((*zone == "a").then_some(NodeId(number)));
        }
        gateway.complete(1, 30_000);
        gateway.replication.start_draining();
        let shards = shards(gateway.send_and_store());
        let share = bytes_to_other_zones(&shards, &own) as f64 / 30_000.0;
        assert!(
            (expected_share..expected_share + 0.01).contains(&share),
            "{zones:?}: {share}"
        );
    }
}

/// Guards against a response that few disks hold for good because few controllers were known when it was given.
#[test]
fn response_gets_its_copies_once_controllers_appear() {
    let mut gateway = Gateway::tolerating(2, FAST_LINK);
    gateway.open_store(NEAR, "a");
    let claim = gateway.complete(1, 10);
    assert_eq!(controllers(&gateway.send_and_store()), [NEAR].into());
    gateway.open_store(FAR, "b");
    gateway.open_store(FARTHER, "c");
    let mut sent = BTreeSet::new();
    for _ in 0..2 {
        gateway.wait(REPLICATION_INTERVAL);
        sent.extend(controllers(&gateway.send_and_store()));
    }
    assert_eq!(sent, [FAR, FARTHER].into());
    assert_eq!(gateway.replication.stored_at(claim).len(), 3);
}

/// Guards against responses to clients that wait behind the messages to all controllers on a slow link, and against turns
/// so long that a response is not safe within two seconds.
#[test]
fn controllers_take_turns_within_one_interval() {
    let mut gateway = Gateway::tolerating(2, FAST_LINK);
    for (number, zone) in (1..).zip(["a", "b", "c", "d", "e"]) {
        gateway.open_store(NodeId(number), zone);
    }
    let claim = gateway.complete(1, 1_000);
    let mut waited = Duration::ZERO;
    while gateway.replication.stored_at(claim).len() < 5 {
        assert!(controllers(&gateway.send_and_store()).len() <= 1);
        gateway.wait(Duration::from_millis(50));
        waited += Duration::from_millis(50);
        assert!(waited <= REPLICATION_INTERVAL, "{waited:?}");
    }
}

/// Guards against a message for each part, which costs a write and a confirmation each.
#[test]
fn parts_of_many_responses_share_messages() {
    let mut gateway = Gateway::with_controllers();
    for number in 1..=100 {
        gateway.complete(number, 1_000);
    }
    let sequences: BTreeSet<ReplicaSequence> =
        gateway.send().iter().map(|part| part.sequence).collect();
    assert_eq!(sequences.len(), 4, "100 KB in messages of 30 KiB");
}

/// Guards against repeats that get 409 after an update: earlier releases stored whole responses.
#[test]
fn whole_response_of_an_earlier_release_is_read() {
    let head = ResponseHead {
        status: 200,
        headers: vec![("response-seal".into(), b"s".to_vec())],
    };
    let response = StoredResponse::new(&head, b"body").expect("a short response");
    let read = ShardSet::default().add(response.encoded().to_vec());
    assert_eq!(read, Some(response));
}

/// Guards against a gateway that ends because a controller sends bytes that are no shard.
#[test]
fn invalid_shards_restore_nothing() {
    let invalid: [&[u8]; 7] = [
        &[],
        &[0],
        &[0, 0],
        &[0, 0, 0, 1],
        &[9, 1, 0, 1],
        &[0, 9, 0, 1],
        &[0, 1, 200, 1],
    ];
    for bytes in invalid {
        assert_eq!(ShardSet::default().add(bytes.to_vec()), None, "{bytes:?}");
    }
    let mut different_lengths = ShardSet::default();
    assert_eq!(different_lengths.add(vec![0, 2, 0, 1, 2]), None);
    assert_eq!(different_lengths.add(vec![1, 2, 0, 1]), None);
}

#[test]
fn response_goes_to_the_own_zone_in_rounds() {
    let mut gateway = Gateway::with_controllers();
    let first = gateway.complete(1, 10);
    assert_eq!(controllers(&gateway.send_and_store()), [NEAR].into());
    assert_eq!(gateway.replication.stored_at(first), [NEAR]);
    let second = gateway.complete(2, 10);
    assert!(gateway.send().is_empty(), "until the next round");
    gateway.wait(REPLICATION_INTERVAL);
    let parts = gateway.send_and_store();
    assert_eq!(parts.len(), 1);
    let ShardPart {
        claim_number, key, ..
    } = parts[0].content;
    assert_eq!((claim_number, key), (second.number, KeyDigest(2)));
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
    assert_eq!(gateway.replication.stored_at(claim), [parts[0].controller]);
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
    assert_eq!(claims(&parts), [sent.number], "what was not stored");
    gateway.wait(RETURN_TIMEOUT + Duration::from_millis(1));
    assert_eq!(gateway.replication.stored_at(stored), []);
    gateway.wait(REPLICATION_INTERVAL);
    assert_eq!(claims(&gateway.send()), [stored.number]);
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
    assert_eq!(gateway.replication.stored_at(claim), [NEAR]);
    gateway.replication.controller_disconnected(now, NEAR);
    gateway
        .replication
        .store_opened(NEAR, "a", ResponseStoreId(77));
    assert_eq!(gateway.replication.stored_at(claim), []);
    gateway.wait(REPLICATION_INTERVAL);
    assert_eq!(controllers(&gateway.send()), [NEAR].into());
}

#[test]
fn shutdown_replicates_at_once() {
    let mut gateway = Gateway::with_controllers();
    gateway.complete(9, 10);
    gateway.send_and_store();
    let claim = gateway.complete(1, 10);
    assert!(gateway.send().is_empty(), "until the next turn");
    gateway.replication.start_draining();
    assert!(!gateway.replication.is_complete());
    gateway.send_and_store();
    assert!(gateway.replication.is_complete());
    assert_eq!(gateway.replication.stored_at(claim), [NEAR]);
}

#[test]
fn long_response_is_sent_in_parts_within_bounds() {
    let mut gateway = Gateway::with_controllers();
    let body_bytes = 3_000_000;
    let claim = gateway.complete(1, body_bytes);
    let mut sent_bytes = 0;
    while gateway.replication.stored_at(claim).is_empty() {
        let parts = gateway.send_and_store();
        let bytes: usize = parts.iter().map(|part| part.content.part.bytes.len()).sum();
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
            .map(|part| part.content.part.bytes.len())
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
