//! Contact probes, sent by node 1 of four controllers unless stated otherwise.

use rushcourse_cluster::{ContactProbes, ProbeResult};
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, NodeId, RequestToken, Timestamp};

const LOCAL_NODE: NodeId = NodeId(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn four_controllers() -> VotingSet {
    VotingSet {
        epoch: Epoch(1),
        members: [1, 2, 3, 4].map(NodeId).to_vec(),
    }
}

fn confirmed(token: RequestToken) -> ProbeResult {
    ProbeResult {
        token,
        is_confirmed: true,
    }
}

fn timed_out(token: RequestToken) -> ProbeResult {
    ProbeResult {
        token,
        is_confirmed: false,
    }
}

/// Starts a probe to which the local node responds at once.
fn start(probes: &mut ContactProbes, now: Timestamp) -> RequestToken {
    let token = probes.start(now);
    probes.record_response(LOCAL_NODE, token);
    token
}

#[test]
fn probe_is_confirmed_once_a_majority_has_responded() {
    let mut probes = ContactProbes::default();
    let token = start(&mut probes, at(1_000));

    assert!(probes.record_response(NodeId(2), token));
    assert!(
        probes.record_response(NodeId(2), token),
        "a repeated response counts once"
    );
    assert!(
        probes.finish(at(1_010), &four_controllers()).is_empty(),
        "two of four are not a majority"
    );

    assert!(probes.record_response(NodeId(3), token));
    assert_eq!(
        probes.finish(at(1_020), &four_controllers()),
        [confirmed(token)]
    );
    assert!(
        probes.finish(at(1_030), &four_controllers()).is_empty(),
        "the result is returned only once"
    );
}

#[test]
fn response_to_an_earlier_probe_does_not_confirm_a_later_one() {
    let mut probes = ContactProbes::default();
    let (early, late) = (start(&mut probes, at(1_000)), start(&mut probes, at(1_100)));

    for peer in [2, 3, 4] {
        probes.record_response(NodeId(peer), early);
    }
    assert_eq!(
        probes.finish(at(1_110), &four_controllers()),
        [confirmed(early)]
    );

    assert!(
        probes.record_response(NodeId(2), early),
        "the token of a finished probe is still recognized"
    );
    assert!(
        !probes.record_response(NodeId(2), RequestToken(7)),
        "tokens of reads are not recognized"
    );
    assert_eq!(
        probes.finish(at(1_900), &four_controllers()),
        [timed_out(late)],
        "no peer responded to the later probe"
    );
}

#[test]
fn non_member_needs_a_majority_of_the_members() {
    let standby = NodeId(5);
    let mut probes = ContactProbes::default();
    let token = probes.start(at(1_000));
    probes.record_response(standby, token);

    probes.record_response(NodeId(2), token);
    probes.record_response(NodeId(3), token);
    probes.record_response(NodeId(9), token);
    assert!(probes.finish(at(1_010), &four_controllers()).is_empty());
    probes.record_response(NodeId(4), token);
    assert_eq!(
        probes.finish(at(1_020), &four_controllers()),
        [confirmed(token)]
    );
}

#[test]
fn probe_without_a_voting_set_times_out() {
    let mut probes = ContactProbes::default();
    let token = start(&mut probes, at(2_000));
    assert!(probes.finish(at(2_010), &VotingSet::default()).is_empty());
    assert_eq!(
        probes.finish(at(2_700), &VotingSet::default()),
        [timed_out(token)]
    );
}

/// Guards against an acknowledgement that counts a disk which has not synced yet.
#[test]
fn local_node_counts_once_it_has_responded() {
    let mut probes = ContactProbes::default();
    let token = probes.start(at(1_000));
    probes.record_response(NodeId(2), token);
    probes.record_response(NodeId(3), token);
    assert!(probes.finish(at(1_010), &four_controllers()).is_empty());
    probes.record_response(LOCAL_NODE, token);
    assert_eq!(
        probes.finish(at(1_020), &four_controllers()),
        [confirmed(token)]
    );
}
