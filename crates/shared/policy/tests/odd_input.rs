//! Input that makes no sense, or that no front should hand over.

mod common;

use common::{
    Harness, cached_list, fleet, full_list, host, host_report, join, join_by_turns, left, settings_with,
    settled, traffic,
};
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, HostEntry, HostLoad, ProxyId, Settings};

/// More actions than these in one batch would be a flood.
const MAX_ACTIONS: usize = 4000;

/// Seconds of events at once: joins and losses of the same proxies, reports of hosts and proxies never seen.
fn odd_events() -> Vec<Event> {
    let mut events = join_by_turns(0..150);
    events.extend((0..150).step_by(3).map(left));
    events.extend(join_by_turns(0..150));
    for k in 0..2000 {
        events.push(host_report(k % 4, &format!("h{:03}", k % 300), 1.0, 3.0, f64::from(k as u32)));
        events.push(traffic(k as u32 % 400, k % 3, 1.0));
    }
    events.push(Event::ProxyJoined {
        proxy: 900,
        zone: 7,
        rate: f64::NAN,
        is_fresh: false,
        channel: Channel::Shared,
    });
    events
}

#[test]
fn odd_input_at_size_neither_panics_nor_floods_nor_leaves_a_proxy_without_a_host() {
    let mut harness = Harness::new(settings_with(|s| {
        s.channel.max_queued_lines = 9000.0;
        s.channel.lines_per_second = 4500.0;
    }));
    let doubled: Vec<HostEntry> = fleet(200).into_iter().chain(fleet(200)).collect();
    harness.handle(vec![cached_list(&doubled)]);
    let actions = harness.handle(odd_events());
    assert!(actions.len() < MAX_ACTIONS, "{} actions", actions.len());

    // An empty list takes all away; the next one brings half back.
    let all: Vec<ProxyId> = (0..150).collect();
    harness.acknowledge(&all);
    harness.handle(vec![full_list(&[])]);
    harness.advance(3000.0);
    harness.acknowledge(&all);
    let actions = harness.handle(vec![full_list(&fleet(100))]);
    assert!(actions.len() < MAX_ACTIONS, "{} actions", actions.len());
    for _ in 0..6 {
        harness.advance(1000.0);
        harness.acknowledge(&all);
    }

    for proxy in 0..150 {
        let is_live = |host: &String| harness.withdrawn.get(host).is_none_or(|withdrawn| !withdrawn);
        assert!(harness.weights(proxy).keys().any(is_live), "proxy {proxy} has no host");
    }
}

#[test]
fn unusable_settings_get_one_log_line_and_no_orders() {
    let spoils: [fn(&mut Settings); 2] = [|s| s.classes.clear(), |s| s.channel.lines_per_second = 0.0];
    for spoil in spoils {
        let mut director = Director::new(settings_with(spoil));
        let first = director.handle(1000.0, vec![cached_list(&[host("a1", 0)])]);
        assert!(matches!(&first[..], [Action::Log { .. }]));
        assert!(director.handle(1000.0, vec![join(1, 0)]).is_empty());
        assert!(director.handle(2000.0, vec![join(2, 0)]).is_empty());
    }
}

#[test]
fn events_of_unknown_hosts_and_proxies_change_nothing() {
    let mut harness = settled();
    harness.advance(500.0);
    let actions = harness.handle(vec![
        host_report(0, "stranger", 10.0, 10.0, 0.0),
        left(77),
        Event::Acknowledged { ack_number: 4000, proxy: 77, elapsed: 1.0, channel: Channel::Shared },
        traffic(77, 9, 5.0),
        Event::HealthChecked {
            host: "stranger".into(),
            elapsed: 1.0,
            is_answered: false,
            load: HostLoad::default(),
        },
    ]);
    assert!(actions.is_empty(), "{actions:?}");
}
