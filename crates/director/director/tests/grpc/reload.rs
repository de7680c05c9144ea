//! Reloads of the file of fronts, and the end of the process.

use crate::common::free_address;
use crate::{assert_ends_with, joined, picks_only, proxy, proxy_named, serving};
use tonic::Code;

#[tokio::test]
async fn a_terminated_director_ends_its_streams_and_exits() {
    let (mut harness, at) = serving("").await;
    let proxy = joined(&harness, at, proxy(3, true)).await;
    harness.terminate();
    assert_ends_with(&harness, &proxy, Code::Unavailable).await;
    assert!(harness.exit_status().await.success());
}

#[tokio::test]
async fn a_reload_moves_grpc_make_before_break_and_a_bad_file_changes_nothing() {
    let (harness, at) = serving("").await;
    let old = joined(&harness, at, proxy(3, true)).await;
    let fronts = harness.fronts_path.clone().expect("a file");
    let reload = |text: &str| {
        std::fs::write(&fronts, text).expect("a file");
        harness.signal("HUP");
    };
    // A bad file changes nothing.
    reload("grpc(listen = \"nowhere\")");
    harness
        .wait_for_log("fronts.star:1:1: listen is no address and port")
        .await;
    // Another address and other names: who has joined stays.
    let next = free_address();
    reload(&format!(
        "grpc(listen = \"{next}\", node_prefix = \"edge-\")"
    ));
    harness.wait_for_log(&format!("gRPC on {next}")).await;
    let new = joined(&harness, next, proxy_named("edge-4", true)).await;
    assert!(old.status().is_none(), "who is joined stays");
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("both are served", || {
            [&old, &new].iter().all(|proxy| picks_only(proxy, "h-1"))
        })
        .await;
    // Taken out of the file, gRPC ends.
    reload("# nothing");
    assert_ends_with(&harness, &old, Code::Unavailable).await;
    harness.relay.join_proxy(0, "east", 5.0);
    harness
        .wait_until("the relay is served on", || {
            harness.relay.endpoints(0).len() == 1
        })
        .await;
}
