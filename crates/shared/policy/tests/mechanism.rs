//! The design's mechanism, seen from its orders: tables, binds, marks, the check, the fallback, the ramp.

mod common;
use common::*;
use rushcourse_policy::interface::*;

fn removals(actions: &[Action]) -> Vec<String> {
    let gone = |a: &Action| match a {
        Action::SetEndpoint { host, weight, .. } if *weight == 0.0 => Some(host.to_string()),
        _ => None,
    };
    actions.iter().filter_map(gone).collect()
}

#[test]
fn a_joining_proxy_is_bound_at_once_to_a_filled_table_with_a_mark() {
    let mut stand = Stand::new(settings());
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("b1", 1)])]);
    let actions = stand.give(vec![join(1, 0)]);
    let place = |f: &dyn Fn(&Action) -> bool| actions.iter().position(f).expect("ordered");
    let line = place(&|a| matches!(a, Action::SetEndpoint { .. }));
    let bind = place(&|a| matches!(a, Action::BindProxy { proxy: 1, classes: 0, .. }));
    assert!(line < bind && bind < place(&|a| matches!(a, Action::RequestAck { .. })));
    let lines = stand.lines(1);
    assert!(lines["a1"] > lines["b1"] && lines["b1"] > 0.0, "its zone first, the other kept for its loss");
}

#[test]
fn proxies_of_a_zone_share_a_table() {
    let mut stand = usual();
    stand.give(vec![join(3, 0)]);
    assert_eq!(stand.bound[&(1, 0)], stand.bound[&(3, 0)]);
    assert_ne!(stand.bound[&(1, 0)], stand.bound[&(2, 0)]);
}

#[test]
fn a_zone_bound_class_gets_hosts_of_the_proxys_zone_only() {
    let mut s = settings();
    s.classes[1].is_zone_bound = true;
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("b1", 1)])]);
    stand.give(vec![join(1, 0)]);
    let table = stand.bound[&(1, 2)];
    assert_eq!(stand.tables[&table].keys().collect::<Vec<_>>(), ["a1"]);
    assert_eq!(stand.tables[&stand.bound[&(1, 1)]].len(), 2);
}

#[test]
fn a_draining_host_is_withdrawn_in_the_same_reply_and_its_line_leaves_later() {
    let mut stand = usual();
    let actions =
        stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Draining, 0.0)])]);
    assert!(actions.contains(&Action::SetWithdrawn {
        host: "a1".into(),
        is_withdrawn: true,
        channel: Channel::Shared
    }));
    assert!(matches!(actions.last(), Some(Action::RequestAck { .. })));
    assert!(removals(&stand.pass(1000.0)).contains(&"a1".to_string()));
}

#[test]
fn a_host_missing_from_a_full_list_is_withdrawn() {
    let mut stand = usual();
    let rest: Vec<HostEntry> = ["a1", "a2", "a3", "b1", "b2"].iter().map(|h| host(h, 0)).collect();
    let actions = stand.give(vec![list(HostListKind::Full, &rest)]);
    assert!(actions.contains(&Action::SetWithdrawn {
        host: "b3".into(),
        is_withdrawn: true,
        channel: Channel::Shared
    }));
}

#[test]
fn a_removal_waits_until_another_line_is_certain() {
    let mut stand = Stand::new(settings());
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("a2", 0)])]);
    stand.give(vec![join(1, 0)]);
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    assert!(removals(&stand.pass(1500.0)).is_empty(), "a2 is not answered yet");
    stand.answer(&[1]);
    assert_eq!(removals(&stand.pass(500.0)), ["a1"], "the answer lets it pass");
}

#[test]
fn an_unanswered_line_turns_certain_by_the_timeout_not_sooner() {
    let mut s = settings();
    s.fleet.zones = 1;
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("a2", 0)])]);
    stand.give(vec![join(1, 0)]);
    stand.pass(1600.0);
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    assert!(removals(&stand.pass(1300.0)).is_empty());
    assert_eq!(removals(&stand.pass(500.0)), ["a1"]);
}

#[test]
fn a_removal_that_cannot_pass_goes_to_a_fresh_table() {
    let mut stand = Stand::new(settings());
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("a2", 0)])]);
    stand.give(vec![join(1, 0)]);
    let old = stand.bound[&(1, 0)];
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    stand.pass(2600.0);
    assert!(stand.logs.iter().any(|l| l.starts_with("event=fallback")), "{:?}", stand.logs);
    stand.pass(1500.0);
    assert_ne!(stand.bound[&(1, 0)], old);
    assert_eq!(stand.lines(1).keys().collect::<Vec<_>>(), ["a2"]);
    assert!(!stand.tables.contains_key(&old), "nobody is on the old table: cleared");
}

#[test]
fn a_line_comes_back_only_when_its_removal_is_certain() {
    let mut stand = usual();
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    stand.pass(500.0);
    stand.answer(&[1, 2]);
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Ready, stand.now)])]);
    stand.pass(700.0);
    assert!(!stand.lines(1).contains_key("a1"), "its removal was answered, but its delay runs");
    stand.pass(700.0);
    assert!(stand.lines(1).contains_key("a1"));
}

#[test]
fn a_started_host_enters_at_a_tenth_and_rises_by_steps() {
    let mut stand = usual();
    stand.give(vec![list(HostListKind::Delta, &[with(host("a4", 0), Readiness::Ready, stand.now)])]);
    stand.pass(500.0);
    let first = stand.lines(1)["a4"];
    assert!(first <= 0.1 * stand.lines(1)["a1"] + 1e-9, "{first}");
    let mut last = first;
    for _ in 0..30 {
        stand.pass(500.0);
        let w = stand.lines(1)["a4"];
        assert!(w >= last && w - last <= 0.25, "{last} to {w}");
        last = w;
    }
    assert!(last > 0.9);
}

#[test]
fn a_cold_host_gets_its_part_of_a_full_table_when_most_others_are_out() {
    let mut stand = usual();
    let gone: Vec<HostEntry> =
        ["a1", "a2", "b1", "b2"].iter().map(|h| with(host(h, 0), Readiness::Gone, 0.0)).collect();
    stand.give(vec![list(HostListKind::Delta, &gone)]);
    let cold: Vec<HostEntry> =
        ["c1", "c2", "c3", "c4"].iter().map(|h| with(host(h, 0), Readiness::Ready, stand.now)).collect();
    stand.give(vec![list(HostListKind::Delta, &cold)]);
    stand.pass(500.0);
    let lines = stand.lines(1);
    let total: f64 = lines.values().sum();
    assert!(lines["c1"] / total < 0.1, "{lines:?}");
}

#[test]
fn a_host_restarted_under_its_name_loses_weight_in_the_same_reply() {
    let mut stand = usual();
    let now = stand.now;
    let actions = stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Ready, now)])]);
    let cut = |a: &Action| matches!(a, Action::SetEndpoint { host, weight, .. } if &**host == "a1" && *weight <= 0.1);
    assert!(actions.iter().any(cut), "{actions:?}");
}

#[test]
fn a_returning_host_is_let_back_only_when_its_weight_is_small() {
    let mut stand = usual();
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    let back = with(host("a1", 0), Readiness::Ready, stand.now);
    stand.give(vec![list(HostListKind::Delta, &[back])]);
    stand.pass(4500.0);
    assert!(!stand.withdrawn["a1"]);
    assert!(stand.lines(1)["a1"] < 0.5);
}

#[test]
fn a_proxy_that_left_holds_up_nothing() {
    let mut stand = Stand::new(settings());
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("a2", 0)])]);
    stand.give(vec![join(1, 0), join(2, 0)]);
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    stand.answer(&[1]);
    assert!(removals(&stand.pass(500.0)).is_empty(), "proxy 2 has not answered");
    stand.give(vec![Event::ProxyLeft { proxy: 2, channel: Channel::Shared }]);
    assert_eq!(removals(&stand.pass(500.0)), ["a1"]);
}

#[test]
fn a_proxy_from_another_director_is_bound_at_once() {
    let mut stand = usual();
    let event =
        Event::ProxyJoined { proxy: 9, zone: 1, rate: 5.0, is_fresh: false, channel: Channel::Shared };
    let actions = stand.give(vec![event]);
    assert!(actions.iter().any(|a| matches!(a, Action::BindProxy { proxy: 9, .. })));
}

#[test]
fn a_restarted_director_starts_over_from_its_old_list() {
    let mut stand = usual();
    stand.director = rushcourse_policy::Director::new(settings());
    (stand.tables, stand.bound) = Default::default();
    stand.give(vec![list(HostListKind::Cached, &[host("a1", 0), host("old", 0)])]);
    assert!(
        !stand.give(vec![join(1, 0)]).iter().any(|a| matches!(a, Action::BindProxy { .. })),
        "it opens later"
    );
    stand.pass(300.0);
    assert!(stand.bound.contains_key(&(1, 0)), "a round after its start");
    let news = [with(host("old", 0), Readiness::Gone, 0.0), host("a2", 0)];
    let actions = stand.give(vec![list(HostListKind::Delta, &news)]);
    assert!(actions.contains(&Action::SetWithdrawn {
        host: "old".into(),
        is_withdrawn: true,
        channel: Channel::Shared
    }));
    assert!(removals(&stand.pass(1000.0)).is_empty(), "all its lines are uncertain");
    stand.answer(&[1]);
    stand.pass(1000.0);
    assert_eq!(stand.lines(1).keys().collect::<Vec<_>>(), ["a1", "a2"]);
}

#[test]
fn large_fleets_are_dealt_to_pools_of_under_thirty_lines() {
    let mut stand = Stand::new(settings());
    let hosts: Vec<HostEntry> = (0..70).map(|k| host(&format!("h{k:02}"), k % 2)).collect();
    stand.give(vec![list(HostListKind::Cached, &hosts)]);
    stand.give((0..6).map(|p| join(p, 0)).collect());
    let mut met = std::collections::BTreeSet::new();
    for p in 0..6 {
        assert!(stand.lines(p).len() < 30);
        met.extend(stand.lines(p).into_keys());
    }
    assert_eq!(met.len(), 70, "every host serves somebody");
}

#[test]
fn settings_without_sense_get_one_note_and_no_orders() {
    for spoil in [|s: &mut Settings| s.classes.clear(), |s: &mut Settings| s.channel.lines_per_second = 0.0] {
        let mut s = settings();
        spoil(&mut s);
        let mut director = rushcourse_policy::Director::new(s);
        let first = director.handle(1000.0, vec![list(HostListKind::Cached, &[host("a1", 0)])]);
        assert!(matches!(&first[..], [Action::Log { .. }]));
        assert!(director.handle(1000.0, vec![join(1, 0)]).is_empty());
        assert!(director.handle(2000.0, vec![join(2, 0)]).is_empty());
    }
}

#[test]
fn news_of_strangers_changes_nothing() {
    let mut stand = usual();
    stand.pass(500.0);
    let actions = stand.give(vec![
        heard(0, "stranger", 10.0, 10.0, 0.0),
        Event::ProxyLeft { proxy: 77, channel: Channel::Shared },
        Event::Acknowledged { ack_number: 4000, proxy: 77, elapsed: 1.0, channel: Channel::Shared },
        Event::TrafficReported { proxy: 77, class: 9, attempts: 5.0, failed: 0.0, span: 1000.0 },
        Event::HealthChecked {
            host: "stranger".into(),
            elapsed: 1.0,
            is_answered: false,
            load: HostLoad::default(),
        },
    ]);
    assert!(actions.is_empty(), "{actions:?}");
}
