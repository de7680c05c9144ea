//! Health, levels and retries on scripted sums.

mod common;
use common::*;
use rushcourse_policy::interface::*;

/// What came to the proxies of both zones, half to each.
fn usage(tries: f64) -> Vec<Event> {
    let each = |proxy| {
        move |class| Event::TrafficReported { proxy, class, attempts: tries / 2.0, failed: 0.0, span: 1000.0 }
    };
    (0..2).map(each(1)).chain((0..2).map(each(2))).collect()
}

/// A second of sums: what came, and the tries, failed ones and mean that each zone met at each host.
fn second(came: f64, of: impl Fn(ZoneId, &str) -> (f64, f64, f64)) -> Vec<Event> {
    let mut events = usage(came);
    for (zone, h) in [0, 1].into_iter().flat_map(|z| HOSTS.map(|h| (z, h))) {
        let (tries, failed, mean) = of(zone, h);
        events.push(heard(zone, h, tries, failed, mean));
    }
    events
}

/// Some seconds of sums: each host's tries, failed part and mean as given.
fn run(stand: &mut Stand, seconds: usize, tries: f64, of: impl Fn(&str) -> (f64, f64)) {
    for _ in 0..seconds {
        stand.give(second(tries * 6.0, |_, h| {
            let (failed, mean) = of(h);
            (tries, failed * tries, mean)
        }));
        for _ in 0..4 {
            stand.pass(250.0);
            if stand.last_mark.is_some() {
                stand.answer(&[1, 2]);
            }
        }
    }
}

fn level(stand: &Stand, proxy: ProxyId, class: u32) -> f64 {
    let table = stand.bound[&(proxy, 0)];
    stand.levels.get(&(table, 1 << class)).map_or(1.0, |l| l.0)
}

#[test]
fn a_host_that_answers_nothing_leaves_the_tables_and_is_eased_back() {
    let mut stand = usual();
    run(&mut stand, 3, 6.0, |h| if h == "a1" { (1.0, 0.0) } else { (0.0, 200.0) });
    assert!(!stand.lines(1).contains_key("a1"));
    run(&mut stand, 6, 6.0, |_| (0.0, 200.0));
    let w = stand.lines(1)["a1"];
    assert!(w < 0.5, "eased in: {w}");
    run(&mut stand, 20, 6.0, |_| (0.0, 200.0));
    assert!(stand.lines(1)["a1"] > 0.9);
}

#[test]
fn a_host_behind_a_cut_leaves_only_the_tables_of_the_zone_that_misses_it() {
    let mut stand = usual();
    for _ in 0..3 {
        stand.give(second(30.0, |zone, h| {
            let cut = zone == 0 && !h.starts_with('a');
            (5.0, if cut { 5.0 } else { 0.0 }, 200.0)
        }));
        stand.pass(1000.0);
    }
    assert!(!stand.lines(1).contains_key("b1") && stand.lines(1).contains_key("a1"));
    assert!(stand.lines(2).contains_key("b1"));
}

#[test]
fn silence_of_the_reports_is_no_fault_of_the_hosts() {
    let mut stand = usual();
    run(&mut stand, 3, 8.0, |_| (0.0, 200.0));
    run(&mut stand, 4, 16.0, |_| (0.5, 900.0));
    stand.pass(2500.0);
    let before = (stand.lines(1), stand.levels.clone());
    stand.pass(15_000.0);
    assert_eq!((stand.lines(1), stand.levels.clone()), before, "old sums cut no further");
}

#[test]
fn a_straining_host_loses_weight_by_steps_while_the_rest_are_well() {
    let mut stand = usual();
    run(&mut stand, 4, 8.0, |h| if h == "a1" { (0.3, 900.0) } else { (0.0, 200.0) });
    let w = stand.lines(1)["a1"];
    assert!(w < 0.8 && w > 0.1, "{w}");
    run(&mut stand, 80, 8.0, |_| (0.0, 200.0));
    assert_eq!(stand.lines(1)["a1"], 1.0);
}

#[test]
fn in_a_jam_nobody_is_singled_out_and_less_is_let_in_by_worth() {
    let mut stand = usual();
    run(&mut stand, 4, 8.0, |_| (0.0, 200.0));
    assert_eq!(level(&stand, 1, 0), 1.0);
    run(&mut stand, 12, 16.0, |h| (if h == "a1" { 0.6 } else { 0.5 }, 900.0));
    assert!(stand.lines(1).contains_key("a1"));
    let (cheap, dear) = (level(&stand, 1, 0), level(&stand, 1, 1));
    assert!(cheap < 0.9 && dear > cheap, "{cheap} {dear}");
    run(&mut stand, 30, 4.0, |_| (0.0, 200.0));
    assert_eq!((level(&stand, 1, 0), level(&stand, 1, 1)), (1.0, 1.0));
}

#[test]
fn a_site_without_levels_gets_none() {
    let mut s = settings();
    s.proxies.admission_kind = AdmissionKind::Off;
    let mut stand = joined(s);
    run(&mut stand, 10, 16.0, |_| (0.5, 900.0));
    assert!(stand.levels.values().all(|l| l.0 == 1.0));
}

#[test]
fn further_tries_follow_the_site_and_stop_in_a_jam() {
    let mut s = settings();
    s.proxies.retry_policy = RetryPolicy::OnceIfNotRun;
    let mut stand = joined(s);
    run(&mut stand, 3, 8.0, |_| (0.0, 200.0));
    assert!(stand.levels.is_empty(), "the site's own mode needs no order");
    run(&mut stand, 4, 16.0, |_| (0.5, 900.0));
    let table = stand.bound[&(1, 0)];
    let modes = stand.levels.iter().filter(|((t, _), _)| *t == table).map(|(_, l)| l.1);
    assert_eq!(modes.collect::<Vec<_>>(), [RetryPolicy::Never; 2]);
}

/// The usual stand, of proxies that keep away from a host after five failures in a row.
fn fleeing() -> Stand {
    let mut stand = joined(settings_with(|s| s.proxies.ejection_failures = 5));
    stand.now += 300.0;
    stand.answer(&[1, 2]);
    stand
}

/// What a cold host weighs for the first proxy in a jam of a zone with so many proxies, which bring the same together.
fn cold_in_a_jam(proxies: u32) -> f64 {
    let s = settings_with(|s| {
        s.proxies.ejection_failures = 8;
        s.fleet.proxies = proxies as usize;
        s.channel.max_queued_lines = 40_000.0;
    });
    let mut stand = listed(s);
    let rate = 60.0 / f64::from(proxies);
    let zone = 0;
    let joined = |proxy| Event::ProxyJoined { proxy, zone, rate, is_fresh: false, channel: Channel::Shared };
    stand.give((0..proxies).map(joined).collect());
    let ids: Vec<ProxyId> = (0..proxies).collect();
    let span = 1000.0;
    let jam = |stand: &mut Stand| {
        let of = |proxy| Event::TrafficReported { proxy, class: 0, attempts: rate, failed: 0.0, span };
        let mut events: Vec<Event> = ids.iter().map(|p| of(*p)).collect();
        events.extend(HOSTS.map(|h| heard(0, h, 10.0, 5.0, 900.0)));
        stand.give(events);
        for _ in 0..4 {
            stand.pass(250.0);
            stand.answer(&ids);
        }
    };
    (0..3).for_each(|_| jam(&mut stand));
    stand.give(vec![list(HostListKind::Delta, &[with(host("a4", 0), Readiness::Ready, stand.now)])]);
    (0..8).for_each(|_| jam(&mut stand));
    stand.lines(0)["a4"]
}

#[test]
fn a_cold_host_rises_in_a_jam_where_proxies_make_too_few_tries_to_flee() {
    let (few, many) = (cold_in_a_jam(4), cold_in_a_jam(400));
    assert!(few <= 0.1 + 1e-9, "four proxies make 50 tries at a host while it warms up: {few}");
    // Eight seconds old it may have seven tenths, though some are refused.
    assert!(many >= 0.5, "400 make half a try each: {many}");
}

#[test]
fn a_cold_host_stays_at_the_first_step_while_the_fleet_is_jammed() {
    let mut stand = fleeing();
    run(&mut stand, 4, 16.0, |_| (0.5, 900.0));
    stand.give(vec![list(HostListKind::Delta, &[with(host("a4", 0), Readiness::Ready, stand.now)])]);
    run(&mut stand, 8, 16.0, |_| (0.5, 900.0));
    let w = stand.lines(1)["a4"];
    assert!(w <= 0.1 + 1e-9, "{w}");
}

#[test]
fn a_few_well_hosts_do_not_let_the_rest_of_the_fleet_be_ejected() {
    let mut stand = usual();
    run(&mut stand, 3, 8.0, |_| (0.0, 200.0));
    // A jam in which only two barely used hosts still answer.
    for _ in 0..6 {
        stand.give(second(60.0, |_, h| {
            let well = h == "a3" || h == "b3";
            if well { (3.0, 0.0, 300.0) } else { (20.0, 19.0, 300.0) }
        }));
        stand.pass(1000.0);
    }
    assert_eq!(stand.lines(1).len(), 6, "{:?}", stand.logs);
}

#[test]
fn ejection_leaves_a_zone_its_warm_hosts_when_the_others_are_cold() {
    let mut s = settings();
    s.classes[1].is_zone_bound = true;
    let mut stand = joined(s);
    let cold = ["a2", "a3"].map(|h| with(host(h, 0), Readiness::Ready, stand.now));
    stand.give(vec![list(HostListKind::Delta, &cold)]);
    for _ in 0..4 {
        let mut events = usage(30.0);
        events.push(heard(0, "a1", 8.0, 8.0, 0.0));
        events.extend(["b1", "b2", "b3"].map(|h| heard(0, h, 8.0, 0.0, 200.0)));
        stand.give(events);
        stand.pass(1000.0);
        stand.answer(&[1, 2]);
    }
    let bound = stand.bound[&(1, 2)];
    assert!(stand.tables[&bound].contains_key("a1"), "{:?} {:?}", stand.tables[&bound], stand.logs);
    let open = stand.bound[&(1, 1)];
    assert!(!stand.tables[&open].contains_key("a1"), "elsewhere the rest can carry it");
}

#[test]
fn a_zone_with_only_cold_hosts_takes_no_more_than_they_can() {
    let mut s = settings();
    s.classes[1].is_zone_bound = true;
    s.proxies.admission_kind = AdmissionKind::Off;
    let mut stand = listed(s);
    stand.give((1..=6).map(|p| join(p, usize::from(p > 3))).collect());
    run(&mut stand, 4, 8.0, |_| (0.0, 200.0));
    // A release drains the zone's hosts; one successor is cold.
    let mut news: Vec<HostEntry> =
        ["a1", "a2", "a3"].iter().map(|h| with(host(h, 0), Readiness::Draining, 0.0)).collect();
    news.push(with(host("a4", 0), Readiness::Ready, stand.now));
    stand.give(vec![list(HostListKind::Delta, &news)]);
    stand.pass(500.0);
    let open = |stand: &Stand| {
        let table = |p| stand.tables.get(&stand.bound[&(p, 2)]).is_some_and(|t| t.contains_key("a4"));
        (1..=3).filter(|p| table(*p)).count()
    };
    assert!(open(&stand) < 3, "some are refused while it is cold");
    for _ in 0..8 {
        run(&mut stand, 2, 8.0, |h| if h.starts_with('a') { (0.0, 0.0) } else { (0.0, 200.0) });
    }
    assert_eq!(open(&stand), 3, "warm: all are let in");
}

#[test]
fn hosts_that_hardly_serve_do_not_hide_a_jam() {
    let mut stand = usual();
    run(&mut stand, 3, 12.0, |_| (0.0, 200.0));
    for _ in 0..6 {
        // Answers are late, as behind others in a jam: quick ones would speak against it.
        stand.give(second(60.0, |_, h| if h == "a1" { (60.0, 30.0, 400.0) } else { (2.0, 0.0, 400.0) }));
        stand.pass(1000.0);
    }
    assert!(level(&stand, 1, 0) < 0.9, "{:?}", stand.logs);
}

#[test]
fn a_cold_host_stays_out_while_proxies_flee_the_others() {
    let mut s = settings();
    s.proxies.ejection_failures = 3;
    let mut stand = joined(s);
    run(&mut stand, 4, 16.0, |_| (0.7, 900.0));
    stand.give(vec![list(HostListKind::Delta, &[with(host("a4", 0), Readiness::Ready, stand.now)])]);
    run(&mut stand, 5, 16.0, |_| (0.7, 900.0));
    assert!(!stand.lines(1).contains_key("a4"));
    run(&mut stand, 6, 6.0, |_| (0.0, 200.0));
    assert!(stand.lines(1).contains_key("a4"), "the jam is over");
}

#[test]
fn proxies_that_come_over_from_another_director_bring_their_room_along() {
    let mut stand = usual();
    run(&mut stand, 6, 6.0, |_| (0.0, 200.0));
    stand.give((3..=6).map(|p| join(p, p as usize % 2)).collect());
    // Three times the traffic, a short jam, then well again.
    run(&mut stand, 3, 18.0, |_| (0.15, 500.0));
    run(&mut stand, 5, 18.0, |_| (0.0, 200.0));
    assert!(level(&stand, 1, 0) > 0.8, "{:?}", stand.logs);
}

#[test]
fn a_director_that_has_seen_no_good_time_does_not_shut_the_door() {
    let mut stand = usual();
    run(&mut stand, 3, 8.0, |_| (0.3, 500.0));
    assert!(level(&stand, 1, 0) > 0.3, "{:?}", stand.logs);
}

/// A part of a period is no measure of what hosts carry: a level set by it would hold for as long as the jam.
#[test]
fn the_first_reports_of_a_zone_do_not_shut_its_door() {
    let mut stand = usual();
    stand.pass(10_000.0);
    let few = |_, h: &str| if h.ends_with('1') { (3.0, 2.0, 2500.0) } else { (0.0, 0.0, 0.0) };
    stand.give(second(6.0, few));
    stand.pass(900.0);
    assert_eq!([level(&stand, 1, 0), level(&stand, 2, 0)], [1.0, 1.0]);
    // What lasts is no first report: it is cut to about what was carried.
    run(&mut stand, 5, 20.0, |_| (0.4, 2500.0));
    let cut = level(&stand, 1, 0);
    assert!((0.05..0.9).contains(&cut), "{cut}");
    run(&mut stand, 12, 6.0, |_| (0.0, 200.0));
    assert_eq!(level(&stand, 1, 0), 1.0);
}

#[test]
fn failures_beside_quick_answers_are_no_jam() {
    // Four of six hosts leave two thirds of their tries unanswered; what is answered is answered quickly.
    let mut stand = usual();
    run(&mut stand, 4, 10.0, |_| (0.0, 200.0));
    run(&mut stand, 10, 10.0, |h| (if h == "a1" || h == "b1" { 0.0 } else { 0.6 }, 200.0));
    assert_eq!((level(&stand, 1, 0), level(&stand, 1, 1)), (1.0, 1.0), "{:?}", stand.logs);
    // The same failures beside late answers are one.
    run(&mut stand, 10, 10.0, |h| (if h == "a1" || h == "b1" { 0.0 } else { 0.6 }, 700.0));
    assert!(level(&stand, 1, 0) < 0.9);
}

#[test]
fn a_director_that_has_seen_nothing_closes_a_zone_with_one_cold_host() {
    // It starts anew: proxies of a zone without hosts dial in, then its first host comes back, cold.
    let mut s = settings();
    s.classes[1].is_zone_bound = true;
    s.proxies.admission_kind = AdmissionKind::Off;
    let mut stand = Stand::new(s);
    stand.give(vec![list(HostListKind::Cached, &["b1", "b2", "b3"].map(|h| host(h, 1)))]);
    stand.give((1..=6).map(|p| join(p, 0)).collect());
    stand.give(vec![list(HostListKind::Delta, &[with(host("a1", 0), Readiness::Ready, stand.now - 500.0)])]);
    let names = |p: &ProxyId| stand.tables.get(&stand.bound[&(*p, 2)]).is_some_and(|t| t.contains_key("a1"));
    let with_host = (1..=6).filter(names).count();
    assert!(with_host <= 1, "{with_host} of six proxies send all of the bound class to it");
}

#[test]
fn admission_rises_by_what_comes_through_once_the_jam_is_over() {
    // Refused clients ask again and are refused again: of a thousand requests few come through, all served.
    let mut stand = usual();
    run(&mut stand, 4, 10.0, |_| (0.0, 200.0));
    run(&mut stand, 6, 10.0, |_| (0.5, 900.0));
    assert!(level(&stand, 1, 0) < 0.8);
    let mut seconds = 0;
    while level(&stand, 1, 0) < 1.0 && seconds < 60 {
        stand.give(second(500.0, |_, _| (2.0, 0.0, 200.0)));
        stand.pass(1000.0);
        seconds += 1;
    }
    assert!(seconds <= 10, "{seconds}");
}

#[test]
fn a_jam_of_one_zone_closes_its_own_door_only() {
    let mut stand = fleeing();
    run(&mut stand, 4, 10.0, |_| (0.0, 200.0));
    for _ in 0..8 {
        stand.give(second(60.0, |zone, _| if zone == 0 { (10.0, 5.0, 900.0) } else { (10.0, 0.0, 200.0) }));
        stand.pass(1000.0);
    }
    assert!(level(&stand, 1, 0) < 0.9, "{:?}", stand.logs);
    assert_eq!(level(&stand, 2, 0), 1.0, "{:?}", stand.logs);
    // A cold host of the jammed zone is held for that zone's proxies only.
    stand.give(vec![list(
        HostListKind::Delta,
        &[with(host("a4", 0), Readiness::Ready, stand.now - 12_000.0)],
    )]);
    stand.pass(500.0);
    assert!(stand.lines(1)["a4"] < 0.2, "{:?}", stand.lines(1));
}

#[test]
fn a_cold_host_gets_half_of_its_part_while_some_are_refused() {
    let share = |jam: bool| {
        let mut stand = fleeing();
        run(&mut stand, 4, 10.0, |_| (0.0, 200.0));
        run(&mut stand, 6, 10.0, |_| if jam { (0.5, 900.0) } else { (0.0, 200.0) });
        // The jam is over, the door not yet open again.
        run(&mut stand, 2, 10.0, |_| (0.0, 340.0));
        assert_eq!(level(&stand, 1, 0) < 1.0, jam, "{:?}", stand.logs);
        let cold = with(host("a4", 0), Readiness::Ready, stand.now - 9000.0);
        stand.give(vec![list(HostListKind::Delta, &[cold])]);
        stand.pass(500.0);
        stand.lines(1)["a4"]
    };
    let (open, refusing) = (share(false), share(true));
    assert!(refusing <= 0.5 * open + 1e-9, "{refusing} {open}");
}
