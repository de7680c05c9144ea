//! Load reports of proxies: each is believed as a whole or not at all, and a stream that stalls judges no host.

mod common;

use common::Harness;
use rushcourse_policy::interface::Event;
use rushcourse_xds::{
    ClusterStats, EndpointStats, LoadMetric, LoadStatsRequest, LoadStatsResponse, Request,
    Response, StatusCode, StreamKind,
};

/// What a proxy saw of the host at a port; `mean` is the latency of successful requests, in ms.
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

/// Proxy 3 has opened stream 1 for its reports.
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
fn a_report_says_what_came_to_the_proxy_and_what_it_saw_of_each_host() {
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
        "no host listens at the other address"
    );
}

#[test]
fn an_invalid_report_is_not_believed_in_part() {
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
        assert_eq!(harness.events.len(), 2, "the reports around it are valid");
    }
}

#[test]
fn what_a_proxy_could_not_send_for_a_while_judges_no_host_when_it_comes() {
    let mut harness = reporting();
    harness.now += 1000.0;
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 50.0)]));
    // Silent for 4 s, then all at once: bad reports of before, and a good one of now.
    harness.now += 4000.0;
    for _ in 0..4 {
        report(&mut harness, stats(vec![endpoint(7000, 10, 10, 0.0)]));
        assert!(harness.events.is_empty());
    }
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 60.0)]));
    harness.pass(250.0);
    let [
        Event::TrafficReported { .. },
        Event::HostReported {
            failed: 0.0,
            mean_latency: 60.0,
            ..
        },
    ] = &harness.events[..]
    else {
        panic!("the last one counts, once: {:?}", harness.events)
    };
    harness.now += 750.0;
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 70.0)]));
    assert_eq!(harness.events.len(), 2, "from then on as before");
}

#[test]
fn a_stream_without_further_reports_is_ended_and_a_newer_one_takes_its_place() {
    let mut harness = reporting();
    harness.pass(5900.0);
    assert!(harness.ended.is_empty());
    harness.pass(200.0);
    assert_eq!(harness.ended, [(1, StatusCode::DeadlineExceeded)]);
    let mut harness = reporting();
    harness.open(2, 2, StreamKind::LoadReporting);
    harness.first_request(2, 3, StreamKind::LoadReporting);
    assert_eq!(harness.ended, [(1, StatusCode::Aborted)]);
    report(&mut harness, stats(vec![endpoint(7000, 10, 0, 50.0)]));
    assert!(
        harness.events.is_empty(),
        "what still comes on the old one counts for nothing"
    );
}
