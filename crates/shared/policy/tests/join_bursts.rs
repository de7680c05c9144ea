//! Bursts of joining proxies, and drains that compete with their binds for the channel.

mod common;

use common::{
    Harness, delta, draining, fleet, join, join_by_turns, settings_with, with_fleet, with_state, withdraws,
};
use rushcourse_policy::interface::{AckNumber, Action, Channel, Event, HostEntry, ProxyId, Readiness};
use std::collections::BTreeMap;

/// Number of proxies in a burst of joins.
const PROXIES: u32 = 1200;

/// A fleet of `hosts` hosts with the given queue limit and a drain grace period of 12 s.
fn with_channel(max_queued_lines: f64, hosts: usize) -> Harness {
    let settings = settings_with(|s| {
        s.channel.max_queued_lines = max_queued_lines;
        s.hosts.drain_grace = 12_000.0;
    });
    with_fleet(settings, hosts)
}

fn is_bound(harness: &Harness, proxy: ProxyId) -> bool {
    harness.bindings.contains_key(&(proxy, 0))
}

/// Hosts that the actions withdraw on the shared channel, in the order of the actions.
fn withdrawals(actions: &[Action]) -> Vec<String> {
    let withdrawn = actions.iter().filter_map(|action| match action {
        Action::SetWithdrawn { host, is_withdrawn: true, channel: Channel::Shared } => Some(host.to_string()),
        _ => None,
    });
    withdrawn.collect()
}

fn drain_hosts(hosts: &[HostEntry]) -> Event {
    let entries: Vec<HostEntry> =
        hosts.iter().map(|entry| with_state(entry.clone(), Readiness::Draining, 0.0)).collect();
    delta(&entries)
}

#[test]
fn withdrawal_is_sent_to_proxies_that_await_their_bind() {
    // The bind does not fit the channel, so the proxy keeps its default table, which may contain the host.
    let mut harness = with_fleet(settings_with(|s| s.channel.max_queued_lines = 20.0), 24);
    harness.handle(vec![join(1, 0)]);
    assert!(harness.bindings.is_empty());

    let actions = harness.handle(vec![delta(&[draining("h000", 0)])]);

    assert!(withdraws(&actions, "h000", Channel::Shared));
    assert!(matches!(actions.last(), Some(Action::RequestAck { .. })), "no message was sent: {actions:?}");
}

#[test]
fn join_between_rounds_examines_no_other_proxies() {
    let proxies = 2400;
    // A channel with enough capacity for all updates.
    let settings = settings_with(|s| {
        s.fleet.proxies = 2 * proxies as usize;
        s.channel.max_queued_lines = 1e6;
        s.channel.lines_per_second = 1e6;
    });
    let mut harness = with_fleet(settings, 200);
    harness.handle(join_by_turns(0..proxies));
    harness.advance(1000.0);
    harness.now += 1.0;

    let (before, mut bound) = (harness.director.examined_count(), 0);
    for proxy in proxies..proxies + 100 {
        let actions = harness.handle(vec![join(proxy, proxy as usize % 2)]);
        bound += actions.iter().filter(|action| matches!(action, Action::BindProxy { .. })).count();
        harness.now += 1.0;
    }

    let each = (harness.director.examined_count() - before) / 100;
    assert_eq!(bound, 100, "each is bound in the batch of its join");
    assert!(each <= 30, "{each} examined for a join, beside 2,400 proxies and 200 hosts");
}

/// Guards against binds that fill the channel during a burst of joins and delay withdrawals beyond the drain grace.
#[test]
fn burst_of_joins_leaves_channel_capacity_for_withdrawals() {
    let mut harness = with_channel(20_000.0, 48);
    // Proxies join over three seconds. Batches are acknowledged as the channel sends 2,000 lines per second.
    let mut batches: Vec<(AckNumber, ProxyId)> = Vec::new();
    for part in 0..60 {
        let first = part * 20;
        harness.handle(join_by_turns(first..first + 20));
        batches.push((harness.ack_number(), first));
        harness.advance(50.0);
        if part % 20 == 19 {
            let (ack_number, proxy) = batches[part as usize / 20];
            let (elapsed, channel) = (900.0, Channel::Shared);
            harness.handle(vec![Event::Acknowledged { ack_number, proxy, elapsed, channel }]);
        }
    }

    harness.handle(vec![delta(&[draining("h003", 1)])]);
    assert_eq!(harness.withdrawn.get("h003"), Some(&true), "withdrawn in the same batch");

    // All proxies are bound eventually, as acknowledgements free the channel.
    let all: Vec<ProxyId> = (0..PROXIES).collect();
    for _ in 0..60 {
        harness.acknowledge(&all);
        harness.advance(250.0);
    }
    assert!(all.iter().all(|proxy| is_bound(&harness, *proxy)));
}

/// Guards against counting a whole line for every proxy that awaits its bind: few of them use the withdrawn host, and
/// the overestimate would fill the channel's window.
#[test]
fn successive_drains_fit_the_channel_while_proxies_await_binds() {
    let mut harness = with_channel(20_000.0, 200);
    harness.handle(join_by_turns(0..PROXIES));
    let waiting = PROXIES as usize - harness.bindings.len();
    assert!(waiting > 600, "{waiting} wait for the channel");

    for k in 0..5 {
        let name = format!("h{k:03}");
        harness.handle(vec![delta(&[draining(&name, k % 2)])]);
        assert_eq!(harness.withdrawn.get(&name), Some(&true), "drain {k} withdrawn in the same batch");
        harness.advance(250.0);
    }
}

/// Guards against proxies that use a draining host until their bind: after a burst of joins, recent withdrawals are
/// repeated once.
#[test]
fn proxies_joining_during_a_release_get_earlier_withdrawals_once() {
    let mut harness = with_channel(20_000.0, 200);
    harness.handle(vec![join(0, 0)]);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    // Returns how often each of the two hosts has been withdrawn so far.
    let mut count = |actions: Vec<Action>| {
        for host in withdrawals(&actions) {
            *counts.entry(host).or_default() += 1;
        }
        ["h001", "h003"].map(|host| counts.get(host).copied().unwrap_or(0))
    };
    let drain = |name: &str| vec![delta(&[draining(name, 1)])];
    assert_eq!(count(harness.handle(drain("h001"))), [1, 0], "sent at once without recent joins");

    for part in 0..10 {
        count(harness.handle(join_by_turns(1 + part * 120..121 + part * 120)));
        count(harness.advance(50.0));
        if part == 6 {
            count(harness.handle(drain("h003")));
        }
    }

    assert_eq!(count(vec![]), [1, 1], "the burst of joins is not over");
    assert_eq!(count(harness.advance(600.0)), [2, 2], "repeated after the burst");
    assert_eq!(count(harness.advance(2000.0)), [2, 2], "repeated only once");
}

/// Guards against repeating withdrawals for a few late joiners: the repeats would fill the window and delay later
/// drains.
#[test]
fn few_late_joiners_are_bound_first_without_repeated_withdrawals() {
    let mut harness = with_channel(20_000.0, 200);
    harness.handle(join_by_turns(0..PROXIES));
    harness.advance(500.0);
    let waiting: Vec<ProxyId> = (0..PROXIES).filter(|proxy| !is_bound(&harness, *proxy)).collect();
    assert!(waiting.len() > 600);

    let actions = harness.handle(vec![drain_hosts(&fleet(200)[..20])]);
    assert_eq!(withdrawals(&actions).len(), 20);
    harness.handle(join_by_turns(2000..2100));
    let repeated = withdrawals(&harness.advance(1000.0)).len();
    assert_eq!(repeated, 0, "binding 100 proxies costs less than repeats to 700");

    // As the channel drains, the late joiners are bound first.
    let all: Vec<ProxyId> = (0..PROXIES).chain(2000..2100).collect();
    while (2000..2100).any(|proxy| !is_bound(&harness, proxy)) {
        let before = harness.bindings.len();
        harness.acknowledge(&all);
        harness.advance(250.0);
        assert!(harness.bindings.len() > before, "no bind was sent");
    }
    let left = waiting.iter().filter(|proxy| !is_bound(&harness, **proxy)).count();
    assert!(left > 300, "only {left} of the earlier proxies still await their bind");
}

/// Guards against repeats that fill the window before new withdrawals are sent.
#[test]
fn new_withdrawals_are_sent_before_repeated_ones() {
    let mut harness = with_channel(14_000.0, 200);
    harness.handle(vec![join(0, 0)]);
    harness.handle(vec![drain_hosts(&fleet(200)[..60])]);
    harness.handle(join_by_turns(1..PROXIES));
    harness.now += 400.0;

    let order = withdrawals(&harness.handle(vec![drain_hosts(&fleet(200)[150..160])]));

    let new: Vec<String> = (150..160).map(|k| format!("h{k:03}")).collect();
    assert_eq!(order[..10], new, "of {} in this batch", order.len());
    assert!((11..70).contains(&order.len()), "some repeats fit the window: {}", order.len());
}
