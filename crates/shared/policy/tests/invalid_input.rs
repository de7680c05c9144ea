//! Invalid events and settings, which a front should not pass on.

mod common;

use common::{
    Harness, cached_list, fleet, full_list, host, host_report, join, join_by_turns, left, settings_with,
    settled, traffic,
};
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, HostEntry, HostLoad, ProxyId, Settings};

/// Upper limit on the number of actions in one batch.
const MAX_ACTIONS: usize = 4000;

/// A large batch of events: proxies that join repeatedly, reports about unknown hosts and proxies, and a join with an
/// unknown zone and an invalid rate.
fn invalid_events() -> Vec<Event> {
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
fn invalid_input_at_scale_leaves_every_proxy_a_host() {
    let mut harness = Harness::new(settings_with(|s| {
        s.channel.max_queued_lines = 9000.0;
        s.channel.lines_per_second = 4500.0;
    }));
    let doubled: Vec<HostEntry> = fleet(200).into_iter().chain(fleet(200)).collect();
    harness.handle(vec![cached_list(&doubled)]);
    let actions = harness.handle(invalid_events());
    assert!(actions.len() < MAX_ACTIONS, "{} actions", actions.len());

    // An empty list removes all hosts; the next one restores half of them.
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
fn unusable_settings_produce_one_log_line_and_no_updates() {
    let invalid_changes: [fn(&mut Settings); 2] =
        [|s| s.classes.clear(), |s| s.channel.lines_per_second = 0.0];
    for invalidate in invalid_changes {
        let mut director = Director::new(settings_with(invalidate));
        let first = director.handle(1000.0, vec![cached_list(&[host("a1", 0)])]);
        assert!(matches!(&first[..], [Action::Log { .. }]));
        assert!(director.handle(1000.0, vec![join(1, 0)]).is_empty());
        assert!(director.handle(2000.0, vec![join(2, 0)]).is_empty());
    }
}

#[test]
fn events_of_unknown_hosts_and_proxies_are_ignored() {
    let mut harness = settled();
    harness.advance(500.0);
    let actions = harness.handle(vec![
        host_report(0, "unknown", 10.0, 10.0, 0.0),
        left(77),
        Event::Acknowledged { ack_number: 4000, proxy: 77, elapsed: 1.0, channel: Channel::Shared },
        traffic(77, 9, 5.0),
        Event::HealthChecked {
            host: "unknown".into(),
            elapsed: 1.0,
            is_answered: false,
            load: HostLoad::default(),
        },
    ]);
    assert!(actions.is_empty(), "{actions:?}");
}
