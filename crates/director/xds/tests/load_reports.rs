//! Load reports of proxies: conversion to events, rejection of invalid or delayed reports, and stalled streams.

mod common;

use common::Harness;
use rushcourse_policy::interface::Event;
use rushcourse_xds::{
    ClusterStats, EndpointStats, LoadMetric, LoadStatsRequest, LoadStatsResponse, Request,
    Response, StatusCode, StreamKind,
};

/// Statistics of the host at a port; `mean` is the mean latency of successful requests, in ms.
fn endpoint(port: u16, issued: u64, errors: u64, mean: f64) -> EndpointStats {
    let latency = LoadMetric {
        finished_requests: issued - errors,
        total_value: mean * (issued - errors) as f64,
    };
    EndpointStats {
        address: format!("127.0.0.9:{port}"),
        issued_requests: issued,
        error_requests: errors,
        requests_in_progress: 2,
        load_metrics: [("latency_ms".to_string(), latency)].into(),
    }
}

fn stats(endpoints: Vec<EndpointStats>) -> LoadStatsRequest {
    let cluster = ClusterStats {
        cluster_name: "look".into(),
        load_report_interval: Some(1000.0),
        successful_requests: 18,
        error_requests: 2,
        endpoints,
    };
    LoadStatsRequest {
        node: None,
        cluster_stats: vec![cluster],
    }
}

/// A harness in which proxy 3 has opened load reporting stream 1.
fn reporting() -> Harness {
    let mut harness = Harness::new();
    harness.open(1, 1, StreamKind::LoadReporting);
    harness.first_request(1, 3, StreamKind::LoadReporting);
    let response = LoadStatsResponse {
        load_reporting_interval: 1000.0,
    };
    assert_eq!(harness.responses, [(1, Response::LoadStats(response))]);
    harness
}

fn report(harness: &mut Harness, stats: LoadStatsRequest) {
    harness.request(1, Request::LoadStats(stats));
}

#[test]
fn report_is_converted_to_traffic_and_host_events() {
    let mut harness = reporting();
    harness.now += 1000.0;
    report(
        &mut harness,
        stats(vec![
            endpoint(7000, 12, 2, 80.0),
            endpoint(9999, 5, 0, 10.0),
        ]),
    );
    let [
        Event::TrafficReported {
            proxy: 3,
            class: 0,
            attempts: 20.0,
            failed: 2.0,
            ..
        },
        Event::HostReported {
            zone: 0,
            host,
            attempts: 12.0,
            failed: 2.0,
            mean_latency: 80.0,
            load,
            ..
        },
    ] = &harness.events[..]
    else {
        panic!("{:?}", harness.events)
    };
    assert_eq!((&**host, load.in_flight), ("a1", Some(2.0)));
    assert!(
        harness.counters.contains(&"loads_unlisted"),
        "the second address belongs to no listed host"
    );
}

#[test]
fn invalid_report_is_rejected_as_a_whole() {
    type Change<'a> = &'a dyn Fn(&mut LoadStatsRequest);
    let valid = || endpoint(7000, 12, 2, 80.0);
    let cases: [(&str, Change); 8] = [
        ("loads_unknown", &|s| {
            s.cluster_stats[0].cluster_name = "nope".into()
        }),
        ("loads_interval", &|s| {
            s.cluster_stats[0].load_report_interval = None
        }),
        ("loads_interval", &|s| {
            s.cluster_stats[0].load_report_interval = Some(f64::NAN)
        }),
        ("loads_old", &|s| {
            s.cluster_stats[0].load_report_interval = Some(30_000.0)
        }),
        ("loads_figures", &|s| {
            s.cluster_stats[0].endpoints[1].error_requests = 11
        }),
        ("loads_figures", &|s| {
            s.cluster_stats[0].endpoints[1].issued_requests = u64::MAX
        }),
        ("loads_latency", &|s| {
            s.cluster_stats[0].endpoints[1].load_metrics.clear()
        }),
        ("loads_latency", &|s| {
            let latency = LoadMetric {
                finished_requests: 1,
                total_value: f64::NAN,
            };
            s.cluster_stats[0].endpoints[1].load_metrics = [("latency_ms".into(), latency)].into()
        }),
    ];
    for (counter, change) in cases {
        let mut harness = reporting();
        harness.now += 1000.0;
        let mut invalid = stats(vec![valid(), endpoint(7001, 10, 1, 50.0)]);
        change(&mut invalid);
        report(&mut harness, invalid);
        assert!(harness.events.is_empty(), "{counter}: {:?}", harness.events);
        assert!(
            harness.counters.contains(&counter),
            "{counter}: {:?}",
            harness.counters
        );
        report(&mut harness, stats(vec![valid()]));
        assert_eq!(harness.events.len(), 2, "the next valid one is accepted");
    }
}

#[test]
fn delayed_reports_of_a_burst_are_discarded_except_the_last() {
    let mut harness = reporting();
    harness.now += 1000.0;
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 50.0)]));
    // After 4 s without reports, a burst arrives: four delayed reports with errors, then a current one without.
    harness.now += 4000.0;
    for _ in 0..4 {
        report(&mut harness, stats(vec![endpoint(7000, 10, 10, 0.0)]));
        assert!(harness.events.is_empty());
    }
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 60.0)]));
    harness.advance_time(250.0);
    let [
        Event::TrafficReported { .. },
        Event::HostReported {
            failed: 0.0,
            mean_latency: 60.0,
            ..
        },
    ] = &harness.events[..]
    else {
        panic!(
            "expected the events of the last report only: {:?}",
            harness.events
        )
    };
    harness.now += 750.0;
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 70.0)]));
    assert_eq!(
        harness.events.len(),
        2,
        "later reports are accepted at once"
    );
}

#[test]
fn silent_stream_is_ended_and_a_newer_stream_replaces_the_old_one() {
    let mut harness = reporting();
    harness.advance_time(5900.0);
    assert!(harness.ended.is_empty());
    harness.advance_time(200.0);
    assert_eq!(harness.ended, [(1, StatusCode::DeadlineExceeded)]);
    let mut harness = reporting();
    harness.open(2, 2, StreamKind::LoadReporting);
    harness.first_request(2, 3, StreamKind::LoadReporting);
    assert_eq!(harness.ended, [(1, StatusCode::Aborted)]);
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 50.0)]));
    assert!(
        harness.events.is_empty(),
        "reports on the replaced stream are ignored"
    );
}
