//! Conditions under which a host without heartbeats times out.

mod common;

use common::{Controller, HEARTBEAT_INTERVAL, has_logged, host};
use rushcourse_cluster::{Effect, Input};
use rushcourse_messages::{HostState, Message};
use rushcourse_types::{Millis, NodeId};

#[test]
fn host_times_out_only_with_quorum_contact() {
    for (has_quorum_contact, is_gone) in [(true, true), (false, false)] {
        let (mut controller, _) = Controller::with_gateway();
        controller.step(4_500, Input::QuorumContactChanged(has_quorum_contact));
        for now in (4_500..12_000).step_by(HEARTBEAT_INTERVAL as usize) {
            for id in ["i-2", "i-3"] {
                controller.host_request(now, host(id, now, HostState::Ready));
            }
            controller.tick(now, now + HEARTBEAT_INTERVAL);
        }
        assert_eq!(
            controller.state_of("i-1") == HostState::Gone,
            is_gone,
            "quorum contact: {has_quorum_contact}"
        );

        controller.host_request(13_000, host("i-1", 9, HostState::Ready));
        assert_eq!(
            controller.state_of("i-1"),
            HostState::Ready,
            "a new heartbeat ends the timeout"
        );
    }
}

#[test]
fn host_does_not_time_out_during_the_grace_period_after_a_partition() {
    let (mut controller, _) = Controller::with_gateway();
    controller.step(4_500, Input::QuorumContactChanged(false));
    controller.tick(4_500, 24_500);

    controller.step(24_500, Input::QuorumContactChanged(true));
    let effects = controller.tick(24_500, 24_600);
    assert!(
        !has_logged(&effects, "host_timed_out"),
        "hosts may have sent heartbeats to other controllers during the partition"
    );

    let mut records_of_peer = vec![
        host("i-1", 20, HostState::Ready),
        host("i-2", 20, HostState::Ready),
    ];
    records_of_peer[1].age = Millis(900);
    controller.peer_message(24_600, NodeId(2), Message::HostUpdates(records_of_peer));
    controller.tick(24_600, 26_000);
    assert_eq!(
        (controller.state_of("i-1"), controller.state_of("i-2")),
        (HostState::Ready, HostState::Ready)
    );
    assert_eq!(
        controller.state_of("i-3"),
        HostState::Gone,
        "no controller received its heartbeats"
    );
}

#[test]
fn stalled_controller_handles_pending_heartbeats_before_hosts_time_out() {
    let (mut controller, _) = Controller::with_gateway();
    let mut effects = controller.step(11_000, Input::Stalled);
    effects.extend(controller.step(11_000, Input::Tick));
    assert!(
        !has_logged(&effects, "host_timed_out"),
        "heartbeats that arrived during the stall are still pending"
    );
    let is_status = |effect: &Effect| {
        matches!(
            effect,
            Effect::BroadcastToGateways(Message::ControllerStatus { .. })
        )
    };
    assert!(
        !effects.iter().any(is_status),
        "a short stall must not make gateways change their primary"
    );

    for id in ["i-1", "i-2"] {
        controller.host_request(11_010, host(id, 5, HostState::Ready));
    }
    controller.tick(11_050, 12_200);
    assert_eq!(
        ["i-1", "i-2", "i-3"].map(|id| controller.state_of(id)),
        [HostState::Ready, HostState::Ready, HostState::Gone]
    );
}
