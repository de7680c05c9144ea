//! Connections at the director's listening address: collectors, pings, unregistered peers. Also batching and shutdown.

mod common;

use bytes::Bytes;
use common::harness::{Harness, session_limits};
use common::relay::CallOutcome;
use rushcourse_director_protocol::frames;
use rushcourse_director_state::{InboundId, Input};

const PING: &str = r#"{"@type":"ping"}"#;
const HOST_REPORT: &str = r#"{"@type":"heard","az":"east","host":"a1","n":12,"bad":1,"avg":41.7,"window":1000.0,"report":{"inflight":7,"util":0.61}}"#;
const TRAFFIC_REPORT: &str =
    r#"{"@type":"usage","sidecar":1,"kind":"look","n":19,"bad":0,"window":1000.0}"#;

/// Numbers of host and traffic reports accepted for the policy.
fn reports(harness: &Harness) -> (u64, u64) {
    (
        harness.counter("reports_heard"),
        harness.counter("reports_usage"),
    )
}

fn inbound_ids(ids: &[u64]) -> Vec<InboundId> {
    ids.iter().copied().map(InboundId).collect()
}

#[test]
fn ping_is_answered_without_relay_and_discovery() {
    let mut harness = Harness::new();
    harness.relay.is_reachable = false;
    harness.discovery.is_reachable = false;
    harness.handle(Input::Start);
    harness.open_inbound(1);
    harness.receive(1, PING);
    assert_eq!(harness.inbound.sent, [(InboundId(1), frames::pong())]);
}

#[test]
fn collector_reports_reach_the_policy() {
    let mut harness = Harness::with_bound_proxies();
    for collector in [1, 2] {
        harness.open_collector(collector, "east");
        harness.receive(collector, HOST_REPORT);
        harness.receive(collector, TRAFFIC_REPORT);
    }
    assert_eq!(reports(&harness), (2, 2));
    assert!(
        harness.inbound.sent.is_empty(),
        "nothing is ever written to a collector"
    );
}

#[test]
fn unregistered_peer_that_sends_anything_but_a_ping_is_rejected() {
    let messages = [
        HOST_REPORT,
        TRAFFIC_REPORT,
        r#"{"@type":"collector","az":"nowhere"}"#,
        r#"{"@type":"collector"}"#,
        r#"{"@type":"joined","sidecar":1,"az":"east","share":3.0,"standing":true}"#,
        r#"{"@type":"applied","sidecar":1,"version":1,"lag_ms":1.0}"#,
        r#"{"@type":"update","orders":["clear,1"]}"#,
        r#"{"@type":"weather"}"#,
        "{}",
        "",
        "[1]",
        "\u{0}\u{1}",
    ];
    for message in messages {
        let mut harness = Harness::with_bound_proxies();
        let events = harness.counter("events");
        harness.open_inbound(1);
        harness.receive(1, PING);
        harness.receive(1, message);
        assert_eq!(harness.inbound.rejected, inbound_ids(&[1]), "{message:?}");
        assert_eq!(harness.inbound.closed, inbound_ids(&[1]), "{message:?}");
        // Later messages on the same connection are ignored.
        harness.receive(1, r#"{"@type":"collector","az":"east"}"#);
        harness.receive(1, HOST_REPORT);
        harness.run_for(100.0);
        assert_eq!(reports(&harness), (0, 0));
        assert_eq!(harness.counter("events"), events);
        assert_eq!(harness.gauge("peers_open"), 0.0);
    }
}

#[test]
fn malformed_message_closes_only_its_connection() {
    for message in ["", "{", "[1]", "\u{0}\u{1}"] {
        let mut harness = Harness::with_bound_proxies();
        harness.open_collector(1, "east");
        harness.open_collector(2, "east");
        harness.receive(1, message);
        assert_eq!(harness.inbound.closed, inbound_ids(&[1]), "{message:?}");
        harness.receive(2, HOST_REPORT);
        assert_eq!(harness.counter("reports_heard"), 1);
    }
}

#[test]
fn unregistered_connections_expire_and_collectors_do_not() {
    // Given an idle peer, a collector, an HTTP request and a peer that pings.
    let mut harness = Harness::with_bound_proxies();
    harness.open_inbound(1);
    harness.open_collector(2, "west");
    harness.open_inbound(3);
    harness.handle(Input::InboundHttp {
        inbound: InboundId(3),
    });
    harness.open_inbound(4);
    for _ in 0..4 {
        harness.run_for(350.0);
        // A ping does not extend the deadline.
        harness.receive(4, PING);
    }
    // Then all but the collector are closed at their deadlines.
    assert_eq!(
        harness.inbound.closed,
        inbound_ids(&[1, 4]),
        "unregistered peers are closed within 3 s"
    );
    assert!(
        harness.inbound.sent.len() >= 3,
        "pings are answered until then"
    );
    harness.run_for(1200.0);
    assert_eq!(
        harness.inbound.closed,
        inbound_ids(&[1, 4, 3]),
        "an HTTP connection that is not served is closed too"
    );
    harness.run_for(120_000.0);
    assert_eq!(
        harness.inbound.closed,
        inbound_ids(&[1, 4, 3]),
        "an inactive collector stays"
    );
}

#[test]
fn connection_limit_evicts_unregistered_peers_first() {
    let limits = session_limits();
    let mut harness = Harness::with_bound_proxies();
    harness.open_collector(1, "east");
    for peer in 2..2000 {
        harness.open_inbound(peer);
    }
    assert_eq!(harness.gauge("peers_open"), limits.max_inbound as f64);
    assert!(!harness.inbound.closed.contains(&InboundId(1)));
    // A new connection is still accepted, because the oldest unregistered ones are evicted.
    harness.open_collector(2000, "west");
    harness.receive(2000, HOST_REPORT);
    assert_eq!(harness.counter("reports_heard"), 1);
}

#[test]
fn new_collector_at_the_limit_replaces_only_an_inactive_one() {
    // Given more collectors than allowed, of which the last ones are rejected.
    let max = session_limits().max_collectors as u64;
    let mut harness = Harness::with_bound_proxies();
    for collector in 1..=max + 3 {
        harness.open_collector(collector, "east");
    }
    assert_eq!(harness.gauge("collectors_joined"), max as f64);
    assert_eq!(
        harness.inbound.rejected,
        inbound_ids(&[max + 1, max + 2, max + 3]),
        "registered collectors stay"
    );
    // When the first collector becomes inactive.
    for _ in 0..6 {
        harness.run_for(1000.0);
        for collector in 2..=max {
            harness.receive(collector, HOST_REPORT);
        }
    }
    // Then a new collector replaces it.
    harness.open_collector(100, "east");
    assert_eq!(
        harness.inbound.closed.last(),
        Some(&InboundId(1)),
        "the inactive collector is closed"
    );
    harness.receive(100, HOST_REPORT);
    assert_eq!(harness.gauge("collectors_joined"), max as f64);
}

#[test]
fn report_flood_is_bounded() {
    let mut harness = Harness::with_bound_proxies();
    harness.open_collector(1, "east");
    for _ in 0..20_000 {
        let report = Input::InboundMessage {
            inbound: InboundId(1),
            message: Bytes::from_static(TRAFFIC_REPORT.as_bytes()),
        };
        harness.session.step(harness.now, report);
    }
    assert!(harness.gauge("events_waiting") <= 8192.0);
    assert!(harness.counter("reports_dropped") > 0);
}

#[test]
fn long_messages_are_truncated_in_the_log() {
    let mut harness = Harness::with_bound_proxies();
    harness.open_collector(1, "east");
    let message = format!(r#"{{"@type":"{}"}}"#, "x".repeat(900_000));
    harness.receive(1, &message);
    assert!(harness.log.iter().all(|line| line.len() < 600));
}

#[test]
fn stop_takes_effect_with_a_call_in_flight() {
    let mut harness = Harness::with_bound_proxies();
    harness.relay.outcomes = [CallOutcome::Silence].into();
    harness.drain_host(6, "a1", "east");
    harness.handle(Input::Stop);
    assert!(harness.has_exited);
    let calls = harness.relay.calls.len();
    harness.run_for(1000.0);
    assert_eq!(
        harness.relay.calls.len(),
        calls,
        "no call is sent after the stop"
    );
}

#[test]
fn inputs_within_an_interval_form_one_batch() {
    let mut harness = Harness::with_bound_proxies();
    let before = harness.counter("ticks");
    harness.open_collector(1, "east");
    for _ in 0..50 {
        harness.receive(1, TRAFFIC_REPORT);
        harness.now += 0.05;
    }
    harness.run_for(10.0);
    let batches = harness.counter("ticks") - before;
    assert!(batches <= 2, "{batches}");
}
