//! The example's story: a proxy joins, its table arrives, a host drains, and the proxy is moved off it in time.

use crate::collector::{Collector, ping};
use crate::discovery::Discovery;
use crate::hosts;
use crate::relay::Relay;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long each part of the story may take.
const PATIENCE: Duration = Duration::from_secs(30);

fn address(config: &Value, path: &str) -> Result<SocketAddr, String> {
    let text = config.pointer(path).and_then(Value::as_str).unwrap_or("");
    text.parse()
        .map_err(|_| format!("the configuration's {path} is no address: {text:?}"))
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > PATIENCE {
            return Err(format!("waited in vain: {what}"));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Plays the story around a director that runs with this configuration, and tells it line by line.
pub async fn play(config: &Value, tell: impl Fn(&str)) -> Result<(), String> {
    let io = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let director = address(config, "/listen")?;
    let relay = Relay::start(address(config, "/store/address")?)
        .await
        .map_err(io("relay"))?;
    let discovery = Discovery::start(address(config, "/discovery")?)
        .await
        .map_err(io("discovery"))?;
    let zone = config
        .pointer("/settings/zones/0")
        .and_then(Value::as_str)
        .ok_or("the settings name no zone")?;
    let known = config
        .pointer("/known/members")
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default();
    let ids: Vec<String> = known
        .iter()
        .filter_map(|m| m["id"].as_str())
        .map(str::to_string)
        .collect();
    let [first, second] = ids.as_slice() else {
        return Err("the example knows two hosts".into());
    };
    for member in &known {
        let at = member["host_port"]
            .as_str()
            .and_then(|a| a.parse().ok())
            .ok_or("a host without address")?;
        let at = hosts::start(at).await.map_err(io("host"))?;
        discovery.put(
            member["id"].as_str().unwrap_or(""),
            zone,
            "Ready",
            &at.to_string(),
            0.0,
        );
    }
    tell(&format!(
        "relay, discovery and two hosts stand in; waiting for a director at {director}"
    ));
    let start = Instant::now();
    while ping(director).await.is_err() {
        if start.elapsed() > PATIENCE {
            return Err("no director answers a ping".into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tell("the director answers a ping");
    until("the director watches the news", || relay.watchers() > 0).await?;
    let mut collector = Collector::start(director, zone)
        .await
        .map_err(io("collector"))?;
    relay.join(0, zone, 5.0);
    tell("proxy 0 joins");
    until("a table with both hosts", || relay.lines(0).len() == 2).await?;
    tell(&format!(
        "proxy 0 is bound to a table: {:?}",
        relay.lines(0)
    ));
    collector
        .heard(zone, first, 12)
        .await
        .map_err(io("collector"))?;
    discovery.put(second, zone, "Terminating", "127.0.0.1:1", 0.0);
    let told = Instant::now();
    tell(&format!("discovery says that {second} is terminating"));
    until("the withdrawal", || !relay.lines(0).contains_key(second)).await?;
    tell(&format!(
        "proxy 0 sends it nothing new, {} ms later",
        told.elapsed().as_millis()
    ));
    if !relay.lines(0).contains_key(first) {
        return Err(format!("proxy 0 was left without {first}"));
    }
    until("the line leaves", || !relay.names(0, second)).await?;
    tell(&format!(
        "its line has left the table, {} ms later: {:?}",
        told.elapsed().as_millis(),
        relay.lines(0)
    ));
    relay.leave(0);
    tell("proxy 0 leaves; the drain was kept and nobody was without a host");
    Ok(())
}
