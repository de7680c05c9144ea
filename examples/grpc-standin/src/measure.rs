//! Measures a director's process: from an event to the applied table, bytes and messages a change, memory and processor
//! time, with relays over gRPC or over the platform's protocol, and what a stalled stream costs the others.

use crate::around::Around;
use crate::relay::{Manner, Relay, Start};
use rushcourse_standin::wait::wait_until;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

/// Changes of the list that are timed.
const CHANGES: usize = 10;
/// ms between them: an ordinary relay is not told more often than the cap of messages allows.
const BETWEEN: Duration = Duration::from_millis(3500);

/// Which way the relays come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Platform,
    Whole,
    Delta,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub relays: usize,
    /// ms from the list's change to the moment when a relay picks that host no more: median, 99th percentile, longest.
    pub ms: [f64; 3],
    /// Bytes of tables and messages for each relay and change; none over the platform's protocol, whose bytes go to
    /// the relay once for all.
    pub bytes: Option<f64>,
    pub messages: f64,
    /// KiB resident with all joined, and seconds of processor time for each second that passed.
    pub kib: u64,
    pub cpu: f64,
    /// ms until all had their tables.
    pub joined: f64,
}

fn config(base: &Value, relays: usize, hosts: usize) -> Value {
    let mut config = base.clone();
    for (path, value) in [
        ("/settings/family-info/proxy-count", json!(relays + 8)),
        (
            "/settings/family-info/backlog",
            json!(9000.0 * (1.0 + relays as f64 / 100.0)),
        ),
        (
            "/settings/family-info/push-rate",
            json!(4500.0 * (1.0 + relays as f64 / 100.0)),
        ),
        ("/limits/memory_mb", json!(4096)),
        ("/limits/sockets", json!(20_000)),
    ] {
        if let Some(field) = config.pointer_mut(path) {
            *field = value;
        }
    }
    let member = |k: usize| {
        json!({"id": format!("h-{k}"), "host_port": format!("127.0.0.1:{}", 9000 + k), "locality": "east",
        "flavor": "toy", "cell": 0, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
    };
    config["known"]["members"] = (0..hosts).map(member).collect();
    config
}

fn at(sorted: &[f64], part: f64) -> f64 {
    let k = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(k - 1).copied().unwrap_or(0.0)
}

/// One run with so many relays, of which the first `stalled` read nothing.
pub async fn run(
    base: &Value,
    program: &Path,
    way: Way,
    relays: usize,
    stalled: usize,
) -> Result<Figures, String> {
    const HOSTS: usize = 20;
    let config = config(base, relays + stalled, HOSTS);
    let grpc = "127.0.0.1:7900".parse().map_err(|e| format!("{e}"))?;
    let around = Around::start(&config, grpc, program, ", take_within_ms = 600000").await?;
    let host = |k: usize, phase: &str| {
        around.discovery.set_host(
            &format!("h-{k}"),
            "east",
            phase,
            &format!("127.0.0.1:{}", 9000 + k),
            0.0,
        )
    };
    (0..HOSTS).for_each(|k| host(k, "Ready"));
    wait_until("the director watches", || around.relay.watcher_count() > 0).await?;
    let begun = Instant::now();
    let mut joined = Vec::new();
    if way == Way::Platform {
        (0..relays).for_each(|k| around.relay.join_proxy(k as u32, "east", 5.0));
        wait_until("bound", || {
            (0..relays).all(|k| around.relay.endpoints(k as u32).len() == HOSTS)
        })
        .await?;
    } else {
        for k in 0..relays + stalled {
            let mut start = Start::new(
                &format!("relay-{k}"),
                "east",
                &["look", "pay"],
                way == Way::Delta,
            );
            start.manner = if k < stalled {
                Manner::ReadsNothing
            } else {
                Manner::Acknowledges
            };
            joined.push(Relay::start(grpc, start).await?);
        }
        let good = || {
            joined[stalled..]
                .iter()
                .all(|r| r.lines("look").len() == HOSTS)
        };
        wait_until("bound", good).await?;
    }
    let mut figures = Figures {
        relays,
        joined: begun.elapsed().as_secs_f64() * 1000.0,
        ..Figures::default()
    };
    tokio::time::sleep(Duration::from_secs(12)).await;
    let good = &joined[stalled.min(joined.len())..];
    let sums = || {
        let of = |f: fn(&Relay) -> usize| good.iter().map(f).sum::<usize>();
        (of(Relay::bytes), of(Relay::responses))
    };
    let (before, used, since) = (sums(), around.used(), Instant::now());
    let mut ms = Vec::new();
    for k in 0..CHANGES {
        let (id, told) = (format!("h-{}", k % HOSTS), Instant::now());
        host(k % HOSTS, "Terminating");
        let mut left: Vec<usize> = (0..relays).collect();
        while !left.is_empty() {
            left.retain(|r| {
                let has = match way {
                    Way::Platform => around.relay.endpoints(*r as u32).contains_key(&id),
                    _ => good[*r].lines("look").contains_key(&id),
                };
                if !has {
                    ms.push(told.elapsed().as_secs_f64() * 1000.0);
                }
                has
            });
            if told.elapsed() > Duration::from_secs(20) {
                return Err(format!("{} relays still pick {id}", left.len()));
            }
            tokio::time::sleep(Duration::from_micros(500)).await;
        }
        tokio::time::sleep(BETWEEN / 2).await;
        host(k % HOSTS, "Ready");
        tokio::time::sleep(BETWEEN / 2).await;
    }
    ms.sort_by(f64::total_cmp);
    figures.ms = [at(&ms, 0.5), at(&ms, 0.99), at(&ms, 1.0)];
    let (after, changes) = (sums(), (CHANGES * relays) as f64);
    if way != Way::Platform {
        figures.bytes = Some((after.0 - before.0) as f64 / changes);
        figures.messages = (after.1 - before.1) as f64 / changes;
    }
    if let (Some(before), Some(after)) = (used, around.used()) {
        figures.cpu = (after.0 - before.0) / since.elapsed().as_secs_f64();
        figures.kib = after.1;
    }
    Ok(figures)
}

pub fn row(way: Way, stalled: usize, f: &Figures) -> String {
    let bytes = f.bytes.map_or("-".to_string(), |b| format!("{b:.0}"));
    let messages = if f.bytes.is_some() {
        format!("{:.1}", f.messages)
    } else {
        "-".into()
    };
    format!(
        "| {way:?} | {} | {stalled} | {:.0} | {:.1} / {:.1} / {:.1} | {bytes} | {messages} | {:.1} | {:.3} |",
        f.relays,
        f.joined,
        f.ms[0],
        f.ms[1],
        f.ms[2],
        f.kib as f64 / 1024.0,
        f.cpu
    )
}
