//! Routing tables sent over discovery streams, to well-behaved and misbehaving proxies.

use crate::common::{Harness, free_address};
use crate::{
    IS_DELTA, assert_ends_with, config_for_eight_proxies, joined, picks_only, proxy, serving,
};
use rushcourse_grpc_standin::proxy::{Behavior, Proxy, ProxyOptions};
use tonic::Code;

#[tokio::test]
async fn draining_host_is_withdrawn_and_removed_over_grpc() {
    for is_delta in IS_DELTA {
        let (harness, at) = serving("").await;
        let proxy = joined(&harness, at, proxy(3, is_delta)).await;
        assert!(
            proxy.weights("look").values().all(|w| *w == 10_000),
            "{:?}",
            proxy.weights("look")
        );
        assert_eq!(proxy.table("pay").retry_policy, "never");
        harness.set_phase("h-2", "Terminating");
        harness
            .wait_until("withdrawn", || picks_only(&proxy, "h-1"))
            .await;
        harness
            .wait_until("removed", || proxy.table("look").endpoints.len() == 1)
            .await;
        harness
            .wait_for_metric("rushcourse_tables_acknowledged_total", 2.0)
            .await;
        assert_eq!(
            harness.metric("rushcourse_invariant_failures_total").await,
            0.0
        );
    }
}

#[tokio::test]
async fn relay_and_grpc_proxies_hold_equal_tables() {
    // One proxy on each kind of discovery stream, and one at the relay.
    let (harness, at) = serving("").await;
    let (state_of_the_world, delta) = (
        joined(&harness, at, proxy(3, false)).await,
        joined(&harness, at, proxy(4, true)).await,
    );
    harness.relay.join_proxy(0, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(0).len() == 2)
        .await;
    let scaled = || -> Vec<(String, u32)> {
        let weights = harness.relay.endpoints(0).into_iter();
        weights
            .map(|(host, weight)| (host, (weight * 10_000.0).round() as u32))
            .collect()
    };
    let same = || {
        [&state_of_the_world, &delta]
            .iter()
            .all(|proxy| proxy.weights("look").into_iter().collect::<Vec<_>>() == scaled())
    };
    assert!(
        same(),
        "{:?} {:?} {:?}",
        scaled(),
        state_of_the_world.weights("look"),
        delta.weights("look")
    );
    // While the relay is unreachable, a draining host is still withdrawn from proxies on streams.
    harness.relay.set_unreachable(true);
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("withdrawn on streams", || {
            [&state_of_the_world, &delta]
                .iter()
                .all(|proxy| picks_only(proxy, "h-1"))
        })
        .await;
    harness.relay.set_unreachable(false);
    harness
        .wait_until("equal after the relay's return", same)
        .await;
}

#[tokio::test]
async fn misbehaving_proxies_do_not_affect_others() {
    // Proxies that don't read, don't acknowledge, reject all responses, or acknowledge older ones.
    let (harness, at) = serving(", take_within_ms = 1500").await;
    let behaviors = [
        Behavior::ReadsNothing,
        Behavior::IsSilent,
        Behavior::Rejects,
        Behavior::AcknowledgesOlder,
    ];
    let mut bad = Vec::new();
    for (number, behavior) in behaviors.into_iter().enumerate() {
        let options = ProxyOptions {
            behavior,
            ..proxy(number as u32, number % 2 == 0)
        };
        bad.push(Proxy::start(at, options).await.expect("a channel"));
    }
    let good = joined(&harness, at, proxy(6, true)).await;
    harness
        .wait_for_metric("rushcourse_tables_refused_total", 1.0)
        .await;
    // A draining host is withdrawn from the well-behaved proxy and from those that still read responses.
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("the well-behaved proxy is updated", || {
            good.table("look").endpoints.len() == 1
        })
        .await;
    harness
        .wait_until("the silent proxy is updated", || picks_only(&bad[1], "h-1"))
        .await;
    harness
        .wait_until("the last proxy is updated", || picks_only(&bad[3], "h-1"))
        .await;
    assert!(good.status().is_none());
    // Of the five proxies, only the one that doesn't read may have been disconnected.
    assert!(harness.metric("rushcourse_streams_joined").await >= 4.0);
}

#[tokio::test]
async fn proxy_that_switches_protocol_is_reached_over_the_latest() {
    // A proxy joins at the relay, then over a stream.
    let (harness, at) = serving("").await;
    harness.relay.join_proxy(3, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(3).len() == 2)
        .await;
    let on_stream = joined(&harness, at, proxy(3, false)).await;
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("withdrawn", || picks_only(&on_stream, "h-1"))
        .await;
    harness.set_phase("h-2", "Ready");
    harness
        .wait_until("restored", || on_stream.weights("look").len() == 2)
        .await;
    // It joins at the relay again, which ends its stream.
    harness.relay.remove_proxy(3);
    harness.relay.join_proxy(3, "east", 5.0);
    assert_ends_with(&harness, &on_stream, Code::Aborted).await;
    harness
        .wait_until("bound again", || harness.relay.endpoints(3).len() == 2)
        .await;
}

#[tokio::test]
async fn proxies_with_unknown_versions_are_served_after_restart() {
    for is_delta in IS_DELTA {
        let (mut harness, at) = serving("").await;
        let first = joined(&harness, at, proxy(3, is_delta)).await;
        let held = first.held();
        drop(first);
        // A second stream of the same proxy would be rejected before the director has noticed the end of the first.
        harness
            .wait_for_metric("rushcourse_streams_joined", 0.0)
            .await;
        // The proxy reconnects to the same incarnation with the versions that it holds.
        let options = ProxyOptions {
            held,
            ..proxy(3, is_delta)
        };
        let second = Proxy::start(at, options.clone()).await.expect("a channel");
        harness
            .wait_for_metric("rushcourse_streams_joined", 1.0)
            .await;
        harness.set_phase("h-2", "Terminating");
        harness
            .wait_until("withdrawn", || picks_only(&second, "h-1"))
            .await;
        harness.restart().await;
        harness
            .wait_until("its stream ends", || second.status().is_some())
            .await;
        let third = Proxy::start(at, options).await.expect("a channel");
        harness
            .wait_until("sent again", || !third.table("look").endpoints.is_empty())
            .await;
    }
}

#[tokio::test]
async fn director_without_relay_serves_grpc_only() {
    let at = free_address();
    let fronts = format!("grpc(listen = \"{at}\")\nplatform(relay = False)");
    let harness = Harness::start_with(config_for_eight_proxies(), Some(&fronts)).await;
    let proxy = joined(&harness, at, proxy(3, true)).await;
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("removed", || proxy.table("look").endpoints.len() == 1)
        .await;
    assert_eq!(
        harness.relay.total_watch_count(),
        0,
        "the relay is not watched"
    );
}
