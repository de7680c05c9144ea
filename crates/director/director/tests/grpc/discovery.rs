//! Tables on streams of proxies, well-behaved or not.

use crate::common::{Harness, free_address};
use crate::{
    IS_DELTA, assert_ends_with, config_for_eight_proxies, joined, picks_only, proxy, serving,
};
use rushcourse_grpc_standin::proxy::{Behavior, Proxy, ProxyOptions};
use tonic::Code;

#[tokio::test]
async fn a_proxy_is_bound_over_grpc_and_a_drain_is_kept() {
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
async fn proxies_on_both_protocols_hold_the_same_tables_at_once() {
    // Given a proxy on each kind of stream, and one at the relay.
    let (harness, at) = serving("").await;
    let (whole, delta) = (
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
        [&whole, &delta]
            .iter()
            .all(|proxy| proxy.weights("look").into_iter().collect::<Vec<_>>() == scaled())
    };
    assert!(
        same(),
        "{:?} {:?} {:?}",
        scaled(),
        whole.weights("look"),
        delta.weights("look")
    );
    // When the relay is silent and a host drains, then no proxy on a stream waits for the relay.
    harness.relay.set_unreachable(true);
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("withdrawn on streams", || {
            [&whole, &delta]
                .iter()
                .all(|proxy| picks_only(proxy, "h-1"))
        })
        .await;
    harness.relay.set_unreachable(false);
    harness.wait_until("the same once it is back", same).await;
}

#[tokio::test]
async fn proxies_that_misbehave_cost_the_others_nothing() {
    // Given proxies that read nothing, answer nothing, reject all, or answer older responses.
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
    // When a host drains, then the good one is served, and so are those that read.
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("the good one is served", || {
            good.table("look").endpoints.len() == 1
        })
        .await;
    harness
        .wait_until("silent, and served", || picks_only(&bad[1], "h-1"))
        .await;
    harness
        .wait_until("older, and served", || picks_only(&bad[3], "h-1"))
        .await;
    assert!(good.status().is_none());
    // What a proxy has not read is one response at most.
    assert!(harness.metric("rushcourse_streams_joined").await >= 4.0);
}

#[tokio::test]
async fn a_proxy_that_changes_protocol_without_leaving_is_reached_the_newest_way() {
    // Given a proxy that has joined at the relay, and then by a stream.
    let (harness, at) = serving("").await;
    harness.relay.join_proxy(3, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(3).len() == 2)
        .await;
    let on_stream = joined(&harness, at, proxy(3, false)).await;
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("by the stream", || picks_only(&on_stream, "h-1"))
        .await;
    harness.set_phase("h-2", "Ready");
    harness
        .wait_until("let back", || on_stream.weights("look").len() == 2)
        .await;
    // When the relay says that it has joined there, then that is newer.
    harness.relay.remove_proxy(3);
    harness.relay.join_proxy(3, "east", 5.0);
    assert_ends_with(&harness, &on_stream, Code::Aborted).await;
    harness
        .wait_until("bound there", || harness.relay.endpoints(3).len() == 2)
        .await;
}

#[tokio::test]
async fn proxies_reconnect_to_a_restarted_director_with_versions_it_never_gave() {
    for is_delta in IS_DELTA {
        let (mut harness, at) = serving("").await;
        let first = joined(&harness, at, proxy(3, is_delta)).await;
        let held = first.held();
        drop(first);
        // While the first stream counts, one of the same proxy beside it is rejected.
        harness
            .wait_for_metric("rushcourse_streams_joined", 0.0)
            .await;
        // The same incarnation: what it holds is right, and nothing is sent.
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
            .wait_until("served", || picks_only(&second, "h-1"))
            .await;
        harness.restart().await;
        harness
            .wait_until("its stream ends", || second.status().is_some())
            .await;
        let third = Proxy::start(at, options).await.expect("a channel");
        harness
            .wait_until("all anew", || !third.table("look").endpoints.is_empty())
            .await;
    }
}

#[tokio::test]
async fn an_install_without_the_platforms_relay_serves_streams_alone() {
    let at = free_address();
    let fronts = format!("grpc(listen = \"{at}\")\nplatform(relay = False)");
    let harness = Harness::start_with(config_for_eight_proxies(), Some(&fronts)).await;
    let proxy = joined(&harness, at, proxy(3, true)).await;
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("served", || proxy.table("look").endpoints.len() == 1)
        .await;
    assert_eq!(
        harness.relay.total_watch_count(),
        0,
        "nobody asked the relay"
    );
}
