//! Reloads of the fronts file, and shutdown.

use crate::common::free_address;
use crate::{assert_ends_with, joined, picks_only, proxy, proxy_named, serving};
use tonic::Code;

#[tokio::test]
async fn sigterm_ends_streams_and_exits() {
    let (mut harness, at) = serving("").await;
    let proxy = joined(&harness, at, proxy(3, true)).await;
    harness.terminate();
    assert_ends_with(&harness, &proxy, Code::Unavailable).await;
    assert!(harness.wait_for_exit().await.success());
}

#[tokio::test]
async fn reload_moves_grpc_without_closing_streams() {
    let (harness, at) = serving("").await;
    let old = joined(&harness, at, proxy(3, true)).await;
    let fronts = harness.fronts_path.clone().expect("a file");
    let reload = |text: &str| {
        std::fs::write(&fronts, text).expect("a file");
        harness.signal("HUP");
    };
    // An invalid file leaves gRPC unchanged.
    reload("grpc(listen = \"nowhere\")");
    harness
        .wait_for_log("fronts.star:1:1: listen is no address and port")
        .await;
    // After a change of the address and the node prefix, the joined proxy keeps its stream.
    let next = free_address();
    reload(&format!(
        "grpc(listen = \"{next}\", node_prefix = \"edge-\")"
    ));
    harness.wait_for_log(&format!("gRPC on {next}")).await;
    let new = joined(&harness, next, proxy_named("edge-4", true)).await;
    assert!(old.status().is_none(), "the old stream stays open");
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("both proxies are updated", || {
            [&old, &new].iter().all(|proxy| picks_only(proxy, "h-1"))
        })
        .await;
    // gRPC ends once it is removed from the file.
    reload("# nothing");
    assert_ends_with(&harness, &old, Code::Unavailable).await;
    harness.relay.join_proxy(0, "east", 5.0);
    harness
        .wait_until("proxies at the relay are still served", || {
            harness.relay.endpoints(0).len() == 1
        })
        .await;
}
