//! Start, reload, restart and shutdown of a director.

use crate::common::{HOST_ADDRESS, Harness, config, free_address, spawn_director, write_temp_file};
use rushcourse_standin::discovery::{Behavior, Discovery};
use rushcourse_standin::relay::Relay;
use serde_json::Value;
use tokio::net::TcpStream;

#[tokio::test]
async fn sigterm_exits_successfully_with_pending_work() {
    let mut harness = Harness::start_with_bound_proxy().await;
    harness.relay.set_unreachable(true);
    harness.discovery.set_behavior(Behavior::Silent);
    harness.set_phase("h-2", "Terminating");
    let _half = TcpStream::connect(harness.address)
        .await
        .expect("a connection");
    harness.terminate();
    assert!(harness.wait_for_exit().await.success());
}

/// Starts a second discovery server at another address, with both hosts listed.
async fn start_second_discovery() -> Discovery {
    let discovery = Discovery::start(free_address())
        .await
        .expect("a second discovery server");
    for host in ["h-1", "h-2"] {
        discovery.set_host(host, "east", "Ready", HOST_ADDRESS, 0.0);
    }
    discovery
}

/// Number of accepted orders that bind proxy 0.
fn bind_count(harness: &Harness) -> usize {
    let orders = harness.relay.accepted_orders();
    orders.iter().filter(|o| o.starts_with("bind,0,")).count()
}

/// The harness's configuration with other addresses for the relay and discovery, and another `listen` address, which a
/// reload must ignore.
fn config_with_new_addresses(harness: &Harness, relay: &Relay, discovery: &Discovery) -> Value {
    let mut config = harness.config.clone();
    config["store"]["address"] = relay.address.to_string().into();
    config["discovery"] = discovery.address.to_string().into();
    config["listen"] = "127.0.0.1:1".into();
    config
}

#[tokio::test]
async fn reload_switches_addresses_and_invalid_file_is_ignored() {
    // Invalid files leave the configuration unchanged.
    let mut harness = Harness::start_with_bound_proxy().await;
    for text in ["", "{\"name\":", "{}"] {
        harness.reload(text);
    }
    harness.wait_for_log("nothing is changed").await;
    harness
        .wait_for_metric("rushcourse_reloads_failed_total", 1.0)
        .await;
    // The relay and discovery move to other addresses. A second SIGHUP during the move repeats the same reload.
    let relay = harness
        .relay
        .listen_at(free_address())
        .await
        .expect("a second address of the relay");
    let discovery = start_second_discovery().await;
    let binds_before = bind_count(&harness);
    harness.reload(&config_with_new_addresses(&harness, &relay, &discovery).to_string());
    harness.signal("HUP");
    harness
        .wait_for_log("listen has changed: that needs a restart, the old one is kept")
        .await;
    harness
        .wait_until("the new relay address is watched", || {
            harness.relay.total_watch_count() >= 2
        })
        .await;
    harness
        .wait_until("the old watch ends", || harness.relay.watcher_count() == 1)
        .await;
    // Changes at the new addresses take effect, and the move itself binds no proxy again.
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
    assert_eq!(bind_count(&harness), binds_before, "no new bind order");
    for metric in [
        "rushcourse_news_breaks_total",
        "rushcourse_invariant_failures_total",
    ] {
        assert_eq!(harness.metric(metric).await, 0.0, "{metric}");
    }
    harness.signal("HUP");
    harness.terminate();
    assert!(harness.wait_for_exit().await.success());
}

#[tokio::test]
async fn restarted_director_binds_proxies_again() {
    let mut harness = Harness::start_with_bound_proxy().await;
    harness.child.kill().expect("killed");
    harness.wait_for_exit().await;
    let accepted_before = harness.relay.accepted_orders().len();
    harness.child = spawn_director(&harness.config_path, &harness.log_path, None);
    harness.wait_for_pong().await;
    harness
        .wait_until("bound", || {
            harness.relay.accepted_orders()[accepted_before..]
                .iter()
                .any(|o| o.starts_with("bind,0,"))
        })
        .await;
    assert_eq!(harness.relay.endpoints(0).len(), 2);
}

#[tokio::test]
async fn example_scenario_completes() {
    let config = config();
    let (path, log) = (
        write_temp_file("config.json", &config.to_string()),
        write_temp_file("log", ""),
    );
    let mut child = spawn_director(&path, &log, None);
    let lines = std::cell::RefCell::new(Vec::new());
    let result = rushcourse_standin::scenario::run(&config, |line| {
        lines.borrow_mut().push(line.to_string())
    })
    .await;
    _ = child.kill();
    _ = child.wait();
    result.unwrap_or_else(|error| {
        panic!(
            "{error}; scenario output: {lines:?}; log: {:?}",
            std::fs::read_to_string(&log)
        )
    });
    let last = lines.borrow().last().cloned().unwrap_or_default();
    assert!(last.contains("the drain was kept"), "{last}");
}
