//! What a controller knows of hosts: late heartbeats, ended instances, and the digests by which two controllers find
//! where they differ.

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
fn late_heartbeats_change_nothing_and_an_ended_instance_stays_ended() {
    let mut hosts = registry();
    assert!(hosts.apply_record(at(0), host("i-1", 5, HostState::Draining)));
    assert!(
        !hosts.apply_record(at(10), host("i-1", 4, HostState::Ready)),
        "sent before, came after"
    );
    let state = hosts.get("i-1").expect("known").state();
    assert_eq!(state, HostState::Draining);

    assert!(hosts.deregister(at(20), "i-1").is_some());
    assert!(hosts.deregister(at(21), "i-1").is_none());
    assert!(!hosts.apply_record(at(30), host("i-1", 6, HostState::Ready)));
    hosts.remove_expired(at(100_000));
    assert!(hosts.get("i-1").is_none(), "and is forgotten");
}

/// One that was sent before what is known of the host says nothing of how the host is now.
#[test]
fn a_heartbeat_that_is_passed_on_late_is_no_sign_of_life() {
    let mut hosts = registry();
    hosts.apply_record(at(0), host("i-1", 5, HostState::Ready));
    let last_seen_at = |hosts: &HostRegistry| hosts.get("i-1").expect("known").last_seen_at();

    hosts.apply_heartbeat(at(500), "i-1", CallSequence(4));
    assert_eq!(last_seen_at(&hosts), at(0));
    hosts.apply_heartbeat(at(600), "i-1", CallSequence(6));
    assert_eq!(last_seen_at(&hosts), at(600));
}

/// Controllers of two builds compare them. The values were computed apart from the program: FNV-1a with its last mix,
/// seed 3 for the range of `i-1`, seed 4 for `i-1 s 10.0.0.1:80 4` and the word of the state.
#[test]
fn digests_of_hosts_are_those_of_earlier_builds() {
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

/// A digest, the ranges that are asked for, the hosts of them.
#[test]
fn registries_that_differ_are_found_by_range_and_repaired() {
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
        "a range, not all: {} hosts",
        records.len()
    );
    send(&mut behind, changed_node, updates);

    assert_eq!(behind.state_of("i-7"), HostState::Gone);
    let digests = changed.0.hosts().digests();
    assert!(behind.0.hosts().differing_ranges(&digests).is_empty());
}
