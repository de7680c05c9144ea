//! Example scenario over gRPC: two proxies join, one on each kind of stream, a host reports its load, and another host
//! drains.

use crate::environment::Environment;
use crate::error::StandinError;
use crate::host::ReportingHost;
use crate::proxy::{Proxy, ProxyOptions};
use rushcourse_standin::wait::wait_until;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const GRPC_ADDRESS: &str = "127.0.0.1:7900";
const REPORTING_HOST_ADDRESS: &str = "127.0.0.1:7801";
const DRAINED_HOST_ADDRESS: &str = "127.0.0.1:7802";
/// Value of `proxy-count` in the director's settings.
const PROXY_COUNT: u32 = 8;
const MAX_JOIN_ATTEMPTS: usize = 100;
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs the scenario with a director started from `program`. `print` receives a line of text for each step.
///
/// # Errors
/// Returns an error if a stand-in or the director can't be started, or a step does not complete in time.
pub async fn run(
    mut config: Value,
    program: &Path,
    print: impl Fn(&str),
) -> Result<(), StandinError> {
    if let Some(count) = config.pointer_mut("/settings/family-info/proxy-count") {
        *count = PROXY_COUNT.into();
    }
    let grpc = GRPC_ADDRESS.parse()?;
    let environment = Environment::start(&config, grpc, program, ", ask_hosts = True").await?;
    let host = ReportingHost::start(REPORTING_HOST_ADDRESS.parse()?)
        .await
        .map_err(StandinError::start(REPORTING_HOST_ADDRESS))?;
    let discovery = &environment.discovery;
    discovery.set_host("h-1", "east", "Ready", &host.address.to_string(), 0.0);
    discovery.set_host("h-2", "east", "Ready", DRAINED_HOST_ADDRESS, 0.0);
    print(&format!(
        "relay, discovery and a host that reports its load stand in; a director serves gRPC at {grpc}"
    ));
    let proxies = [join(grpc, 3, false).await?, join(grpc, 4, true).await?];
    wait_until("tables", || {
        proxies.iter().all(|proxy| proxy.weights("look").len() == 2)
    })
    .await
    .map_err(StandinError::timeout)?;
    let names = ["relay 3 (state of the world)", "relay 4 (incremental)"];
    for (proxy, name) in proxies.iter().zip(names) {
        print(&format!("{name} is bound: {:?}", proxy.weights("look")));
    }
    wait_until("load reports", || host.stream_count() > 0)
        .await
        .map_err(StandinError::timeout)?;
    print("the director asks h-1 for its load");
    drain(&environment, &proxies, print).await
}

/// Drains host `h-2` and waits until no proxy selects it.
async fn drain(
    environment: &Environment,
    proxies: &[Proxy],
    print: impl Fn(&str),
) -> Result<(), StandinError> {
    let start = Instant::now();
    environment
        .discovery
        .set_host("h-2", "east", "Terminating", DRAINED_HOST_ADDRESS, 0.0);
    print("discovery says that h-2 is terminating");
    wait_until("the drain", || {
        proxies
            .iter()
            .all(|proxy| proxy.weights("look").keys().eq(["h-1"]))
    })
    .await
    .map_err(StandinError::timeout)?;
    print(&format!(
        "neither relay sends it anything new, {} ms later",
        start.elapsed().as_millis()
    ));
    Ok(())
}

/// Joins as a proxy, retrying until the director accepts the connection.
async fn join(grpc: SocketAddr, number: u32, is_delta: bool) -> Result<Proxy, StandinError> {
    let id = format!("relay-{number}");
    let options = ProxyOptions::new(&id, "east", &["look", "pay"], is_delta);
    for _ in 0..MAX_JOIN_ATTEMPTS {
        if let Ok(proxy) = Proxy::start(grpc, options.clone()).await {
            return Ok(proxy);
        }
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
    Err(StandinError::NotResponding)
}
