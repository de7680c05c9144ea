//! Grown fleets and a list that is wrong for a while: pools, how proxies are dealt to them, doubted removals.

mod common;
use common::*;
use rushcourse_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// `count` hosts in the first two zones, by turns.
fn fleet(count: usize) -> Vec<HostEntry> {
    (0..count).map(|k| host(&format!("h{k:03}"), k % 2)).collect()
}

fn grown(count: usize) -> Stand {
    let mut stand = Stand::new(settings());
    stand.give(vec![list(HostListKind::Cached, &fleet(count))]);
    stand
}

/// What proxies bring to each host: their rate by the weights of their table.
fn loads(stand: &Stand, rates: &BTreeMap<ProxyId, f64>) -> BTreeMap<String, f64> {
    let mut loads = BTreeMap::new();
    for (proxy, rate) in rates {
        let lines = stand.lines(*proxy);
        let all: f64 = lines.values().sum();
        lines.into_iter().for_each(|(h, w)| *loads.entry(h).or_default() += rate * w / all);
    }
    loads
}

#[test]
fn a_large_fleet_is_dealt_to_tables_under_thirty_that_reach_every_host() {
    let mut stand = grown(100);
    stand.give((0..60).map(|p| join(p, p as usize % 2)).collect());
    let mut met = BTreeSet::new();
    for proxy in 0..60 {
        let lines = stand.lines(proxy);
        assert!(lines.len() < 30, "{} lines", lines.len());
        met.extend(lines.into_keys());
    }
    assert_eq!(met.len(), 100);
}

#[test]
fn proxies_are_dealt_to_pools_by_what_they_bring() {
    let mut stand = grown(96);
    // One proxy in six brings ten times as much as the others, and their numbers fall on the same pools.
    let rates: BTreeMap<ProxyId, f64> = (0..96).map(|p| (p, if p % 6 == 0 { 20.0 } else { 2.0 })).collect();
    for (proxy, rate) in &rates {
        let zone = *proxy as usize / 2 % 2;
        stand.give(vec![Event::ProxyJoined {
            proxy: *proxy,
            zone,
            rate: *rate,
            is_fresh: true,
            channel: Channel::Shared,
        }]);
    }
    let loads = loads(&stand, &rates);
    let most = loads.values().copied().fold(0.0, f64::max);
    let mean = loads.values().sum::<f64>() / loads.len() as f64;
    assert!(most < 1.6 * mean, "the fullest host gets {:.2} times the mean", most / mean);
}

#[test]
fn a_fleet_that_grows_gets_more_pools_and_proxies_move_to_them() {
    let mut stand = grown(24);
    stand.give((0..40).map(|p| join(p, p as usize % 2)).collect());
    stand.now += 300.0;
    stand.answer(&(0..40).collect::<Vec<_>>());
    let new: Vec<HostEntry> = fleet(72).split_off(24);
    stand.give(vec![list(HostListKind::Delta, &new)]);
    let mut met = BTreeSet::new();
    for _ in 0..80 {
        stand.pass(500.0);
        if stand.last_mark.is_some() {
            stand.answer(&(0..40).collect::<Vec<_>>());
        }
    }
    for proxy in 0..40 {
        let lines = stand.lines(proxy);
        assert!(lines.len() < 30, "{} lines", lines.len());
        met.extend(lines.into_keys());
    }
    assert_eq!(met.len(), 72, "every host is in somebody's table");
}

#[test]
fn a_class_bound_to_a_zone_with_few_hosts_left_gets_all_of_them() {
    let mut s = settings();
    s.classes[1].is_zone_bound = true;
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &fleet(96))]);
    stand.give((0..40).map(|p| join(p, p as usize % 2)).collect());
    // All but two hosts of the first zone go.
    let gone: Vec<HostEntry> = fleet(96).into_iter().filter(|e| e.zone == 0).skip(2).collect();
    let gone: Vec<HostEntry> = gone.into_iter().map(|e| with(e, Readiness::Gone, 0.0)).collect();
    stand.give(vec![list(HostListKind::Delta, &gone)]);
    for proxy in (0..40).step_by(2) {
        let lines = &stand.tables[&stand.bound[&(proxy, 2)]];
        let left = lines.keys().filter(|h| *h == "h000" || *h == "h002").count();
        assert!(left > 0, "proxy {proxy} is left without a host for the bound class");
    }
}

/// A stand on which the list's removals don't bind, with sums of every host just heard.
fn doubting() -> Stand {
    let s = settings_with(|s| s.hosts.may_keep_unlisted = true);
    let mut stand = joined(s);
    stand.now += 300.0;
    stand.answer(&[1, 2]);
    let all = HOSTS.iter().map(|h| heard(0, h, 10.0, 0.0, 200.0)).collect();
    stand.give(all);
    stand
}

fn drop_most(stand: &mut Stand) {
    let gone: Vec<HostEntry> = ["a1", "a2", "b1", "b2"]
        .iter()
        .map(|h| with(host(h, usize::from(h.starts_with('b'))), Readiness::Gone, 0.0))
        .collect();
    stand.give(vec![list(HostListKind::Delta, &gone)]);
}

#[test]
fn hosts_that_the_list_drops_stay_while_they_answer() {
    let mut stand = doubting();
    drop_most(&mut stand);
    for _ in 0..8 {
        stand.pass(1000.0);
        stand.give(HOSTS.iter().map(|h| heard(0, h, 10.0, 0.0, 200.0)).collect());
    }
    assert!(stand.withdrawn.is_empty(), "{:?}", stand.withdrawn);
    assert_eq!(stand.lines(1).len(), 6);
    // The true list returns with the same starts: nothing is ramped.
    let back: Vec<HostEntry> =
        ["a1", "a2", "b1", "b2"].iter().map(|h| host(h, usize::from(h.starts_with('b')))).collect();
    stand.give(vec![list(HostListKind::Delta, &back)]);
    stand.pass(1000.0);
    assert_eq!(stand.lines(1)["a1"], stand.lines(1)["a3"]);
}

#[test]
fn a_dropped_host_that_fails_or_is_not_heard_of_is_withdrawn() {
    let mut stand = doubting();
    drop_most(&mut stand);
    stand.pass(1000.0);
    let fails = |h: &&str| if *h == "a1" { 10.0 } else { 0.0 };
    stand.give(["a1", "b1", "b2"].iter().map(|h| heard(0, h, 10.0, fails(h), 200.0)).collect());
    stand.pass(500.0);
    assert_eq!(stand.withdrawn.get("a1"), Some(&true), "it fails");
    assert_eq!(stand.withdrawn.get("b1"), None, "it answers");
    stand.pass(8000.0);
    assert_eq!(stand.withdrawn.get("a2"), Some(&true), "no word of it");
}

#[test]
fn where_a_removal_binds_a_dropped_host_is_withdrawn_at_once() {
    let mut stand = usual();
    drop_most(&mut stand);
    assert_eq!(stand.withdrawn.len(), 4);
}

#[test]
fn a_draining_host_is_never_doubted() {
    let mut stand = doubting();
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Draining, 0.0)])]);
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Gone, 0.0)])]);
    assert_eq!(stand.withdrawn.get("a1"), Some(&true));
}

/// Three hosts in each of two zones, and what a proxy of the first zone sends into the second.
fn crossing(s: Settings, rates: [f64; 2]) -> f64 {
    let mut stand = listed(s);
    let join = |p: ProxyId| Event::ProxyJoined {
        proxy: p,
        zone: p as usize % 2,
        rate: rates[p as usize % 2],
        is_fresh: true,
        channel: Channel::Shared,
    };
    stand.give((0..4).map(join).collect());
    for _ in 0..8 {
        stand.pass(500.0);
        stand.answer(&[0, 1, 2, 3]);
    }
    let lines = stand.lines(0);
    lines.iter().filter(|(h, _)| h.starts_with('b')).map(|(_, w)| w).sum::<f64>()
        / lines.values().sum::<f64>()
}

#[test]
fn a_zone_with_more_to_carry_than_its_part_reaches_into_the_one_with_less() {
    let even = crossing(settings(), [5.0, 5.0]);
    let over = crossing(settings(), [9.0, 1.0]);
    let under = crossing(settings(), [1.0, 9.0]);
    assert!(even > 0.0 && even < 0.2, "{even}");
    assert!(
        (over - 4.0 / 9.0).abs() < 0.1,
        "four ninths of its load is beyond its half of the hosts: {over}"
    );
    assert!(under <= even, "{under}");
}

#[test]
fn where_a_crossing_is_cheap_zones_share_all_but_what_is_bound() {
    let s = settings_with(|s| s.cross_zone_price = 0.001);
    assert!((crossing(s.clone(), [5.0, 5.0]) - 0.5).abs() < 0.05);
    assert!((crossing(s, [9.0, 1.0]) - 0.5).abs() < 0.05);
}

#[test]
fn a_shift_of_traffic_moves_the_reach_of_tables() {
    let mut stand = listed(settings());
    stand.give((0..4).map(|p| join(p, p as usize % 2)).collect());
    for _ in 0..40 {
        let came = |p: ProxyId| [9.0, 1.0][p as usize % 2];
        let usage =
            |p| Event::TrafficReported { proxy: p, class: 0, attempts: came(p), failed: 0.0, span: 1000.0 };
        stand.give((0..4).map(usage).collect());
        stand.pass(1000.0);
        stand.answer(&[0, 1, 2, 3]);
    }
    let lines = stand.lines(0);
    assert!(lines["b1"] > 0.5 * lines["a1"], "{lines:?}");
    assert!(stand.lines(1)["a1"] < 0.2 * stand.lines(1)["b1"]);
}

#[test]
fn a_table_that_binds_wait_for_is_not_cleared() {
    // Nothing is answered yet, so binds to the pools of a grown fleet wait; each waits for the same table.
    let mut stand = grown(24);
    stand.give((0..12).map(|p| join(p, p as usize % 2)).collect());
    let mut filled = BTreeSet::new();
    let mut actions = stand.give(vec![list(HostListKind::Delta, &fleet(60).split_off(24))]);
    for _ in 0..8 {
        filled.extend(actions.iter().filter_map(|a| match a {
            Action::SetEndpoint { table, .. } => Some(*table),
            _ => None,
        }));
        actions = stand.pass(250.0);
    }
    assert!(filled.len() <= 6, "three pools for each of two zones: {filled:?}");
}

#[test]
fn a_bound_class_with_only_cold_hosts_in_its_pool_gets_the_zones_warm_ones() {
    let mut s = settings();
    s.classes[1].is_zone_bound = true;
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &fleet(48))]);
    stand.give((0..8).map(|p| join(p, 0)).collect());
    // A release takes the hosts of the first proxy's pool in its zone by halves; the successors are cold.
    let old: Vec<String> = stand.tables[&stand.bound[&(0, 2)]].keys().cloned().collect();
    let drained = |h: &String| with(host(h, 0), Readiness::Draining, 0.0);
    let (first, second) = old.split_at(old.len() / 2);
    let started = stand.now - 500.0;
    let new = |k: usize| with(host(&format!("n{k}"), 0), Readiness::Ready, started);
    stand.give(vec![list(HostListKind::Delta, &first.iter().map(drained).collect::<Vec<_>>())]);
    stand.give(vec![list(HostListKind::Delta, &(0..first.len()).map(new).collect::<Vec<_>>())]);
    stand.give(vec![list(HostListKind::Delta, &second.iter().map(drained).collect::<Vec<_>>())]);
    stand.pass(500.0);
    let lines = &stand.tables[&stand.bound[&(0, 2)]];
    let live = lines.iter().filter(|(h, _)| !old.contains(h));
    let (cold, warm): (Vec<_>, Vec<_>) = live.partition(|(h, _)| h.starts_with('n'));
    let weigh = |of: &[(&String, &f64)]| of.iter().map(|(_, w)| **w).sum::<f64>();
    assert!(weigh(&warm) > 2.0 * weigh(&cold), "{lines:?}");
}

#[test]
fn odd_input_at_size_neither_panics_nor_floods_nor_leaves_a_proxy_bare() {
    let s = settings_with(|s| {
        s.channel.max_queued_lines = 9000.0;
        s.channel.lines_per_second = 4500.0;
    });
    let mut stand = Stand::new(s);
    let doubled: Vec<HostEntry> = fleet(200).into_iter().chain(fleet(200)).collect();
    stand.give(vec![list(HostListKind::Cached, &doubled)]);
    // Seconds of events at once: joins and losses of the same proxies, sums of hosts and proxies never seen.
    let mut events: Vec<Event> = (0..150).map(|p| join(p, p as usize % 2)).collect();
    events.extend((0..150).step_by(3).map(|proxy| Event::ProxyLeft { proxy, channel: Channel::Shared }));
    events.extend((0..150).map(|p| join(p, p as usize % 2)));
    for k in 0..2000 {
        events.push(heard(k % 4, &format!("h{:03}", k % 300), 1.0, 3.0, f64::from(k as u32)));
        let (proxy, class) = (k as u32 % 400, k % 3);
        events.push(Event::TrafficReported { proxy, class, attempts: 1.0, failed: 0.0, span: 1000.0 });
    }
    events.push(Event::ProxyJoined {
        proxy: 900,
        zone: 7,
        rate: f64::NAN,
        is_fresh: false,
        channel: Channel::Shared,
    });
    let actions = stand.give(events);
    assert!(actions.len() < 4000, "{} orders", actions.len());
    // An empty list takes all away; the next one brings half back.
    let all: Vec<ProxyId> = (0..150).collect();
    stand.answer(&all);
    stand.give(vec![list(HostListKind::Full, &[])]);
    stand.pass(3000.0);
    stand.answer(&all);
    let actions = stand.give(vec![list(HostListKind::Full, &fleet(100))]);
    assert!(actions.len() < 4000, "{} orders", actions.len());
    for _ in 0..6 {
        stand.pass(1000.0);
        stand.answer(&all);
    }
    for proxy in 0..150 {
        let live = |h: &String| stand.withdrawn.get(h).is_none_or(|out| !out);
        assert!(stand.lines(proxy).keys().any(live), "proxy {proxy} is bare");
    }
}

#[test]
fn a_withdrawal_is_counted_at_proxies_that_are_not_bound_yet() {
    // The channel is too small for the bind: the proxy still holds its standing table, which may name the host.
    let s = settings_with(|s| s.channel.max_queued_lines = 20.0);
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &fleet(24))]);
    stand.give(vec![join(1, 0)]);
    assert!(stand.bound.is_empty());
    let gone = with(host("h000", 0), Readiness::Draining, 0.0);
    let actions = stand.give(vec![list(HostListKind::Delta, &[gone])]);
    assert!(actions.contains(&Action::SetWithdrawn {
        host: "h000".into(),
        is_withdrawn: true,
        channel: Channel::Shared
    }));
    assert!(matches!(actions.last(), Some(Action::RequestAck { .. })), "a message goes to it: {actions:?}");
}

#[test]
fn a_proxy_that_joins_between_rounds_costs_no_look_at_all_others() {
    let proxies = 2400;
    // A channel that carries whatever comes.
    let s = settings_with(|s| {
        s.fleet.proxies = 2 * proxies as usize;
        s.channel.max_queued_lines = 1e6;
        s.channel.lines_per_second = 1e6;
    });
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &fleet(200))]);
    stand.give((0..proxies).map(|p| join(p, p as usize % 2)).collect());
    stand.pass(1000.0);
    stand.now += 1.0;
    let (before, mut bound) = (stand.director.examined_count(), 0);
    for proxy in proxies..proxies + 100 {
        let actions = stand.give(vec![join(proxy, proxy as usize % 2)]);
        bound += actions.iter().filter(|a| matches!(a, Action::BindProxy { .. })).count();
        stand.now += 1.0;
    }
    let each = (stand.director.examined_count() - before) / 100;
    assert_eq!(bound, 100, "each is bound in the reply to its joining");
    assert!(each <= 30, "{each} looks a joining, beside 2,400 proxies and 200 hosts");
}

/// herd+mass, seed 1071386473336: four of five directors stopped in the middle of a release; the fifth one's channel was
/// filled with nine seconds of binds, and withdrawals did not fit in for twelve.
#[test]
fn a_thousand_that_join_at_once_leave_room_in_the_channel_for_withdrawals() {
    let mut stand = Stand::new(settings_with(|s| {
        s.channel.max_queued_lines = 20_000.0;
        s.hosts.drain_grace = 12_000.0;
    }));
    stand.give(vec![list(HostListKind::Cached, &fleet(48))]);
    // They come over three seconds; what the channel has carried by then is answered, 2,000 lines a second.
    let mut marks: Vec<(u16, ProxyId)> = Vec::new();
    for part in 0..60u32 {
        let came: Vec<ProxyId> = (part * 20..part * 20 + 20).collect();
        stand.give(came.iter().map(|p| join(*p, *p as usize % 2)).collect());
        marks.push((stand.last_mark.expect("binds"), came[0]));
        stand.pass(50.0);
        if part % 20 == 19 {
            let (mark, proxy) = marks[part as usize / 20];
            let answer =
                Event::Acknowledged { ack_number: mark, proxy, elapsed: 900.0, channel: Channel::Shared };
            stand.give(vec![answer]);
        }
    }
    let drain = with(host("h003", 1), Readiness::Draining, 0.0);
    stand.give(vec![list(HostListKind::Delta, &[drain])]);
    assert_eq!(stand.withdrawn.get("h003"), Some(&true), "withdrawn in the same reply");
    // Whoever joined is bound in the end, as the channel is seen to carry what lies in it.
    let all: Vec<ProxyId> = (0..1200).collect();
    for _ in 0..60 {
        stand.answer(&all);
        stand.pass(250.0);
    }
    assert!(all.iter().all(|p| stand.bound.contains_key(&(*p, 0))));
}

/// Of a thousand proxies that wait for their bind few name a given host: one withdrawal wrote no message to the
/// others, yet each was counted whole, so a second drain found the window full of lines that nobody sent.
#[test]
fn drains_one_after_another_fit_beside_a_thousand_that_wait_for_their_bind() {
    let mut stand = Stand::new(settings_with(|s| {
        s.channel.max_queued_lines = 20_000.0;
        s.hosts.drain_grace = 12_000.0;
    }));
    stand.give(vec![list(HostListKind::Cached, &fleet(200))]);
    stand.give((0..1200).map(|p| join(p, p as usize % 2)).collect());
    let waiting = 1200 - stand.bound.len();
    assert!(waiting > 600, "{waiting} wait for the channel");
    for k in 0..5 {
        let name = format!("h{k:03}");
        let drain = with(host(&name, k % 2), Readiness::Draining, 0.0);
        stand.give(vec![list(HostListKind::Delta, &[drain])]);
        assert_eq!(stand.withdrawn.get(name.as_str()), Some(&true), "drain {k} withdrawn in the same reply");
        stand.pass(250.0);
    }
}

/// A director takes over a thousand proxies in the middle of a release. Once all are here they are told of the hosts
/// that drained before they came, once. Without it they learned of them by binds that left many seconds later.
#[test]
fn a_thousand_that_come_in_a_release_are_told_of_drains_before_their_binds() {
    let mut stand = Stand::new(settings_with(|s| {
        s.channel.max_queued_lines = 20_000.0;
        s.hosts.drain_grace = 12_000.0;
    }));
    stand.give(vec![list(HostListKind::Cached, &fleet(200)), join(0, 0)]);
    // How often each was told so far, on the shared channel.
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    let mut hear = |actions: Vec<Action>| {
        for action in actions {
            if let Action::SetWithdrawn { host, is_withdrawn: true, channel: Channel::Shared } = action {
                *told.entry(host.to_string()).or_default() += 1;
            }
        }
        ["h001", "h003"].map(|host| told.get(host).copied().unwrap_or(0))
    };
    let drain =
        |name: &str| vec![list(HostListKind::Delta, &[with(host(name, 1), Readiness::Draining, 0.0)])];
    assert_eq!(hear(stand.give(drain("h001"))), [1, 0], "nobody is on the way: at once");
    for part in 0..10u32 {
        let came = 1 + part * 120..121 + part * 120;
        hear(stand.give(came.map(|p| join(p, p as usize % 2)).collect()));
        hear(stand.pass(50.0));
        if part == 6 {
            hear(stand.give(drain("h003")));
        }
    }
    assert_eq!(hear(vec![]), [1, 1], "more are on the way");
    assert_eq!(hear(stand.pass(600.0)), [2, 2], "all are here");
    assert_eq!(hear(stand.pass(2000.0)), [2, 2], "told once more");
}

/// herd+mass, seed 13: a second wave of proxies came behind drains that the first had been told of. Told again, they
/// took the whole window, and the next ten drains went out behind them, two seconds late.
#[test]
fn a_few_that_come_behind_drains_are_bound_first_and_nobody_is_told_again() {
    let mut stand = Stand::new(settings_with(|s| {
        s.channel.max_queued_lines = 20_000.0;
        s.hosts.drain_grace = 12_000.0;
    }));
    stand.give(vec![list(HostListKind::Cached, &fleet(200))]);
    stand.give((0..1200).map(|p| join(p, p as usize % 2)).collect());
    stand.pass(500.0);
    let waiting: Vec<ProxyId> = (0..1200).filter(|p| !stand.bound.contains_key(&(*p, 0))).collect();
    assert!(waiting.len() > 600);
    let draining: Vec<HostEntry> =
        fleet(200).into_iter().take(20).map(|h| with(h, Readiness::Draining, 0.0)).collect();
    let told = |actions: &[Action]| {
        let out = |a: &&Action| {
            matches!(a, Action::SetWithdrawn { is_withdrawn: true, channel: Channel::Shared, .. })
        };
        actions.iter().filter(out).count()
    };
    assert_eq!(told(&stand.give(vec![list(HostListKind::Delta, &draining)])), 20);
    stand.give((2000..2100).map(|p| join(p, p as usize % 2)).collect());
    assert_eq!(told(&stand.pass(1000.0)), 0, "binding a hundred takes less than telling seven hundred again");
    // As the channel empties, they are the first.
    let all: Vec<ProxyId> = (0..1200).chain(2000..2100).collect();
    let behind = |stand: &Stand| (2000..2100).filter(|p| !stand.bound.contains_key(&(*p, 0))).count();
    while behind(&stand) > 0 {
        let before = stand.bound.len();
        stand.answer(&all);
        stand.pass(250.0);
        assert!(stand.bound.len() > before, "binds go on");
    }
    let left = waiting.iter().filter(|p| !stand.bound.contains_key(&(**p, 0))).count();
    assert!(left > 300, "of those who knew, {left} still wait");
}

/// What nobody was told of yet goes before what goes out again, also where the window holds only a part of both.
#[test]
fn a_new_drain_goes_out_before_those_that_are_told_again() {
    let mut stand = Stand::new(settings_with(|s| {
        s.channel.max_queued_lines = 14_000.0;
        s.hosts.drain_grace = 12_000.0;
    }));
    stand.give(vec![list(HostListKind::Cached, &fleet(200)), join(0, 0)]);
    let drain = |from: usize, to: usize| -> Vec<HostEntry> {
        fleet(200)[from..to].iter().map(|h| with(h.clone(), Readiness::Draining, 0.0)).collect()
    };
    stand.give(vec![list(HostListKind::Delta, &drain(0, 60))]);
    stand.give((1..1200).map(|p| join(p, p as usize % 2)).collect());
    stand.now += 400.0;
    let actions = stand.give(vec![list(HostListKind::Delta, &drain(150, 160))]);
    let order: Vec<String> = actions
        .iter()
        .filter_map(|a| match a {
            Action::SetWithdrawn { host, is_withdrawn: true, channel: Channel::Shared } => {
                Some(host.to_string())
            }
            _ => None,
        })
        .collect();
    let new: Vec<String> = (150..160).map(|k| format!("h{k:03}")).collect();
    assert_eq!(order[..10], new, "of {} in this reply", order.len());
    assert!(
        (11..70).contains(&order.len()),
        "some are told again, as far as the window goes: {}",
        order.len()
    );
}
