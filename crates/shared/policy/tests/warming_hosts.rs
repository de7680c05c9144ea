//! Hosts that have just started, in overloads and in zones that have no others.

mod common;

use common::load::{HEALTHY, OVERLOADED, Service, level, run, service};
use common::{
    HOSTS, Harness, cached_list, delta, draining, host, host_report, join, join_with_rate, settings_with,
    settled_with, started, traffic, with_hosts, with_proxies,
};
use rushcourse_policy::interface::{AdmissionKind, Event, HostEntry, ProxyId, Settings};

/// Proxies eject a host after five failures in a row.
fn ejecting() -> Harness {
    settled_with(settings_with(|s| s.proxies.ejection_failures = 5))
}

/// A class is bound to its zone, and proxies know no levels.
fn bound_without_levels() -> Settings {
    settings_with(|s| {
        s.classes[1].is_zone_bound = true;
        s.proxies.admission_kind = AdmissionKind::Off;
    })
}

/// How many of some proxies have a host in their table of the zone-bound class.
fn proxies_with(harness: &Harness, proxies: std::ops::RangeInclusive<ProxyId>, host: &str) -> usize {
    let table = |proxy| harness.tables.get(&harness.bindings[&(proxy, 2)]);
    proxies.filter(|proxy| table(*proxy).is_some_and(|weights| weights.contains_key(host))).count()
}

/// A second of an overload of the first zone, whose proxies bring the same together however many they are.
fn overloaded_second(harness: &mut Harness, proxies: &[ProxyId], rate: f64) {
    let mut events: Vec<Event> = proxies.iter().map(|proxy| traffic(*proxy, 0, rate)).collect();
    events.extend(HOSTS.map(|host| host_report(0, host, 10.0, 5.0, 900.0)));
    harness.handle(events);
    for _ in 0..4 {
        harness.advance(250.0);
        harness.acknowledge(proxies);
    }
}

/// What a warming host weighs for the first proxy in an overload of a zone with so many proxies.
fn weight_in_an_overload(count: u32) -> f64 {
    let mut harness = with_hosts(settings_with(|s| {
        s.proxies.ejection_failures = 8;
        s.fleet.proxies = count as usize;
        s.channel.max_queued_lines = 40_000.0;
    }));
    let rate = 60.0 / f64::from(count);
    let proxies: Vec<ProxyId> = (0..count).collect();
    harness.handle(proxies.iter().map(|proxy| join_with_rate(*proxy, 0, rate)).collect());
    (0..3).for_each(|_| overloaded_second(&mut harness, &proxies, rate));
    harness.handle(vec![delta(&[started("a4", 0, harness.now)])]);
    (0..8).for_each(|_| overloaded_second(&mut harness, &proxies, rate));
    harness.weights(0)["a4"]
}

#[test]
fn a_warming_host_rises_in_an_overload_where_proxies_make_too_few_attempts_to_eject() {
    let (few, many) = (weight_in_an_overload(4), weight_in_an_overload(400));
    assert!(few <= 0.1 + 1e-9, "four proxies make 50 attempts at a host while it warms up: {few}");
    // Eight seconds old it may have seven tenths, though some are rejected.
    assert!(many >= 0.5, "400 make half an attempt each: {many}");
}

#[test]
fn a_warming_host_stays_at_the_first_step_while_the_fleet_is_overloaded() {
    let mut harness = ejecting();
    run(&mut harness, 4, 16.0, |_| OVERLOADED);

    harness.handle(vec![delta(&[started("a4", 0, harness.now)])]);
    run(&mut harness, 8, 16.0, |_| OVERLOADED);

    let weight = harness.weights(1)["a4"];
    assert!(weight <= 0.1 + 1e-9, "{weight}");
}

#[test]
fn a_warming_host_stays_out_while_proxies_eject_the_others() {
    const FAILING: Service = service(0.7, 900.0);
    let mut harness = with_proxies(settings_with(|s| s.proxies.ejection_failures = 3));
    run(&mut harness, 4, 16.0, |_| FAILING);

    harness.handle(vec![delta(&[started("a4", 0, harness.now)])]);
    run(&mut harness, 5, 16.0, |_| FAILING);
    assert!(!harness.weights(1).contains_key("a4"));

    run(&mut harness, 6, 6.0, |_| HEALTHY);
    assert!(harness.weights(1).contains_key("a4"), "the overload is over");
}

#[test]
fn a_warming_host_gets_half_of_its_part_while_some_are_rejected() {
    let weight = |is_overloaded: bool| {
        let mut harness = ejecting();
        run(&mut harness, 4, 10.0, |_| HEALTHY);
        run(&mut harness, 6, 10.0, |_| if is_overloaded { OVERLOADED } else { HEALTHY });
        // The overload is over, not all is admitted yet.
        run(&mut harness, 2, 10.0, |_| service(0.0, 340.0));
        assert_eq!(level(&harness, 1, 0) < 1.0, is_overloaded, "{:?}", harness.logs);
        harness.handle(vec![delta(&[started("a4", 0, harness.now - 9000.0)])]);
        harness.advance(500.0);
        harness.weights(1)["a4"]
    };
    let (open, rejecting) = (weight(false), weight(true));
    assert!(rejecting <= 0.5 * open + 1e-9, "{rejecting} {open}");
}

#[test]
fn a_zone_with_only_warming_hosts_takes_no_more_than_they_can() {
    let mut harness = with_hosts(bound_without_levels());
    harness.handle((1..=6).map(|proxy| join(proxy, usize::from(proxy > 3))).collect());
    run(&mut harness, 4, 8.0, |_| HEALTHY);

    // A release drains the zone's hosts; one successor is warming.
    let mut released: Vec<HostEntry> = ["a1", "a2", "a3"].map(|host| draining(host, 0)).to_vec();
    released.push(started("a4", 0, harness.now));
    harness.handle(vec![delta(&released)]);
    harness.advance(500.0);

    assert!(proxies_with(&harness, 1..=3, "a4") < 3, "some are rejected while it warms up");
    for _ in 0..8 {
        run(&mut harness, 2, 8.0, |host| if host.starts_with('a') { service(0.0, 0.0) } else { HEALTHY });
    }
    assert_eq!(proxies_with(&harness, 1..=3, "a4"), 3, "warm: all are admitted");
}

#[test]
fn a_director_without_reports_closes_a_zone_with_one_warming_host() {
    // It starts anew: proxies of a zone without hosts dial in, then its first host comes back, warming.
    let mut harness = Harness::new(bound_without_levels());
    harness.handle(vec![cached_list(&["b1", "b2", "b3"].map(|name| host(name, 1)))]);
    harness.handle((1..=6).map(|proxy| join(proxy, 0)).collect());

    harness.handle(vec![delta(&[started("a1", 0, harness.now - 500.0)])]);

    let open = proxies_with(&harness, 1..=6, "a1");
    assert!(open <= 1, "{open} of six proxies send all of the bound class to it");
}
