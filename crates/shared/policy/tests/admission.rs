//! Admission levels and retry policies based on scripted reports.

mod common;

use common::load::{HEALTHY, OVERLOADED, Service, level, observed, one_second_of_reports, run, service};
use common::{delta, join, settings_with, settled, settled_with, started, with_proxies};
use rushcourse_policy::interface::{AdmissionKind, RetryPolicy};

#[test]
fn overload_of_all_hosts_sheds_the_less_valuable_class_first() {
    let mut harness = settled();
    run(&mut harness, 4, 8.0, |_| HEALTHY);
    assert_eq!(level(&harness, 1, 0), 1.0);

    run(&mut harness, 12, 16.0, |host| service(if host == "a1" { 0.6 } else { 0.5 }, 900.0));

    assert!(harness.weights(1).contains_key("a1"));
    let (cheap, dear) = (level(&harness, 1, 0), level(&harness, 1, 1));
    assert!(cheap < 0.9 && dear > cheap, "{cheap} {dear}");
    run(&mut harness, 30, 4.0, |_| HEALTHY);
    assert_eq!((level(&harness, 1, 0), level(&harness, 1, 1)), (1.0, 1.0));
}

#[test]
fn no_admission_is_sent_if_levels_are_off() {
    let mut harness = with_proxies(settings_with(|s| s.proxies.admission_kind = AdmissionKind::Off));
    run(&mut harness, 10, 16.0, |_| OVERLOADED);
    assert!(harness.admission.values().all(|(quota, _)| *quota == 1.0));
}

#[test]
fn retries_follow_the_settings_and_stop_in_an_overload() {
    let mut harness = with_proxies(settings_with(|s| s.proxies.retry_policy = RetryPolicy::OnceIfNotRun));
    run(&mut harness, 3, 8.0, |_| HEALTHY);
    assert!(harness.admission.is_empty(), "the default policy of the proxies needs no update");

    run(&mut harness, 4, 16.0, |_| OVERLOADED);

    let bound = harness.bindings[&(1, 0)];
    let of_table = harness.admission.iter().filter(|((table, _), _)| *table == bound);
    let policies: Vec<RetryPolicy> = of_table.map(|(_, (_, policy))| *policy).collect();
    assert_eq!(policies, [RetryPolicy::Never; 2]);
}

#[test]
fn lightly_used_hosts_do_not_hide_an_overload() {
    let mut harness = settled();
    run(&mut harness, 3, 12.0, |_| HEALTHY);

    for _ in 0..6 {
        // Responses are slow, because fast ones would indicate another cause than overload.
        harness.handle(one_second_of_reports(60.0, |_, host| {
            if host == "a1" { observed(60.0, 30.0, 400.0) } else { observed(2.0, 0.0, 400.0) }
        }));
        harness.advance(1000.0);
    }

    assert!(level(&harness, 1, 0) < 0.9, "{:?}", harness.logs);
}

#[test]
fn proxies_from_another_director_raise_the_capacity() {
    let mut harness = settled();
    run(&mut harness, 6, 6.0, |_| HEALTHY);
    harness.handle((3..=6).map(|proxy| join(proxy, proxy as usize % 2)).collect());

    // Three times the traffic: a short overload, then healthy again.
    run(&mut harness, 3, 18.0, |_| service(0.15, 500.0));
    run(&mut harness, 5, 18.0, |_| HEALTHY);

    assert!(level(&harness, 1, 0) > 0.8, "{:?}", harness.logs);
}

#[test]
fn new_director_in_an_overload_keeps_admission_above_minimum() {
    let mut harness = settled();
    run(&mut harness, 3, 8.0, |_| service(0.3, 500.0));
    assert!(level(&harness, 1, 0) > 0.3, "{:?}", harness.logs);
}

/// Guards against an admission level that is derived from a partial report interval, which underestimates the capacity.
#[test]
fn first_reports_of_a_zone_do_not_lower_its_admission() {
    let mut harness = settled();
    harness.advance(10_000.0);
    harness.handle(one_second_of_reports(6.0, |_, host| {
        if host.ends_with('1') { observed(3.0, 2.0, 2500.0) } else { observed(0.0, 0.0, 0.0) }
    }));
    harness.advance(900.0);
    assert_eq!([level(&harness, 1, 0), level(&harness, 2, 0)], [1.0, 1.0]);

    // A lasting overload lowers the level to about the observed capacity.
    run(&mut harness, 5, 20.0, |_| service(0.4, 2500.0));
    let cut = level(&harness, 1, 0);
    assert!((0.05..0.9).contains(&cut), "{cut}");
    run(&mut harness, 12, 6.0, |_| HEALTHY);
    assert_eq!(level(&harness, 1, 0), 1.0);
}

#[test]
fn failures_with_fast_responses_are_not_an_overload() {
    // At four of six hosts, 60 % of the attempts fail.
    let serve = |latency| {
        move |host: &str| -> Service {
            service(if host == "a1" || host == "b1" { 0.0 } else { 0.6 }, latency)
        }
    };
    let mut harness = settled();
    run(&mut harness, 4, 10.0, |_| HEALTHY);

    run(&mut harness, 10, 10.0, serve(200.0));
    assert_eq!((level(&harness, 1, 0), level(&harness, 1, 1)), (1.0, 1.0), "{:?}", harness.logs);

    // The same failures with slow responses are an overload.
    run(&mut harness, 10, 10.0, serve(700.0));
    assert!(level(&harness, 1, 0) < 0.9);
}

#[test]
fn admission_recovers_after_an_overload_despite_client_retries() {
    // Rejected clients retry: of 1000 requests per second only a few reach the hosts, and all of these succeed.
    let mut harness = settled();
    run(&mut harness, 4, 10.0, |_| HEALTHY);
    run(&mut harness, 6, 10.0, |_| OVERLOADED);
    assert!(level(&harness, 1, 0) < 0.8);

    let mut seconds = 0;
    while level(&harness, 1, 0) < 1.0 && seconds < 60 {
        harness.handle(one_second_of_reports(500.0, |_, _| observed(2.0, 0.0, 200.0)));
        harness.advance(1000.0);
        seconds += 1;
    }

    assert!(seconds <= 10, "{seconds}");
}

#[test]
fn overload_of_one_zone_lowers_only_its_own_admission() {
    let mut harness = settled_with(settings_with(|s| s.proxies.ejection_failures = 5));
    run(&mut harness, 4, 10.0, |_| HEALTHY);

    for _ in 0..8 {
        harness.handle(one_second_of_reports(60.0, |zone, _| {
            if zone == 0 { observed(10.0, 5.0, 900.0) } else { observed(10.0, 0.0, 200.0) }
        }));
        harness.advance(1000.0);
    }

    assert!(level(&harness, 1, 0) < 0.9, "{:?}", harness.logs);
    assert_eq!(level(&harness, 2, 0), 1.0, "{:?}", harness.logs);
    // A warming host of the overloaded zone has a low weight in that zone's tables only.
    harness.handle(vec![delta(&[started("a4", 0, harness.now - 12_000.0)])]);
    harness.advance(500.0);
    assert!(harness.weights(1)["a4"] < 0.2, "{:?}", harness.weights(1));
}
