//! Load reports of relays: whole or not at all, and a stream that stalls judges nobody.

mod common;

use common::*;
use rushcourse_policy::interface::*;
use rushcourse_xds::{
    ClusterStats, EndpointStats, LoadMetric, LoadStatsRequest, LoadStatsResponse, Request,
    Response, StatusCode, StreamKind,
};

fn host(port: u16, issued: u64, errors: u64, mean: f64) -> EndpointStats {
    let metrics = [(
        "latency_ms".to_string(),
        LoadMetric {
            finished_requests: issued - errors,
            total_value: mean * (issued - errors) as f64,
        },
    )]
    .into();
    EndpointStats {
        address: format!("127.0.0.9:{port}"),
        issued_requests: issued,
        error_requests: errors,
        requests_in_progress: 2,
        load_metrics: metrics,
    }
}

fn stats(hosts: Vec<EndpointStats>) -> LoadStatsRequest {
    let cluster = ClusterStats {
        cluster_name: "look".into(),
        load_report_interval: Some(1000.0),
        successful_requests: 18,
        error_requests: 2,
        endpoints: hosts,
    };
    LoadStatsRequest {
        node: None,
        cluster_stats: vec![cluster],
    }
}

fn reporting() -> Stand {
    let mut stand = Stand::new();
    stand.open(1, 1, StreamKind::LoadReporting);
    stand.first(1, 3, StreamKind::LoadReporting);
    let asked = LoadStatsResponse {
        load_reporting_interval: 1000.0,
    };
    assert_eq!(stand.responses, [(1, Response::LoadStats(asked))]);
    stand
}

fn report(stand: &mut Stand, stats: LoadStatsRequest) {
    stand.request(1, Request::LoadStats(stats));
}

#[test]
fn a_report_tells_what_came_to_the_relay_and_what_it_met_at_each_host() {
    let mut stand = reporting();
    stand.now += 1000.0;
    report(
        &mut stand,
        stats(vec![host(7000, 12, 2, 80.0), host(9999, 5, 0, 10.0)]),
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
    ] = &stand.events[..]
    else {
        panic!("{:?}", stand.events)
    };
    assert_eq!((&**host, load.in_flight), ("a1", Some(2.0)));
    assert!(
        stand.counts.contains(&"loads_unlisted"),
        "nobody listens at the other address"
    );
}

#[test]
fn a_spoilt_report_is_not_believed_in_part() {
    let good = || host(7000, 12, 2, 80.0);
    let with = |change: &dyn Fn(&mut LoadStatsRequest)| {
        let mut stats = stats(vec![good(), host(7001, 10, 1, 50.0)]);
        change(&mut stats);
        stats
    };
    type Spoil<'a> = &'a dyn Fn(&mut LoadStatsRequest);
    let cases: [(&str, Spoil); 8] = [
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
            s.cluster_stats[0].endpoints[1].load_metrics = [(
                "latency_ms".into(),
                LoadMetric {
                    finished_requests: 1,
                    total_value: f64::NAN,
                },
            )]
            .into()
        }),
    ];
    for (count, change) in cases {
        let mut stand = reporting();
        stand.now += 1000.0;
        report(&mut stand, with(change));
        assert!(stand.events.is_empty(), "{count}: {:?}", stand.events);
        assert!(stand.counts.contains(&count), "{count}: {:?}", stand.counts);
        report(&mut stand, stats(vec![good()]));
        assert_eq!(stand.events.len(), 2, "the reports around it are good");
    }
}

#[test]
fn what_a_relay_could_not_send_for_a_while_is_not_judged_by_when_it_comes() {
    let mut stand = reporting();
    stand.now += 1000.0;
    report(&mut stand, stats(vec![host(7000, 10, 0, 50.0)]));
    // Silent for 4 s, then all at once: bad reports of before, and a good one of now.
    stand.now += 4000.0;
    for _ in 0..4 {
        report(&mut stand, stats(vec![host(7000, 10, 10, 0.0)]));
        assert!(stand.events.is_empty());
    }
    report(&mut stand, stats(vec![host(7000, 10, 0, 60.0)]));
    stand.pass(250.0);
    let [
        Event::TrafficReported { .. },
        Event::HostReported {
            failed: 0.0,
            mean_latency: 60.0,
            ..
        },
    ] = &stand.events[..]
    else {
        panic!("the last one counts, once: {:?}", stand.events)
    };
    stand.now += 750.0;
    report(&mut stand, stats(vec![host(7000, 10, 0, 70.0)]));
    assert_eq!(stand.events.len(), 2, "from then on as before");
}

#[test]
fn a_stream_that_says_nothing_more_is_ended_and_a_newer_one_takes_its_place() {
    let mut stand = reporting();
    stand.pass(5900.0);
    assert!(stand.ended.is_empty());
    stand.pass(200.0);
    assert_eq!(stand.ended, [(1, StatusCode::DeadlineExceeded)]);
    let mut stand = reporting();
    stand.open(2, 2, StreamKind::LoadReporting);
    stand.first(2, 3, StreamKind::LoadReporting);
    assert_eq!(stand.ended, [(1, StatusCode::Aborted)]);
    report(&mut stand, stats(vec![host(7000, 10, 0, 50.0)]));
    assert!(
        stand.events.is_empty(),
        "what still comes on the old one counts for nothing"
    );
}
