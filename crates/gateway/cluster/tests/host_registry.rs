//! The host registry: outdated records, ended instances, and anti-entropy digests.

mod common;

use common::{Controller, HEARTBEAT_INTERVAL, at, host};
use rushcourse_cluster::host_registry::RANGE_COUNT;
use rushcourse_cluster::{Effect, HostRegistry, Input};
use rushcourse_messages::{HostState, Message};
use rushcourse_types::{CallSequence, NodeId};
use std::time::Duration;

fn registry() -> HostRegistry {
    HostRegistry::new(Duration::from_millis(HEARTBEAT_INTERVAL))
}

#[test]
fn outdated_record_is_ignored_and_deregistration_is_final() {
    let mut hosts = registry();
    assert!(hosts.apply_record(at(0), host("i-1", 5, HostState::Draining)));
    assert!(
        !hosts.apply_record(at(10), host("i-1", 4, HostState::Ready)),
        "a record with a lower sequence number is ignored"
    );
    let state = hosts.get("i-1").expect("known").state();
    assert_eq!(state, HostState::Draining);

    assert!(hosts.deregister(at(20), "i-1").is_some());
    assert!(hosts.deregister(at(21), "i-1").is_none());
    assert!(!hosts.apply_record(at(30), host("i-1", 6, HostState::Ready)));
    hosts.remove_expired(at(100_000));
    assert!(
        hosts.get("i-1").is_none(),
        "the host is removed after its retention"
    );
}

#[test]
fn outdated_forwarded_heartbeat_does_not_update_last_seen() {
    let mut hosts = registry();
    hosts.apply_record(at(0), host("i-1", 5, HostState::Ready));
    let last_seen_at = |hosts: &HostRegistry| hosts.get("i-1").expect("known").last_seen_at();

    hosts.apply_heartbeat(at(500), "i-1", CallSequence(4));
    assert_eq!(last_seen_at(&hosts), at(0));
    hosts.apply_heartbeat(at(600), "i-1", CallSequence(6));
    assert_eq!(last_seen_at(&hosts), at(600));
}

/// Controllers of different releases compare digests, so they must not change. The reference values come from an
/// independent implementation of the hash: seed 3 on `i-1` for the range, seed 4 on `i-1 s 10.0.0.1:80 4 STATE`.
#[test]
fn host_digests_match_reference_values() {
    const RANGE_OF_I_1: usize = 17;
    for (state, digest) in [
        (HostState::Ready, 0x9427_1606_9de5_a814),
        (HostState::Draining, 0x5b51_c622_894c_40e0),
        (HostState::Gone, 0x2b4a_3f3d_2dba_a2df),
    ] {
        let mut hosts = registry();
        hosts.apply_record(at(0), host("i-1", 5, state));
        let mut expected = vec![0; RANGE_COUNT];
        expected[RANGE_OF_I_1] = digest;
        assert_eq!(hosts.digests(), expected, "{state:?}");
    }
}

/// One controller misses a deregistration. The exchange of digests, range request and host updates repairs it.
#[test]
fn anti_entropy_repairs_only_differing_ranges() {
    let (mut changed, mut behind) = (Controller::new(), Controller::new());
    let (changed_node, behind_node) = (NodeId(1), NodeId(2));
    for number in 0..40 {
        let record = host(&format!("i-{number}"), 1, HostState::Ready);
        changed.host_request(0, record.clone());
        behind.host_request(0, record);
    }
    changed.step(10, Input::Deregister("i-7".into()));

    let replies = |effects: Vec<Effect>| -> Vec<Message> {
        let reply = |effect| match effect {
            Effect::SendToPeer { message, .. } => Some(message),
            _ => None,
        };
        effects.into_iter().filter_map(reply).collect()
    };
    let send = |to: &mut Controller, from: NodeId, messages: Vec<Message>| -> Vec<Message> {
        let effects = messages
            .into_iter()
            .flat_map(|message| to.peer_message(20, from, message));
        replies(effects.collect())
    };
    let digests = vec![Message::HostDigests(changed.0.hosts().digests())];
    let requests = send(&mut behind, changed_node, digests);
    let updates = send(&mut changed, behind_node, requests);
    let [Message::HostUpdates(records)] = updates.as_slice() else {
        panic!("{updates:?}")
    };
    assert!(
        records.len() < 10,
        "only one range should be sent, got {} hosts",
        records.len()
    );
    send(&mut behind, changed_node, updates);

    assert_eq!(behind.state_of("i-7"), HostState::Gone);
    let digests = changed.0.hosts().digests();
    assert!(behind.0.hosts().differing_ranges(&digests).is_empty());
}
