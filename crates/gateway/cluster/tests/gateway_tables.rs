//! Messages that a controller sends to a gateway whose primary it is.

mod common;

use common::{Controller, HEARTBEAT_INTERVAL, has_logged, host, to_gateway};
use rushcourse_cluster::{Effect, Input};
use rushcourse_messages::{EndpointWeight, HostRecord, HostState, Message};

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

/// Records of a host in messages to the gateway: host states, and entries of tables that send requests to it.
fn records_of(effects: &[Effect], id: &str) -> Vec<HostRecord> {
    let records = |message: &&Message| match message {
        Message::HostStates(hosts) => hosts.clone(),
        table => {
            let listed = endpoints(table).iter().filter(|entry| entry.weight > 0.0);
            listed.map(|entry| entry.host.clone()).collect()
        }
    };
    let messages = to_gateway(effects);
    let all = messages.iter().flat_map(records);
    all.filter(|record| &*record.id == id).collect()
}

/// Guards against RECOVER: gateways took a host that was cut off for some seconds for an ended one, which never returns.
#[test]
fn timed_out_host_is_withdrawn_and_listed_again_but_never_reported_as_gone() {
    let (mut controller, _) = Controller::with_gateway();
    let mut effects = Vec::new();
    for now in (4_500..12_000).step_by(HEARTBEAT_INTERVAL as usize) {
        for id in ["i-2", "i-3"] {
            effects.extend(controller.host_request(now, host(id, now, HostState::Ready)));
        }
        effects.extend(controller.tick(now, now + HEARTBEAT_INTERVAL));
    }
    assert!(has_logged(&effects, "host_timed_out"), "i-1 times out");
    let states = |effects: &[Effect]| -> Vec<HostState> {
        let records = records_of(effects, "i-1");
        records.iter().map(|record| record.state).collect()
    };
    let while_silent = states(&effects);
    assert!(
        while_silent.contains(&HostState::Draining) && !while_silent.contains(&HostState::Gone),
        "gets no new requests, but may return: {while_silent:?}"
    );

    let mut effects = controller.host_request(13_000, host("i-1", 13_000, HostState::Ready));
    effects.extend(controller.tick(13_000, 16_000));
    let once_back = states(&effects);
    assert!(
        once_back.contains(&HostState::Ready) && !once_back.contains(&HostState::Gone),
        "is listed again: {once_back:?}"
    );
}

/// Guards against DRAIN: a host that has signed off stays gone, whether it had timed out before or not.
#[test]
fn deregistered_host_is_reported_as_gone_though_it_had_timed_out() {
    for is_silent in [false, true] {
        let (mut controller, _) = Controller::with_gateway();
        let until = if is_silent { 12_000 } else { 5_000 };
        controller.tick(4_500, until);
        let deregistration = host("i-1", 9, HostState::Gone);
        let effects = controller.host_request(until, deregistration);
        assert!(
            effects.iter().any(|effect| matches!(
                effect,
                Effect::BroadcastToGateways(Message::HostStates(hosts))
                    if hosts[0].state == HostState::Gone
            )),
            "silent: {is_silent}"
        );
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
