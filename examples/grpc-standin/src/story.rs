//! The example's story over gRPC: two relays join, one of each kind, a host reports its load, another one drains.

use crate::around::Around;
use crate::host::Host;
use crate::relay::{Relay, Start};
use rushcourse_standin::wait::wait_until;
use serde_json::Value;
use std::path::Path;
use std::time::Instant;

pub async fn play(mut config: Value, program: &Path, tell: impl Fn(&str)) -> Result<(), String> {
    if let Some(count) = config.pointer_mut("/settings/family-info/proxy-count") {
        *count = 8.into();
    }
    let grpc = "127.0.0.1:7900".parse().map_err(|e| format!("{e}"))?;
    let around = Around::start(&config, grpc, program, ", ask_hosts = True").await?;
    let host = Host::start("127.0.0.1:7801".parse().map_err(|e| format!("{e}"))?)
        .await
        .map_err(|e| e.to_string())?;
    around
        .discovery
        .set_host("h-1", "east", "Ready", &host.address.to_string(), 0.0);
    around
        .discovery
        .set_host("h-2", "east", "Ready", "127.0.0.1:7802", 0.0);
    tell(&format!(
        "relay, discovery and a host that reports its load stand in; a director serves gRPC at {grpc}"
    ));
    let join = |number: u32, delta: bool| async move {
        let start = Start::new(&format!("relay-{number}"), "east", &["look", "pay"], delta);
        for _ in 0..100 {
            match Relay::start(grpc, start.clone()).await {
                Ok(relay) => return Ok(relay),
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
            }
        }
        Err("the director does not answer".to_string())
    };
    let (whole, delta) = (join(3, false).await?, join(4, true).await?);
    wait_until("tables", || {
        whole.lines("look").len() == 2 && delta.lines("look").len() == 2
    })
    .await?;
    tell(&format!(
        "relay 3 (state of the world) is bound: {:?}",
        whole.lines("look")
    ));
    tell(&format!(
        "relay 4 (incremental) is bound: {:?}",
        delta.lines("look")
    ));
    wait_until("load reports", || host.streams() > 0).await?;
    tell("the director asks h-1 for its load");
    let told = Instant::now();
    around
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:7802", 0.0);
    tell("discovery says that h-2 is terminating");
    wait_until("the drain", || {
        [&whole, &delta]
            .iter()
            .all(|r| r.lines("look").keys().eq(["h-1"]))
    })
    .await?;
    tell(&format!(
        "neither relay sends it anything new, {} ms later",
        told.elapsed().as_millis()
    ));
    Ok(())
}
