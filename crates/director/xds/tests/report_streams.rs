//! Report streams to hosts: selection of hosts, redialing, and validity of reports.

use rushcourse_policy::interface::{HostId, HostLoad, Ms};
use rushcourse_xds::report_streams::{ReportStreams, ReportingHost};
use rushcourse_xds::{DialId, Effect, OrcaLoadReport, Outbox};

fn reporting_host(host: &str, started_at: Ms) -> ReportingHost {
    ReportingHost {
        host: host.into(),
        address: format!("{host}:1"),
        started_at,
    }
}

/// Takes the hosts dialed since the previous call, with the ids of the dial attempts.
fn take_dials(outbox: &mut Outbox) -> Vec<(String, u64)> {
    std::mem::take(&mut outbox.effects)
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::OpenReportStream { host, dial, .. } => Some((host.to_string(), dial.0)),
            _ => None,
        })
        .collect()
}

fn report(utilization: f64) -> OrcaLoadReport {
    OrcaLoadReport {
        utilization,
        queue: Some(2.0),
    }
}

/// Report streams in which host `a` is being dialed for the first time, at time 0.
fn dialing() -> (ReportStreams, Outbox, HostId) {
    let (mut streams, mut outbox) = (ReportStreams::new(1000.0, 8, 1), Outbox::default());
    streams.update_hosts(0.0, vec![reporting_host("a", 0.0)], &mut outbox);
    streams.advance(0.0, &mut outbox);
    (streams, outbox, "a".into())
}

#[test]
fn stalled_stream_is_redialed_and_its_last_report_expires() {
    let (mut streams, mut outbox, host) = dialing();
    assert_eq!(take_dials(&mut outbox), [("a".into(), 1)]);
    streams.on_opened(10.0, &host, DialId(1));
    streams.on_report(1000.0, &host, DialId(1), &report(0.5), &mut outbox);
    assert_eq!(streams.load(3000.0, &host).cpu_utilization, Some(0.5));
    assert_eq!(
        streams.load(3600.0, &host).cpu_utilization,
        None,
        "the report has expired"
    );
    let next = streams.advance(3600.0, &mut outbox);
    assert_eq!(next, 5000.0);
    streams.advance(5000.0, &mut outbox);
    assert!(outbox.effects.contains(&Effect::CloseReportStream {
        host: "a".into(),
        dial: DialId(1)
    }));
    let redial_at = streams.advance(5000.0, &mut outbox);
    assert!(
        redial_at > 5000.0 && redial_at <= 5200.0,
        "redial is delayed by the first backoff: {redial_at}"
    );
    streams.advance(redial_at, &mut outbox);
    assert_eq!(take_dials(&mut outbox), [("a".into(), 2)]);
    streams.on_report(redial_at, &host, DialId(1), &report(0.9), &mut outbox);
    assert_eq!(
        streams.load(redial_at, &host).cpu_utilization,
        None,
        "the report belongs to an earlier dial attempt"
    );
}

#[test]
fn reports_from_before_a_host_restart_are_ignored() {
    let (mut streams, mut outbox, host) = dialing();
    streams.on_report(100.0, &host, DialId(1), &report(0.5), &mut outbox);
    streams.update_hosts(200.0, vec![reporting_host("a", 150.0)], &mut outbox);
    assert_eq!(streams.load(201.0, &host), HostLoad::default());
    streams.on_report(210.0, &host, DialId(1), &report(0.5), &mut outbox);
    assert_eq!(
        streams.load(211.0, &host),
        HostLoad::default(),
        "the report belongs to the stream from before the restart"
    );
    streams.advance(220.0, &mut outbox);
    streams.on_report(230.0, &host, DialId(2), &report(0.1), &mut outbox);
    assert_eq!(streams.load(231.0, &host).cpu_utilization, Some(0.1));
}

#[test]
fn invalid_report_is_rejected_as_a_whole() {
    let (mut streams, mut outbox, host) = dialing();
    for (utilization, queue) in [
        (f64::NAN, 1.0),
        (-0.1, 1.0),
        (1e9, 1.0),
        (0.5, f64::INFINITY),
        (0.5, -1.0),
    ] {
        let report = OrcaLoadReport {
            utilization,
            queue: Some(queue),
        };
        streams.on_report(1.0, &host, DialId(1), &report, &mut outbox);
    }
    assert_eq!(streams.load(2.0, &host), HostLoad::default());
    assert_eq!(
        outbox
            .increments
            .iter()
            .filter(|(counter, _)| *counter == "node_reports_spoilt")
            .count(),
        5
    );
    assert!(outbox.events.is_empty());
}

#[test]
fn host_limit_is_enforced_and_existing_streams_are_kept() {
    let (mut streams, mut outbox) = (ReportStreams::new(1000.0, 2, 1), Outbox::default());
    let hosts = |names: &[&str]| {
        names
            .iter()
            .map(|name| reporting_host(name, 0.0))
            .collect::<Vec<_>>()
    };
    streams.update_hosts(0.0, hosts(&["b", "c"]), &mut outbox);
    streams.update_hosts(0.0, hosts(&["a", "b", "c"]), &mut outbox);
    streams.advance(0.0, &mut outbox);
    assert_eq!(take_dials(&mut outbox), [("b".into(), 1), ("c".into(), 2)]);
    assert_eq!((streams.host_count(), streams.hosts_over_limit()), (2, 1));
    streams.update_hosts(0.0, vec![], &mut outbox);
    assert_eq!(streams.host_count(), 0);
}
