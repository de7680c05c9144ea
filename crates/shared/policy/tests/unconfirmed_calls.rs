//! Calls that are delayed, resent or of unknown outcome, and proxies that join again.

mod common;

use common::{
    Harness, acknowledged, delta, draining, join, left, settings, settings_with, settled, unconfirmed,
    with_proxies, withdraws,
};
use rushcourse_policy::interface::{Action, Channel, ProxyId, Settings};

/// Whether the actions remove a host from the table of a proxy.
fn removes(harness: &Harness, proxy: ProxyId, name: &str, actions: &[Action]) -> bool {
    let bound = harness.bindings[&(proxy, 0)];
    actions.iter().any(|action| match action {
        Action::SetEndpoint { table, host, weight } => *table == bound && &**host == name && *weight == 0.0,
        _ => false,
    })
}

fn drain(harness: &mut Harness, name: &str) -> Vec<Action> {
    harness.handle(vec![delta(&[draining(name, 0)])])
}

/// Drains `a1` and returns whether the same batch withdraws it.
fn drain_is_withdrawn(harness: &mut Harness) -> bool {
    withdraws(&drain(harness, "a1"), "a1", Channel::Shared)
}

/// Reports the last batch as unconfirmed `times` times; each time it may have run.
fn resend(harness: &mut Harness, times: usize) {
    let ack_number = harness.ack_number();
    harness.handle((0..times).map(|_| unconfirmed(ack_number, true)).collect());
}

/// Settings with a cap of four messages per proxy and window.
fn capped() -> Settings {
    settings_with(|s| s.channel.max_messages = 4)
}

/// A director whose binds stay unacknowledged for 4 s, longer than the acknowledgement timeout.
fn unacknowledged(is_unconfirmed: bool) -> Harness {
    let mut harness = with_proxies(settings());
    let ack_number = harness.ack_number();
    for _ in 0..8 {
        harness.advance(500.0);
        if is_unconfirmed {
            harness.handle(vec![unconfirmed(ack_number, false)]);
        }
    }
    harness
}

#[test]
fn endpoint_of_an_unconfirmed_call_does_not_become_certain_by_timeout() {
    let mut harness = unacknowledged(false);
    drain(&mut harness, "a1");
    let actions = harness.advance(500.0);
    assert!(removes(&harness, 1, "a1", &actions), "binds of a confirmed call become certain by timeout");

    let mut harness = unacknowledged(true);
    drain(&mut harness, "a1");
    let actions = harness.advance(500.0);
    assert!(!removes(&harness, 1, "a1", &actions), "the binds may not have arrived yet");
}

#[test]
fn batches_after_an_unconfirmed_call_stay_uncertain() {
    let mut harness = with_proxies(settings());
    let first = harness.ack_number();
    harness.advance(250.0);
    harness.handle(vec![join(3, 0)]);
    for _ in 0..8 {
        harness.advance(500.0);
        harness.handle(vec![unconfirmed(first, false)]);
    }

    // The proxies of the first call acknowledge it; proxy 3, bound by a later call, does not.
    harness.handle([1, 2].map(|proxy| acknowledged(first, proxy)).to_vec());
    drain(&mut harness, "a1");
    let actions = harness.advance(500.0);

    assert!(removes(&harness, 2, "a1", &actions), "proxy 2 has acknowledged");
    assert!(!removes(&harness, 3, "a1", &actions), "proxy 3 may hold no other endpoint");
}

#[test]
fn resent_call_counts_as_another_message() {
    let mut harness = with_proxies(capped());
    assert!(drain_is_withdrawn(&mut harness), "one message is below the cap");

    let mut harness = with_proxies(capped());
    resend(&mut harness, 3);
    assert!(!drain_is_withdrawn(&mut harness), "four messages may have been written");
    harness.advance(10_500.0);
    assert!(harness.withdrawn.get("a1").is_some_and(|out| *out), "sent after the message window");
}

#[test]
fn postponed_messages_count_from_their_actual_send_time() {
    let mut harness = with_proxies(capped());
    harness.advance(9_000.0);
    // The call and its resend leave only now.
    resend(&mut harness, 2);
    resend(&mut harness, 1);
    harness.advance(2_000.0);
    assert!(!drain_is_withdrawn(&mut harness), "four messages were written two seconds ago");
}

#[test]
fn rejoining_proxy_is_rebound_and_keeps_its_message_count() {
    let binds = |has_left: bool| {
        let mut harness = with_proxies(settings_with(|s| s.channel.max_messages = 6));
        let ack_number = harness.ack_number();
        harness.advance(300.0);
        harness.handle((0..3).map(|_| unconfirmed(ack_number, true)).collect());
        let mut events = if has_left { vec![left(1), left(2)] } else { Vec::new() };
        events.extend([join(1, 0), join(2, 1)]);
        let actions = harness.handle(events);
        actions.iter().filter(|action| matches!(action, Action::BindProxy { .. })).count()
    };
    assert_eq!(binds(true), 2, "a new stream starts with an empty count");
    assert_eq!(binds(false), 0, "four of six messages are written");

    let mut harness = settled();
    let actions = harness.handle(vec![join(1, 0)]);
    let binds_it = |action: &Action| matches!(action, Action::BindProxy { proxy: 1, .. });
    assert!(actions.iter().any(binds_it), "its table is unknown after a join");
}

#[test]
fn one_message_of_the_cap_is_reserved_for_a_resend() {
    let mut harness = with_proxies(capped());
    resend(&mut harness, 2);
    assert!(!drain_is_withdrawn(&mut harness), "a resend would exceed the cap");
}
