//! Proxies reached by the relay and by xDS streams: the latest join selects the channel, and events of the other channel do
//! not affect it.

mod common;

use common::harness::{Harness, stream_config};
use common::platform::settings;
use rushcourse_director_state::{Input, RelayLink};
use rushcourse_xds::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, ConnectionId, DiscoveryRequest, Effect, Node, Request,
    Response, StatusCode, StreamId, StreamKind,
};

/// Creates a session that serves streams, with one bound proxy of each zone at the relay.
fn with_both_channels() -> Harness {
    let mut harness = Harness::with(settings(), Some(stream_config()));
    harness.stream_config = Some(stream_config());
    harness.start();
    harness.join_two_proxies();
    harness.relay.joined = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    harness
}

/// Opens a stream on which a proxy identifies itself and subscribes to a request class.
fn open_stream(harness: &mut Harness, stream: u64, proxy: u32) {
    harness.handle(Input::Stream(rushcourse_xds::Input::StreamOpened {
        stream: StreamId(stream),
        connection: ConnectionId(stream),
        kind: StreamKind::StateOfTheWorld,
        peer: "127.0.0.1:9".to_string(),
    }));
    let node = Node {
        id: format!("relay-{proxy}"),
        zone: "east".into(),
        rate: Some(5.0),
    };
    let request = DiscoveryRequest {
        node: Some(node),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        resource_names: vec!["look".into()],
        ..DiscoveryRequest::default()
    };
    harness.handle(Input::Stream(rushcourse_xds::Input::RequestReceived {
        stream: StreamId(stream),
        request: Request::Discovery(request),
    }));
}

/// Reports that the transport accepted the latest response on a stream.
fn accept_response(harness: &mut Harness, stream: u64) {
    harness.handle(Input::Stream(rushcourse_xds::Input::ResponseAccepted {
        stream: StreamId(stream),
    }));
}

/// Removes the recorded effects; returns the hosts that are not draining of each response to a stream.
fn drain_responses(harness: &mut Harness, to: u64) -> Vec<Vec<String>> {
    let mut responses = Vec::new();
    for effect in std::mem::take(&mut harness.stream_effects) {
        if let Effect::SendResponse {
            stream,
            response: Response::Discovery(response),
        } = effect
            && stream == StreamId(to)
        {
            let endpoints = response
                .resources
                .iter()
                .flat_map(|resource| &resource.assignment.localities)
                .flat_map(|locality| &locality.endpoints);
            responses.push(
                endpoints
                    .filter(|endpoint| !endpoint.draining)
                    .map(|endpoint| endpoint.host.to_string())
                    .collect(),
            );
        }
    }
    responses
}

/// Whether a stream was ended with this status, or with any status if `None`.
fn is_ended(harness: &Harness, ended: u64, status: Option<StatusCode>) -> bool {
    harness.stream_effects.iter().any(|effect| {
        matches!(effect, Effect::EndStream { stream, status: code, .. }
            if *stream == StreamId(ended) && status.is_none_or(|status| status == *code))
    })
}

#[test]
fn proxy_with_a_stream_is_no_longer_served_by_the_relay() {
    // Given a proxy that joined at the relay and opens a stream.
    let mut harness = with_both_channels();
    open_stream(&mut harness, 7, 1);
    harness.run_for(300.0);
    assert_eq!(
        drain_responses(&mut harness, 7).len(),
        1,
        "the stream is sent its tables"
    );
    accept_response(&mut harness, 7);
    // When a host drains, then the update is sent on the stream at once, and not by the relay.
    let before = harness.relay.calls.len();
    harness.drain_host(6, "a1", "east");
    harness.run_for(20.0);
    assert_eq!(drain_responses(&mut harness, 7), [["a2", "b1", "b2"]]);
    harness.run_for(3000.0);
    assert_eq!(harness.relay.bind_count(before, 1), 0);
    // The end of the proxy's earlier connection to the relay does not affect the stream.
    harness.notify("* left 1");
    harness.run_for(300.0);
    assert_eq!(harness.gauge("streams_joined"), 1.0);
    accept_response(&mut harness, 7);
    harness.drain_host(7, "b1", "west");
    harness.run_for(20.0);
    let responses = drain_responses(&mut harness, 7);
    assert_eq!(
        responses.last().expect("the stream is still served"),
        &["a2", "b2"]
    );
}

#[test]
fn proxy_is_rebound_at_the_relay_after_its_stream_ends() {
    let mut harness = with_both_channels();
    open_stream(&mut harness, 7, 1);
    harness.run_for(300.0);
    let before = harness.relay.calls.len();
    harness.handle(Input::Stream(rushcourse_xds::Input::StreamClosed {
        stream: StreamId(7),
        reason: "reset".into(),
    }));
    harness.run_for(300.0);
    assert_eq!(
        harness.relay.bind_count(before, 1),
        1,
        "{:?}",
        harness.relay.orders_from(before)
    );
}

#[test]
fn watch_snapshot_does_not_supersede_a_stream() {
    // Given a proxy that has joined on a stream.
    let mut harness = with_both_channels();
    open_stream(&mut harness, 7, 1);
    harness.run_for(1000.0);
    let before = harness.relay.calls.len();
    // When the watch is lost for a while and the relay still announces proxy 1.
    harness.relay.is_reachable = false;
    harness.disconnect(RelayLink::Watch);
    harness.run_for(2000.0);
    harness.relay.is_reachable = true;
    harness.run_for(2000.0);
    // Then the proxy is still reached by its stream.
    assert_eq!(harness.gauge("streams_joined"), 1.0);
    assert_eq!(
        harness.relay.bind_count(before, 1),
        0,
        "the proxy is not rebound at the relay: {:?}",
        harness.relay.orders_from(before)
    );
    assert_eq!(
        harness.relay.bind_count(before, 2),
        1,
        "a proxy that may have rejoined unnoticed is rebound"
    );
}

#[test]
fn later_join_at_the_relay_ends_the_stream() {
    let mut harness = with_both_channels();
    open_stream(&mut harness, 7, 1);
    harness.run_for(300.0);
    harness.notify("* left 1");
    harness.notify("* joined 1 east 5.0 1");
    let before = harness.relay.calls.len();
    harness.run_for(300.0);
    assert!(
        is_ended(&harness, 7, Some(StatusCode::Aborted)),
        "{:?}",
        harness.stream_effects
    );
    assert_eq!(harness.gauge("streams_joined"), 0.0);
    assert_eq!(harness.relay.bind_count(before, 1), 1);
}

#[test]
fn reload_enables_and_disables_streams() {
    // Given a session without streams.
    let mut harness = Harness::with_bound_proxies();
    open_stream(&mut harness, 7, 3);
    assert!(harness.stream_effects.is_empty(), "streams are not served");
    // When a reload enables them, then they are served.
    harness.stream_config = Some(stream_config());
    harness.handle(Input::ReloadRequested);
    open_stream(&mut harness, 8, 3);
    harness.run_for(300.0);
    assert_eq!(drain_responses(&mut harness, 8).len(), 1);
    // When a reload disables them, then they end and the proxy is reached by the relay only.
    harness.stream_config = None;
    harness.handle(Input::ReloadRequested);
    harness.run_for(300.0);
    assert!(is_ended(&harness, 8, None));
    let before = harness.relay.calls.len();
    harness.notify("* joined 3 east 5.0 1");
    harness.run_for(300.0);
    assert_eq!(harness.relay.bind_count(before, 3), 1);
}

#[test]
fn stop_ends_all_streams_with_a_status() {
    let mut harness = with_both_channels();
    open_stream(&mut harness, 7, 1);
    harness.handle(Input::Stop);
    assert!(harness.has_exited);
    assert!(is_ended(&harness, 7, Some(StatusCode::Unavailable)));
}
