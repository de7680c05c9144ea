//! Tests of a director process with proxies and hosts that use gRPC over loopback sockets. The stand-ins use a
//! library's message types, so that mistakes in the director's own types are noticed.
//!
//! * `discovery.rs`: routing tables on streams. `identity.rs`: identification of proxies.
//! * `reports.rs`: load reports of proxies and hosts. `peers.rs`: clients that violate the protocol.
//! * `reload.rs`: reloads and shutdown. `tls.rs`: certificates.

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

/// The example's configuration with free addresses and eight proxies.
fn config_for_eight_proxies() -> Value {
    let mut config = config();
    *config
        .pointer_mut("/settings/family-info/proxy-count")
        .expect("a field") = 8.into();
    config
}

/// Starts a director that serves gRPC and returns its gRPC address. `arguments` are appended to the `grpc(...)` call of
/// its fronts file.
async fn serving(arguments: &str) -> (Harness, SocketAddr) {
    let at = free_address();
    let fronts = format!("grpc(listen = \"{at}\"{arguments})");
    let harness = Harness::start_with(config_for_eight_proxies(), Some(&fronts)).await;
    (harness, at)
}

/// Options for the proxy with this number.
fn proxy(number: u32, is_delta: bool) -> ProxyOptions {
    proxy_named(&format!("relay-{number}"), is_delta)
}

fn proxy_named(id: &str, is_delta: bool) -> ProxyOptions {
    ProxyOptions::new(id, "east", &["look", "pay"], is_delta)
}

/// Starts a proxy and waits until it holds its tables.
async fn joined(harness: &Harness, at: SocketAddr, options: ProxyOptions) -> Proxy {
    let proxy = Proxy::start(at, options).await.expect("a channel");
    harness
        .wait_until("its tables", || {
            proxy.weights("look").len() == 2 && proxy.weights("pay").len() == 2
        })
        .await;
    proxy
}

/// Whether the proxy sends requests of class `look` only to this host.
fn picks_only(proxy: &Proxy, host: &str) -> bool {
    proxy.weights("look").keys().eq([host])
}

/// Waits for the end of a proxy's stream and asserts its status code.
async fn assert_ends_with(harness: &Harness, proxy: &Proxy, expected: Code) {
    harness
        .wait_until("its stream ends", || proxy.status().is_some())
        .await;
    let status = proxy.status().expect("a status");
    assert_eq!(status.code(), expected, "{status}");
}
