//! The host registry: outdated records, ended instances, and anti-entropy digests.

mod common;

use common::{Controller, HEARTBEAT_INTERVAL, at, host};
use rushcourse_cluster::host_registry::RANGE_COUNT;
use rushcourse_cluster::{Effect, HostRegistry, Input};
use rushcourse_messages::{HostState, Message};
use rushcourse_types::{CallSequence, NodeId};
use std::collections::BTreeSet;
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

/// Guards against DRAIN: a host that signed off before its first heartbeat arrived was made ready by that heartbeat.
#[test]
fn sign_off_of_an_unknown_host_is_final() {
    let mut hosts = registry();
    let record = hosts.deregister(at(0), "i-1").expect("recorded");
    assert_eq!(record.state, HostState::Gone);
    assert!(!hosts.apply_record(at(10), host("i-1", 1, HostState::Ready)));
    assert_eq!(state_of(&hosts, "i-1"), HostState::Gone);
    assert_eq!(hosts.remove_expired(at(59_999)), []);
    assert_eq!(hosts.remove_expired(at(60_000)), ["i-1".into()]);
}

/// Guards against anti-entropy without end between a controller that knew the host and one that did not.
#[test]
fn controllers_agree_on_a_host_that_one_of_them_did_not_know() {
    let (mut knows, mut does_not) = (registry(), registry());
    knows.apply_record(at(0), host("i-1", 4, HostState::Ready));
    let unknown = does_not.deregister(at(10), "i-1").expect("recorded");
    assert!(knows.apply_record(at(20), unknown));
    assert_eq!(state_of(&knows, "i-1"), HostState::Gone);
    assert_eq!(&*knows.get("i-1").expect("known").record().service, "s");
    assert!(!does_not.apply_record(at(30), knows.records(at(30)).remove(0)));
    assert_eq!(knows.digests(), does_not.digests());
}

/// Guards against ended hosts that controllers pass on to each other for good, each time with a new retention.
#[test]
fn ended_host_expires_everywhere_a_minute_after_its_sign_off() {
    let (mut first, mut second) = (registry(), registry());
    first.apply_record(at(0), host("i-1", 1, HostState::Ready));
    first.deregister(at(0), "i-1");
    second.apply_record(at(59_000), first.records(at(59_000)).remove(0));
    assert_eq!(state_of(&second, "i-1"), HostState::Gone);
    let late = first.records(at(60_000)).remove(0);
    assert_eq!(second.remove_expired(at(60_000)), ["i-1".into()]);
    assert!(!second.apply_record(at(60_000), late));
    assert!(second.get("i-1").is_none());
}

/// Guards against DRAIN: only a majority's memory held what a leaving host had said.
#[test]
fn leaving_hosts_stay_in_the_state_file_until_late_heartbeats_are_over() {
    let mut controller = Controller::new();
    let mut effects = controller.step(1_000, Input::QuorumContactChanged(true));
    for (id, state) in [
        ("i-gone", HostState::Ready),
        ("i-drains", HostState::Draining),
        ("i-silent", HostState::Ready),
    ] {
        effects.extend(controller.host_request(1_000, host(id, 1, state)));
    }
    effects.extend(controller.step(1_100, Input::Deregister("i-gone".into())));
    effects.extend(controller.tick(1_150, 20_000));
    assert_eq!(stored(&effects), ["i-drains", "i-gone"]);
    effects.extend(controller.tick(20_000, 61_050));
    assert_eq!(stored(&effects), ["i-gone"]);
    effects.extend(controller.tick(61_050, 61_200));
    assert_eq!(stored(&effects), [""; 0]);
}

/// The ids of the hosts in the state file after these effects.
fn stored(effects: &[Effect]) -> Vec<&str> {
    let mut stored = BTreeSet::new();
    for effect in effects {
        match effect {
            Effect::PersistHost(record) => drop(stored.insert(&*record.id)),
            Effect::RemoveStoredHost(id) => drop(stored.remove(&**id)),
            _ => {}
        }
    }
    stored.into_iter().collect()
}

fn state_of(hosts: &HostRegistry, id: &str) -> HostState {
    hosts.get(id).expect("known").state()
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
