//! Calls that are late, resent, or of unknown outcome, and proxies that may have left unseen.

mod common;

use common::{
    Harness, acknowledged, delta, draining, join, left, settings, settings_with, settled, unconfirmed,
    with_proxies, withdraws,
};
use rushcourse_policy::interface::{Action, Channel, ProxyId, Settings};

/// Whether a host is removed from a proxy's table.
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

/// Whether a drain of `a1` withdraws it in the same batch.
fn drain_is_withdrawn(harness: &mut Harness) -> bool {
    withdraws(&drain(harness, "a1"), "a1", Channel::Shared)
}

/// The calls of the last batch may have been carried out so many times more.
fn resend(harness: &mut Harness, times: usize) {
    let ack_number = harness.ack_number();
    harness.handle((0..times).map(|_| unconfirmed(ack_number, true)).collect());
}

/// A site where a proxy gets four messages at most.
fn capped() -> Settings {
    settings_with(|s| s.channel.max_messages = 4)
}

/// Binds that no proxy has acknowledged, for longer than time needs to resolve them.
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
fn an_endpoint_does_not_turn_certain_by_time_while_its_call_is_unconfirmed() {
    let mut harness = unacknowledged(false);
    drain(&mut harness, "a1");
    let actions = harness.advance(500.0);
    assert!(removes(&harness, 1, "a1", &actions), "of a confirmed call, time resolves the binds");

    let mut harness = unacknowledged(true);
    drain(&mut harness, "a1");
    let actions = harness.advance(500.0);
    assert!(!removes(&harness, 1, "a1", &actions), "the binds may not have arrived yet");
}

#[test]
fn batches_after_an_unconfirmed_call_stay_uncertain_too() {
    let mut harness = with_proxies(settings());
    let first = harness.ack_number();
    harness.advance(250.0);
    harness.handle(vec![join(3, 0)]);
    for _ in 0..8 {
        harness.advance(500.0);
        harness.handle(vec![unconfirmed(first, false)]);
    }

    // The proxies of the first call acknowledge it; the one behind it has not.
    harness.handle([1, 2].map(|proxy| acknowledged(first, proxy)).to_vec());
    drain(&mut harness, "a1");
    let actions = harness.advance(500.0);

    assert!(removes(&harness, 2, "a1", &actions), "proxy 2 has acknowledged");
    assert!(!removes(&harness, 3, "a1", &actions), "proxy 3 may hold nothing else");
}

#[test]
fn a_resent_call_counts_as_another_message_to_its_proxies() {
    let mut harness = with_proxies(capped());
    assert!(drain_is_withdrawn(&mut harness), "one message was written: there is room");

    let mut harness = with_proxies(capped());
    resend(&mut harness, 3);
    assert!(!drain_is_withdrawn(&mut harness), "four may have been written: no more within the span");
    harness.advance(10_500.0);
    assert!(harness.withdrawn.get("a1").is_some_and(|out| *out), "it goes out once there is room");
}

#[test]
fn postponed_messages_count_from_when_they_left() {
    let mut harness = with_proxies(capped());
    harness.advance(9_000.0);
    // The call leaves only now, as does one repeat of it.
    resend(&mut harness, 2);
    resend(&mut harness, 1);
    harness.advance(2_000.0);
    assert!(!drain_is_withdrawn(&mut harness), "the four were written two seconds ago");
}

#[test]
fn a_proxy_that_joins_again_without_leaving_is_bound_anew_and_its_messages_count_on() {
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
    assert_eq!(binds(true), 2, "a stream that is new counts from its join");
    assert_eq!(binds(false), 0, "four of six are written: the binds wait for their turn");

    let mut harness = settled();
    let actions = harness.handle(vec![join(1, 0)]);
    let binds_it = |action: &Action| matches!(action, Action::BindProxy { proxy: 1, .. });
    assert!(actions.iter().any(binds_it), "it may be on no table");
}

#[test]
fn one_message_of_the_cap_is_left_for_a_repeat() {
    let mut harness = with_proxies(capped());
    resend(&mut harness, 2);
    assert!(!drain_is_withdrawn(&mut harness), "its call may go out twice: that would be five of four");
}
