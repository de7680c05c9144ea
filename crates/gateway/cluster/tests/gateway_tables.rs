//! What a gateway gets that takes its tables from a controller.

mod common;

use common::{Controller, host, to_gateway};
use rushcourse_cluster::{Effect, Input};
use rushcourse_messages::{EndpointWeight, HostState, Message};

/// Whether a message says that a host's state holds at once.
fn is_state_of(message: &Message, id: &str) -> bool {
    matches!(message, Message::HostStates(hosts) if &*hosts[0].id == id)
}

/// The lines of a table's message; none of another message.
fn endpoints(message: &Message) -> &[EndpointWeight] {
    match message {
        Message::TableReplacement { endpoints, .. } | Message::TableUpdate { endpoints, .. } => {
            endpoints
        }
        _ => &[],
    }
}

#[test]
fn a_gateway_gets_a_table_at_once_and_a_drain_before_all_else() {
    let (mut controller, effects) = Controller::with_gateway();
    let messages = to_gateway(&effects);
    let table = messages.iter().find_map(|message| match message {
        Message::TableReplacement {
            endpoints,
            revision,
            ..
        } => Some((endpoints.len(), *revision)),
        _ => None,
    });
    let (endpoint_count, revision) = table.expect("a table");
    assert_eq!(endpoint_count, 3);

    let applied = Message::TableApplied {
        service: "s".into(),
        revision,
    };
    controller.gateway_message(4_500, applied);
    let effects = controller.host_request(4_600, host("i-1", 2, HostState::Draining));
    assert!(
        effects.iter().any(|effect| matches!(
            effect,
            Effect::BroadcastToGateways(message) if is_state_of(message, "i-1")
        )),
        "every gateway, whichever controller it takes its tables from"
    );
    assert!(
        to_gateway(&effects)
            .iter()
            .any(|message| is_state_of(message, "i-1")),
        "and by the policy's order in the same step"
    );
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::BroadcastToPeers(Message::HostUpdates(_))))
    );
}

#[test]
fn hosts_that_the_disk_held_stand_in_tables_at_once_after_a_start() {
    let mut controller = Controller::new();
    let restored = vec![
        host("i-1", 5, HostState::Ready),
        host("i-2", 5, HostState::Draining),
    ];
    controller.step(1_000, Input::HostsRestored(restored));
    assert!(controller.0.is_synchronized());

    let effects = controller.adopt_gateway(1_000);
    let lines = to_gateway(&effects).into_iter().flat_map(endpoints);
    let served = lines.filter(|line| line.weight > 0.0).count();
    assert_eq!(served, 1, "the one that drains is in none");
}
