//! Messages that a controller sends to a gateway whose primary it is.

mod common;

use common::{Controller, host, to_gateway};
use rushcourse_cluster::{Effect, Input};
use rushcourse_messages::{EndpointWeight, HostState, Message};

/// Whether a message sends the state of this host, which takes effect immediately.
fn is_host_state_of(message: &Message, id: &str) -> bool {
    matches!(message, Message::HostStates(hosts) if &*hosts[0].id == id)
}

/// The entries in a table message, or none for other messages.
fn endpoints(message: &Message) -> &[EndpointWeight] {
    match message {
        Message::TableReplacement { endpoints, .. } | Message::TableUpdate { endpoints, .. } => {
            endpoints
        }
        _ => &[],
    }
}

#[test]
fn new_gateway_gets_a_table_and_a_drain_is_sent_at_once() {
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
            Effect::BroadcastToGateways(message) if is_host_state_of(message, "i-1")
        )),
        "the state is broadcast to all gateways, whatever their primary"
    );
    assert!(
        to_gateway(&effects)
            .iter()
            .any(|message| is_host_state_of(message, "i-1")),
        "the policy withdraws the host in the same step"
    );
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::BroadcastToPeers(Message::HostUpdates(_))))
    );
}

#[test]
fn restored_hosts_are_in_tables_at_once() {
    let mut controller = Controller::new();
    let restored = vec![
        host("i-1", 5, HostState::Ready),
        host("i-2", 5, HostState::Draining),
    ];
    controller.step(1_000, Input::HostsRestored(restored));
    assert!(controller.0.is_synchronized());

    let effects = controller.adopt_gateway(1_000);
    let entries = to_gateway(&effects).into_iter().flat_map(endpoints);
    let served = entries.filter(|entry| entry.weight > 0.0).count();
    assert_eq!(served, 1, "the draining host is not in the table");
}
