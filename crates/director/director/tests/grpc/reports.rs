//! Load reports of proxies and hosts over gRPC.

use crate::common::free_address;
use crate::{joined, proxy, serving};
use rushcourse_grpc_standin::host::ReportingHost;
use rushcourse_grpc_standin::load_reporter::{LoadReporter, Observation};
use tonic::Code;

#[tokio::test]
async fn valid_reports_are_accepted_and_stalled_stream_is_ended() {
    // A proxy with a stream for load reports.
    let (harness, at) = serving("").await;
    let _proxy = joined(&harness, at, proxy(3, true)).await;
    let reporter = LoadReporter::start(at, "relay-3", "east")
        .await
        .expect("a channel");
    harness
        .wait_until("interval", || reporter.report_interval() == Some(1000.0))
        .await;
    // Valid reports are accepted; invalid ones are counted by reason.
    let valid = Observation {
        address: "127.0.0.1:1".into(),
        attempts: 10,
        failed: 1,
        mean_latency: 80.0,
    };
    let negative = Observation {
        mean_latency: -5.0,
        ..valid.clone()
    };
    for (class, observation, metric) in [
        ("look", &valid, "rushcourse_loads_taken_total"),
        ("nope", &valid, "rushcourse_loads_unknown_total"),
        ("look", &negative, "rushcourse_loads_latency_total"),
    ] {
        reporter
            .report(class, std::slice::from_ref(observation))
            .await;
        harness.wait_for_metric(metric, 1.0).await;
    }
    // The stream is ended once reports stop, although the connection still answers pings.
    harness
        .wait_until("the stream is ended", || reporter.status().is_some())
        .await;
    assert_eq!(
        reporter.status().expect("a status").code(),
        Code::DeadlineExceeded
    );
    assert_eq!(harness.metric("rushcourse_loads_stalled_total").await, 1.0);
}

#[tokio::test]
async fn stalled_or_restarted_host_gets_new_report_stream() {
    let (harness, _) = serving(", ask_hosts = True").await;
    let host = ReportingHost::start(free_address()).await.expect("a host");
    let list_host = |started_at| {
        let address = host.address.to_string();
        harness
            .discovery
            .set_host("h-1", "east", "Ready", &address, started_at);
    };
    list_host(0.0);
    harness
        .wait_for_metric("rushcourse_node_reports_taken_total", 3.0)
        .await;
    host.set_utilization(f64::NAN);
    harness
        .wait_for_metric("rushcourse_node_reports_spoilt_total", 1.0)
        .await;
    host.set_utilization(0.7);
    host.set_stalled(true);
    harness
        .wait_for_metric("rushcourse_node_stalls_total", 1.0)
        .await;
    harness
        .wait_until("the stream is reopened", || host.stream_count() >= 2)
        .await;
    host.set_stalled(false);
    let before = harness.metric("rushcourse_node_reports_taken_total").await;
    harness
        .wait_for_metric("rushcourse_node_reports_taken_total", before + 2.0)
        .await;
    // A restart of the host, shown by its start time in the list, reopens the stream.
    let stream_count = host.stream_count();
    list_host(1000.0);
    harness
        .wait_for_metric("rushcourse_node_restarts_total", 1.0)
        .await;
    harness
        .wait_until("a new stream", || host.stream_count() > stream_count)
        .await;
}
