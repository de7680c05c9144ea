//! Lifecycle of streams: opening, identification, replacement and end.

mod common;

use common::{Harness, LIMITS, set_weight};
use rushcourse_policy::interface::{Channel, Event};
use rushcourse_xds::{DiscoveryRequest, StatusCode, StreamKind};

#[test]
fn rejected_streams_get_a_status_and_joined_streams_are_kept() {
    let mut harness = Harness::new();
    harness.join(1, 3, StreamKind::StateOfTheWorld);
    harness.open(2, 2, StreamKind::StateOfTheWorld);
    harness.discovery_request(2, DiscoveryRequest::default());
    assert_eq!(harness.ended, [(2, StatusCode::InvalidArgument)]);
    harness.open(3, 3, StreamKind::Delta);
    harness.first_request(3, 3, StreamKind::Delta);
    assert_eq!(
        harness.ended,
        [(3, StatusCode::AlreadyExists)],
        "proxy 3 has an active stream"
    );
    harness.open(4, 4, StreamKind::StateOfTheWorld);
    harness.advance_time(1300.0);
    assert_eq!(harness.ended, [(4, StatusCode::DeadlineExceeded)]);
    for stream in 10..40 {
        harness.open(stream, stream, StreamKind::StateOfTheWorld);
    }
    assert_eq!(
        harness.gauge("streams_strange"),
        LIMITS.max_unidentified as f64
    );
    harness.bind(1, &[3]);
    assert_eq!(
        harness.responses.len(),
        1,
        "the joined proxy is still served"
    );
}

#[test]
fn reconnecting_proxy_replaces_a_stream_that_was_lost_unnoticed() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    harness.now += 3000.0;
    harness.open(2, 2, StreamKind::StateOfTheWorld);
    harness.first_request(2, 3, StreamKind::StateOfTheWorld);
    assert_eq!(harness.ended, [(1, StatusCode::Aborted)]);
    assert!(
        matches!(harness.events[..], [Event::ProxyJoined { proxy: 3, .. }]),
        "the proxy must not leave: {:?}",
        harness.events
    );
    harness.close(1, "reset");
    assert!(
        harness.events.is_empty(),
        "the end of the replaced stream has no effect"
    );
    harness.bind(2, &[3]);
    assert_eq!(harness.responses[0].0, 2);
}

#[test]
fn stream_that_accepts_no_response_times_out_and_its_proxy_leaves() {
    let mut harness = Harness::new();
    harness.join(1, 3, StreamKind::StateOfTheWorld);
    harness.accepts_responses = false;
    harness.bind(1, &[3]);
    harness.advance_time(9900.0);
    assert!(harness.ended.is_empty());
    harness.advance_time(200.0);
    assert_eq!(harness.ended, [(1, StatusCode::Unavailable)]);
    assert!(
        matches!(
            harness.events[..],
            [Event::ProxyLeft {
                proxy: 3,
                channel: Channel::Dedicated
            }]
        ),
        "{:?}",
        harness.events
    );
}

#[test]
fn stalled_stream_does_not_delay_other_streams() {
    let mut harness = Harness::new();
    harness.accepts_responses = false;
    for proxy in 0..6 {
        harness.join(u64::from(proxy) + 1, proxy, StreamKind::Delta);
    }
    harness.bind(1, &[0, 1, 2, 3, 4, 5]);
    // Stream 1 never reads its response; the others read and acknowledge each one.
    for round in 2..12 {
        for stream in 2..=6 {
            harness.accept_response(stream);
            harness.ack(stream, StreamKind::Delta, &(round - 1).to_string());
            assert_eq!(
                harness.acknowledged(),
                [(stream as u32 - 1, round as u16 - 1)]
            );
        }
        harness.now += 300.0;
        harness.apply(round as u16, vec![set_weight("a1", round as f64)]);
        let served: Vec<u64> = harness
            .responses
            .iter()
            .map(|(stream, _)| *stream)
            .collect();
        assert_eq!(served, [2, 3, 4, 5, 6]);
    }
}
