//! The example's story over gRPC: two proxies join, one by each kind of stream, a host reports its load, another one
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
const REPORTING_HOST: &str = "127.0.0.1:7801";
const OTHER_HOST: &str = "127.0.0.1:7802";
/// Proxies that the director's settings are to name.
const PROXY_COUNT: u32 = 8;
const JOIN_ATTEMPTS: usize = 100;
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Plays the story around a director of this program, and prints it line by line.
///
/// # Errors
/// Something can't be started, or does not happen in time.
pub async fn play(
    mut config: Value,
    program: &Path,
    print: impl Fn(&str),
) -> Result<(), StandinError> {
    if let Some(count) = config.pointer_mut("/settings/family-info/proxy-count") {
        *count = PROXY_COUNT.into();
    }
    let grpc = GRPC_ADDRESS.parse()?;
    let environment = Environment::start(&config, grpc, program, ", ask_hosts = True").await?;
    let host = ReportingHost::start(REPORTING_HOST.parse()?)
        .await
        .map_err(StandinError::start(REPORTING_HOST))?;
    let discovery = &environment.discovery;
    discovery.set_host("h-1", "east", "Ready", &host.address.to_string(), 0.0);
    discovery.set_host("h-2", "east", "Ready", OTHER_HOST, 0.0);
    print(&format!(
        "relay, discovery and a host that reports its load stand in; a director serves gRPC at {grpc}"
    ));
    let proxies = [join(grpc, 3, false).await?, join(grpc, 4, true).await?];
    wait_until("tables", || {
        proxies.iter().all(|proxy| proxy.weights("look").len() == 2)
    })
    .await
    .map_err(StandinError::wait)?;
    let names = ["relay 3 (state of the world)", "relay 4 (incremental)"];
    for (proxy, name) in proxies.iter().zip(names) {
        print(&format!("{name} is bound: {:?}", proxy.weights("look")));
    }
    wait_until("load reports", || host.stream_count() > 0)
        .await
        .map_err(StandinError::wait)?;
    print("the director asks h-1 for its load");
    drain(&environment, &proxies, print).await
}

/// Drains the other host, and waits until no proxy sends it anything new.
async fn drain(
    environment: &Environment,
    proxies: &[Proxy],
    print: impl Fn(&str),
) -> Result<(), StandinError> {
    let start = Instant::now();
    environment
        .discovery
        .set_host("h-2", "east", "Terminating", OTHER_HOST, 0.0);
    print("discovery says that h-2 is terminating");
    wait_until("the drain", || {
        proxies
            .iter()
            .all(|proxy| proxy.weights("look").keys().eq(["h-1"]))
    })
    .await
    .map_err(StandinError::wait)?;
    print(&format!(
        "neither relay sends it anything new, {} ms later",
        start.elapsed().as_millis()
    ));
    Ok(())
}

/// Joins as soon as the director answers.
async fn join(grpc: SocketAddr, number: u32, is_delta: bool) -> Result<Proxy, StandinError> {
    let id = format!("relay-{number}");
    let options = ProxyOptions::new(&id, "east", &["look", "pay"], is_delta);
    for _ in 0..JOIN_ATTEMPTS {
        if let Ok(proxy) = Proxy::start(grpc, options.clone()).await {
            return Ok(proxy);
        }
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
    Err(StandinError::NoAnswer)
}
