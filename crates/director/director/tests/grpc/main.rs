//! The director's process with proxies and hosts over gRPC, on loopback sockets, with stand-ins that misbehave. The
//! stand-ins' messages are a library's, not the director's own.
//!
//! * `discovery.rs`: tables on streams. `identity.rs`: who is served.
//! * `reports.rs`: load reports of proxies and hosts. `peers.rs`: peers that keep to no protocol.
//! * `reload.rs`: reloads and the end. `tls.rs`: certificates.

#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod identity;
mod peers;
mod reload;
mod reports;
mod tls;

use common::{Harness, config, free_address};
use rushcourse_grpc_standin::proxy::{Proxy, ProxyOptions};
use serde_json::Value;
use std::net::SocketAddr;
use tonic::Code;

/// Both kinds of discovery streams: state of the world, and delta.
const IS_DELTA: [bool; 2] = [false, true];

/// The example with room for eight proxies.
fn config_for_eight_proxies() -> Value {
    let mut config = config();
    *config
        .pointer_mut("/settings/family-info/proxy-count")
        .expect("a field") = 8.into();
    config
}

/// A director that serves gRPC, and where; `arguments` go into the call of `grpc`.
async fn serving(arguments: &str) -> (Harness, SocketAddr) {
    let at = free_address();
    let fronts = format!("grpc(listen = \"{at}\"{arguments})");
    let harness = Harness::start_with(config_for_eight_proxies(), Some(&fronts)).await;
    (harness, at)
}

/// The options of a proxy by its number.
fn proxy(number: u32, is_delta: bool) -> ProxyOptions {
    proxy_named(&format!("relay-{number}"), is_delta)
}

fn proxy_named(id: &str, is_delta: bool) -> ProxyOptions {
    ProxyOptions::new(id, "east", &["look", "pay"], is_delta)
}

/// A proxy that has joined and holds its tables.
async fn joined(harness: &Harness, at: SocketAddr, options: ProxyOptions) -> Proxy {
    let proxy = Proxy::start(at, options).await.expect("a channel");
    harness
        .wait_until("its tables", || {
            proxy.weights("look").len() == 2 && proxy.weights("pay").len() == 2
        })
        .await;
    proxy
}

/// Whether a proxy picks this host alone.
fn picks_only(proxy: &Proxy, host: &str) -> bool {
    proxy.weights("look").keys().eq([host])
}

/// Waits for the end of a proxy's stream, which has to have this status.
async fn assert_ends_with(harness: &Harness, proxy: &Proxy, expected: Code) {
    harness
        .wait_until("its stream ends", || proxy.status().is_some())
        .await;
    let status = proxy.status().expect("a status");
    assert_eq!(status.code(), expected, "{status}");
}
