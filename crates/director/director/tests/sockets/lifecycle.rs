//! The director's start, reload and end.

use crate::common::{HOST_ADDRESS, Harness, config, file, free_address, spawn};
use rushcourse_standin::discovery::{Behavior, Discovery};
use rushcourse_standin::relay::Relay;
use serde_json::Value;
use tokio::net::TcpStream;

#[tokio::test]
async fn a_terminated_director_exits_well_whatever_is_under_way() {
    let mut harness = Harness::start_with_bound_proxy().await;
    harness.relay.set_unreachable(true);
    harness.discovery.set_behavior(Behavior::Silent);
    harness.set_phase("h-2", "Terminating");
    let _half = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    harness.terminate();
    assert!(harness.exit_status().await.success());
}

/// Discovery at another address, with both hosts listed.
async fn discovery_elsewhere() -> Discovery {
    let discovery = Discovery::start(free_address())
        .await
        .expect("discovery elsewhere");
    for host in ["h-1", "h-2"] {
        discovery.set_host(host, "east", "Ready", HOST_ADDRESS, 0.0);
    }
    discovery
}

/// How often proxy 0 was bound at the relay.
fn bind_count(harness: &Harness) -> usize {
    let orders = harness.relay.accepted_orders();
    orders.iter().filter(|o| o.starts_with("bind,0,")).count()
}

/// The harness's configuration with other addresses of the relay and of discovery, and one of the director's own that
/// needs a restart.
fn moved_config(harness: &Harness, relay: &Relay, discovery: &Discovery) -> Value {
    let mut config = harness.config.clone();
    config["store"]["address"] = relay.address.to_string().into();
    config["discovery"] = discovery.address.to_string().into();
    config["listen"] = "127.0.0.1:1".into();
    config
}

#[tokio::test]
async fn a_reload_moves_to_new_addresses_and_a_bad_file_changes_nothing() {
    // Given a bound proxy, and bad files that changed nothing.
    let mut harness = Harness::start_with_bound_proxy().await;
    for text in ["", "{\"name\":", "{}"] {
        harness.reload(text);
    }
    harness.wait_for_log("nothing is changed").await;
    harness
        .wait_for_metric("rushcourse_reloads_failed_total", 1.0)
        .await;
    // When the relay and discovery move, with a second signal during the move, which asks for the same again.
    let relay = harness
        .relay
        .listen_at(free_address())
        .await
        .expect("the relay elsewhere");
    let discovery = discovery_elsewhere().await;
    let binds_before = bind_count(&harness);
    harness.reload(&moved_config(&harness, &relay, &discovery).to_string());
    harness.signal("HUP");
    harness
        .wait_for_log("listen has changed: that needs a restart, the old one is kept")
        .await;
    harness
        .wait_until("a watch stands at the new place", || {
            harness.relay.total_watch_count() >= 2
        })
        .await;
    harness
        .wait_until("the old one ends", || harness.relay.watcher_count() == 1)
        .await;
    // Then the new ones count, and nobody is bound anew.
    harness.relay.close();
    harness.discovery.set_behavior(Behavior::Silent);
    discovery.set_host("h-2", "east", "Terminating", HOST_ADDRESS, 0.0);
    harness
        .wait_until("withdrawn", || {
            harness.relay.endpoints(0).keys().eq(["h-1"])
        })
        .await;
    relay.join_proxy(1, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(1).keys().eq(["h-1"]))
        .await;
    assert_eq!(bind_count(&harness), binds_before, "nobody is bound anew");
    for metric in [
        "rushcourse_news_breaks_total",
        "rushcourse_invariant_failures_total",
    ] {
        assert_eq!(harness.metric(metric).await, 0.0, "{metric}");
    }
    harness.signal("HUP");
    harness.terminate();
    assert!(harness.exit_status().await.success());
}

#[tokio::test]
async fn a_restart_under_the_same_name_binds_anew() {
    let mut harness = Harness::start_with_bound_proxy().await;
    harness.child.kill().expect("killed");
    harness.exit_status().await;
    let taken = harness.relay.accepted_orders().len();
    harness.child = spawn(&harness.config_path, &harness.log_path, None);
    harness.wait_for_pong().await;
    harness
        .wait_until("bound", || {
            harness.relay.accepted_orders()[taken..]
                .iter()
                .any(|o| o.starts_with("bind,0,"))
        })
        .await;
    assert_eq!(harness.relay.endpoints(0).len(), 2);
}

#[tokio::test]
async fn the_example_runs_to_its_end() {
    let config = config();
    let (path, log) = (file("config.json", &config.to_string()), file("log", ""));
    let mut child = spawn(&path, &log, None);
    let lines = std::cell::RefCell::new(Vec::new());
    let done = rushcourse_standin::scenario::run(&config, |line| {
        lines.borrow_mut().push(line.to_string())
    })
    .await;
    _ = child.kill();
    _ = child.wait();
    done.unwrap_or_else(|error| {
        panic!(
            "{error}; story: {lines:?}; its log: {:?}",
            std::fs::read_to_string(&log)
        )
    });
    let last = lines.borrow().last().cloned().unwrap_or_default();
    assert!(last.contains("the drain was kept"), "{last}");
}
