//! When the silence of a host counts against it.

mod common;

use common::{Controller, HEARTBEAT_INTERVAL, has_logged, host};
use rushcourse_cluster::{Effect, Input};
use rushcourse_messages::{HostState, Message};
use rushcourse_types::{Millis, NodeId};

#[test]
fn a_host_times_out_only_where_a_majority_is_in_contact() {
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
            "with a majority: {has_quorum_contact}"
        );

        controller.host_request(13_000, host("i-1", 9, HostState::Ready));
        assert_eq!(
            controller.state_of("i-1"),
            HostState::Ready,
            "it calls again"
        );
    }
}

#[test]
fn a_controller_that_is_back_from_a_partition_hears_the_others_before_it_judges() {
    let (mut controller, _) = Controller::with_gateway();
    controller.step(4_500, Input::QuorumContactChanged(false));
    controller.tick(4_500, 24_500);

    controller.step(24_500, Input::QuorumContactChanged(true));
    let effects = controller.tick(24_500, 24_600);
    assert!(
        !has_logged(&effects, "host_timed_out"),
        "it did not hear whom they called meanwhile"
    );

    let mut heard_by_others = vec![
        host("i-1", 20, HostState::Ready),
        host("i-2", 20, HostState::Ready),
    ];
    heard_by_others[1].age = Millis(900);
    controller.peer_message(24_600, NodeId(2), Message::HostUpdates(heard_by_others));
    controller.tick(24_600, 26_000);
    assert_eq!(
        (controller.state_of("i-1"), controller.state_of("i-2")),
        (HostState::Ready, HostState::Ready)
    );
    assert_eq!(
        controller.state_of("i-3"),
        HostState::Gone,
        "nobody heard it"
    );
}

#[test]
fn a_controller_that_was_frozen_hears_what_waits_before_it_judges_and_keeps_its_gateways() {
    let (mut controller, _) = Controller::with_gateway();
    let mut effects = controller.step(11_000, Input::Stalled);
    effects.extend(controller.step(11_000, Input::Tick));
    assert!(
        !has_logged(&effects, "host_timed_out"),
        "its own silence is not theirs"
    );
    let is_status = |effect: &Effect| {
        matches!(
            effect,
            Effect::BroadcastToGateways(Message::ControllerStatus { .. })
        )
    };
    assert!(
        !effects.iter().any(is_status),
        "a short freeze moves no gateway"
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
