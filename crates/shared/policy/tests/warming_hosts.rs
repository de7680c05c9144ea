//! Warming hosts during overloads, and in zones that have no warm hosts.

mod common;

use common::load::{HEALTHY, OVERLOADED, Service, level, run, service};
use common::{
    HOSTS, Harness, cached_list, delta, draining, host, host_report, join, join_with_rate, settings_with,
    settled_with, started, traffic, with_hosts, with_proxies,
};
use rushcourse_policy::interface::{AdmissionKind, Event, HostEntry, ProxyId, Settings};

/// A director whose proxies eject a host after five consecutive failures.
fn ejecting() -> Harness {
    settled_with(settings_with(|s| s.proxies.ejection_failures = 5))
}

/// Settings with a zone-bound second class and without admission levels.
fn bound_without_levels() -> Settings {
    settings_with(|s| {
        s.classes[1].is_zone_bound = true;
        s.proxies.admission_kind = AdmissionKind::Off;
    })
}

/// Number of proxies whose table for the zone-bound class contains a host.
fn proxies_with(harness: &Harness, proxies: std::ops::RangeInclusive<ProxyId>, host: &str) -> usize {
    let table = |proxy| harness.tables.get(&harness.bindings[&(proxy, 2)]);
    proxies.filter(|proxy| table(*proxy).is_some_and(|weights| weights.contains_key(host))).count()
}

/// One second of overload in zone 0. Each proxy reports `rate` requests; half of the attempts fail.
fn overloaded_second(harness: &mut Harness, proxies: &[ProxyId], rate: f64) {
    let mut events: Vec<Event> = proxies.iter().map(|proxy| traffic(*proxy, 0, rate)).collect();
    events.extend(HOSTS.map(|host| host_report(0, host, 10.0, 5.0, 900.0)));
    harness.handle(events);
    for _ in 0..4 {
        harness.advance(250.0);
        harness.acknowledge(proxies);
    }
}

/// Weight of a warming host in an overloaded zone with `count` proxies and a total rate of 60 requests per second.
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
fn warming_host_gains_weight_in_an_overload_if_proxies_rarely_use_it() {
    let (few, many) = (weight_in_an_overload(4), weight_in_an_overload(400));
    assert!(few <= 0.1 + 1e-9, "each of 4 proxies makes enough attempts to eject a warming host: {few}");
    // After eight seconds slow start allows 0.7, although some requests are rejected.
    assert!(many >= 0.5, "each of 400 proxies makes too few attempts to eject: {many}");
}

#[test]
fn warming_host_stays_at_the_first_step_during_an_overload() {
    let mut harness = ejecting();
    run(&mut harness, 4, 16.0, |_| OVERLOADED);

    harness.handle(vec![delta(&[started("a4", 0, harness.now)])]);
    run(&mut harness, 8, 16.0, |_| OVERLOADED);

    let weight = harness.weights(1)["a4"];
    assert!(weight <= 0.1 + 1e-9, "{weight}");
}

#[test]
fn warming_host_is_excluded_while_proxies_eject_hosts() {
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
fn warming_host_gets_half_its_weight_while_requests_are_rejected() {
    let weight = |is_overloaded: bool| {
        let mut harness = ejecting();
        run(&mut harness, 4, 10.0, |_| HEALTHY);
        run(&mut harness, 6, 10.0, |_| if is_overloaded { OVERLOADED } else { HEALTHY });
        // The overload is over, but admission has not fully recovered.
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
fn zone_with_only_warming_hosts_admits_no_more_than_their_capacity() {
    let mut harness = with_hosts(bound_without_levels());
    harness.handle((1..=6).map(|proxy| join(proxy, usize::from(proxy > 3))).collect());
    run(&mut harness, 4, 8.0, |_| HEALTHY);

    // A rolling release drains the zone's hosts, and only one replacement has started.
    let mut released: Vec<HostEntry> = ["a1", "a2", "a3"].map(|host| draining(host, 0)).to_vec();
    released.push(started("a4", 0, harness.now));
    harness.handle(vec![delta(&released)]);
    harness.advance(500.0);

    assert!(proxies_with(&harness, 1..=3, "a4") < 3, "some proxies get an empty table while it warms up");
    for _ in 0..8 {
        run(&mut harness, 2, 8.0, |host| if host.starts_with('a') { service(0.0, 0.0) } else { HEALTHY });
    }
    assert_eq!(proxies_with(&harness, 1..=3, "a4"), 3, "a warm host serves all proxies");
}

#[test]
fn new_director_limits_proxies_of_a_zone_with_one_warming_host() {
    // After a restart, proxies of a zone without hosts join, and then its first host starts.
    let mut harness = Harness::new(bound_without_levels());
    harness.handle(vec![cached_list(&["b1", "b2", "b3"].map(|name| host(name, 1)))]);
    harness.handle((1..=6).map(|proxy| join(proxy, 0)).collect());

    harness.handle(vec![delta(&[started("a1", 0, harness.now - 500.0)])]);

    let open = proxies_with(&harness, 1..=6, "a1");
    assert!(open <= 1, "{open} of six proxies send all their zone-bound requests to it");
}
