//! Measures a director's process: from an event to the applied table, bytes and messages a change, memory and processor
//! time, with proxies over gRPC or over the platform's protocol, and what a stalled stream costs the others.

use crate::environment::Environment;
use crate::error::StandinError;
use crate::proxy::{Behavior, Proxy, ProxyOptions};
use rushcourse_standin::wait::wait_until;
use serde_json::{Value, json};
use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

const GRPC_ADDRESS: &str = "127.0.0.1:7900";
const HOST_COUNT: usize = 20;
/// Changes of the list that are timed.
const CHANGES: usize = 10;
/// Between them: an ordinary proxy is not sent messages more often than the cap allows.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3500);
/// From the joining of all to the first change.
const SETTLE_DELAY: Duration = Duration::from_secs(12);
/// For all proxies to follow a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// How proxies are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// By the platform's relay.
    Platform,
    /// By state-of-the-world streams.
    StateOfTheWorld,
    /// By delta streams.
    Delta,
}

impl Protocol {
    /// All of them, in the order of the rows.
    pub const ALL: [Protocol; 3] = [
        Protocol::Platform,
        Protocol::StateOfTheWorld,
        Protocol::Delta,
    ];

    /// What the command line calls it.
    pub fn argument(self) -> &'static str {
        match self {
            Protocol::Platform => "platform",
            Protocol::StateOfTheWorld => "whole",
            Protocol::Delta => "delta",
        }
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Protocol::Platform => "Platform",
            Protocol::StateOfTheWorld => "Whole",
            Protocol::Delta => "Delta",
        })
    }
}

/// Times in ms, from the list's change to the moment when a proxy picks the host no more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latencies {
    median: f64,
    p99: f64,
    max: f64,
}

impl Latencies {
    fn of(mut samples: Vec<f64>) -> Latencies {
        samples.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let rank = (samples.len() as f64 * share).ceil() as usize;
            let index = rank.clamp(1, samples.len().max(1)) - 1;
            samples.get(index).copied().unwrap_or(0.0)
        };
        Latencies {
            median: quantile(0.5),
            p99: quantile(0.99),
            max: quantile(1.0),
        }
    }
}

/// What each change costs for each proxy. Over the platform's protocol the bytes go to the relay once for all.
#[derive(Clone, Copy, Debug)]
pub struct StreamCosts {
    bytes: f64,
    messages: f64,
}

/// What was measured in one run.
#[derive(Clone, Debug)]
pub struct Measurement {
    protocol: Protocol,
    proxy_count: usize,
    stalled_count: usize,
    /// ms until all had their tables.
    join_time: f64,
    latencies: Latencies,
    stream_costs: Option<StreamCosts>,
    /// KiB resident at the end, and seconds of processor time for each second that passed.
    resident_kib: u64,
    cpu_share: f64,
}

/// The head of a table of measurements.
pub const TABLE_HEAD: &str = "| way | relays | stalled | joined, ms | drain to applied, ms: median / p99 / longest | bytes a change | messages | MiB | cores |";

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (bytes, messages) = match self.stream_costs {
            Some(costs) => (
                format!("{:.0}", costs.bytes),
                format!("{:.1}", costs.messages),
            ),
            None => ("-".into(), "-".into()),
        };
        let Latencies { median, p99, max } = self.latencies;
        write!(
            f,
            "| {} | {} | {} | {:.0} | {median:.1} / {p99:.1} / {max:.1} | {bytes} | {messages} | {:.1} | {:.3} |",
            self.protocol,
            self.proxy_count,
            self.stalled_count,
            self.join_time,
            self.resident_kib as f64 / 1024.0,
            self.cpu_share,
        )
    }
}

/// A configuration with room for so many proxies, and hosts that are known from the start.
fn config(base: &Value, proxy_count: usize) -> Value {
    let size = 1.0 + proxy_count as f64 / 100.0;
    let mut config = base.clone();
    for (field, value) in [
        ("/settings/family-info/proxy-count", json!(proxy_count + 8)),
        ("/settings/family-info/backlog", json!(9000.0 * size)),
        ("/settings/family-info/push-rate", json!(4500.0 * size)),
        ("/limits/memory_mb", json!(4096)),
        ("/limits/sockets", json!(20_000)),
    ] {
        if let Some(field) = config.pointer_mut(field) {
            *field = value;
        }
    }
    let member = |index: usize| {
        json!({"id": host_name(index), "host_port": host_address(index), "locality": "east", "flavor": "toy",
            "cell": 0, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
    };
    config["known"]["members"] = (0..HOST_COUNT).map(member).collect();
    config
}

fn host_name(index: usize) -> String {
    format!("h-{index}")
}

fn host_address(index: usize) -> String {
    format!("127.0.0.1:{}", 9000 + index)
}

/// One run: a director and its proxies.
struct Run {
    environment: Environment,
    protocol: Protocol,
    proxy_count: usize,
    /// Over gRPC: those that follow their tables.
    following: Vec<Proxy>,
    /// Over gRPC: those that read nothing. They are held so that their streams stay open.
    stalled: Vec<Proxy>,
}

/// One run with so many proxies that follow their tables and, over gRPC, some beside them that read nothing.
///
/// # Errors
/// Something can't be started, or does not happen in time.
pub async fn measure(
    base: &Value,
    program: &Path,
    protocol: Protocol,
    proxy_count: usize,
    stalled_count: usize,
) -> Result<Measurement, StandinError> {
    let config = config(base, proxy_count + stalled_count);
    let grpc = GRPC_ADDRESS.parse()?;
    let environment =
        Environment::start(&config, grpc, program, ", take_within_ms = 600000").await?;
    for index in 0..HOST_COUNT {
        set_phase(&environment, index, "Ready");
    }
    wait_until("the director watches", || {
        environment.relay.watcher_count() > 0
    })
    .await
    .map_err(StandinError::wait)?;
    let start = Instant::now();
    let run = Run::start(environment, protocol, proxy_count, stalled_count).await?;
    let join_time = start.elapsed().as_secs_f64() * 1000.0;
    tokio::time::sleep(SETTLE_DELAY).await;
    let (received_before, used_before) = (run.received(), run.environment.usage());
    let start = Instant::now();
    let latencies = run.change_hosts().await?;
    let received = run.received();
    let mut measurement = Measurement {
        protocol,
        proxy_count,
        stalled_count,
        join_time,
        latencies,
        stream_costs: (protocol != Protocol::Platform)
            .then(|| received.costs_since(received_before, proxy_count)),
        resident_kib: 0,
        cpu_share: 0.0,
    };
    if let (Some(before), Some(after)) = (used_before, run.environment.usage()) {
        let elapsed = start.elapsed().as_secs_f64();
        measurement.cpu_share = (after.cpu_seconds - before.cpu_seconds) / elapsed;
        measurement.resident_kib = after.resident_kib;
    }
    Ok(measurement)
}

/// What all proxies that follow their tables have received.
#[derive(Clone, Copy)]
struct Received {
    bytes: usize,
    responses: usize,
}

impl Received {
    /// For each proxy and change.
    fn costs_since(self, before: Received, proxy_count: usize) -> StreamCosts {
        let changes = (CHANGES * proxy_count) as f64;
        StreamCosts {
            bytes: (self.bytes - before.bytes) as f64 / changes,
            messages: (self.responses - before.responses) as f64 / changes,
        }
    }
}

impl Run {
    /// Lets all proxies join, and waits until they have their tables.
    async fn start(
        environment: Environment,
        protocol: Protocol,
        proxy_count: usize,
        stalled_count: usize,
    ) -> Result<Run, StandinError> {
        let mut run = Run {
            environment,
            protocol,
            proxy_count,
            following: Vec::new(),
            stalled: Vec::new(),
        };
        if protocol == Protocol::Platform {
            for number in 0..proxy_count {
                run.environment.relay.join_proxy(number as u32, "east", 5.0);
            }
        } else {
            for number in 0..proxy_count + stalled_count {
                run.join(number, number < stalled_count).await?;
            }
        }
        wait_until("bound", || {
            (0..proxy_count).all(|proxy| run.host_count(proxy) == HOST_COUNT)
        })
        .await
        .map_err(StandinError::wait)?;
        Ok(run)
    }

    async fn join(&mut self, number: usize, isstalled: bool) -> Result<(), StandinError> {
        let is_delta = self.protocol == Protocol::Delta;
        let id = format!("relay-{number}");
        let mut options = ProxyOptions::new(&id, "east", &["look", "pay"], is_delta);
        if isstalled {
            options.behavior = Behavior::ReadsNothing;
        }
        let proxy = Proxy::start(self.environment.grpc, options).await?;
        if isstalled {
            self.stalled.push(proxy);
        } else {
            self.following.push(proxy);
        }
        Ok(())
    }

    /// How many hosts a proxy may pick.
    fn host_count(&self, proxy: usize) -> usize {
        match self.protocol {
            Protocol::Platform => self.environment.relay.endpoints(proxy as u32).len(),
            _ => self.following[proxy].weights("look").len(),
        }
    }

    /// Whether a proxy may pick a host.
    fn picks(&self, proxy: usize, host: &str) -> bool {
        match self.protocol {
            Protocol::Platform => self
                .environment
                .relay
                .endpoints(proxy as u32)
                .contains_key(host),
            _ => self.following[proxy].weights("look").contains_key(host),
        }
    }

    fn received(&self) -> Received {
        let sum = |of: fn(&Proxy) -> usize| self.following.iter().map(of).sum();
        Received {
            bytes: sum(Proxy::resource_bytes),
            responses: sum(Proxy::response_count),
        }
    }

    /// Drains hosts, one after the other, and lets each come back.
    async fn change_hosts(&self) -> Result<Latencies, StandinError> {
        let mut samples = Vec::new();
        for change in 0..CHANGES {
            let host = change % HOST_COUNT;
            self.drain(host, &mut samples).await?;
            tokio::time::sleep(CHANGE_INTERVAL / 2).await;
            set_phase(&self.environment, host, "Ready");
            tokio::time::sleep(CHANGE_INTERVAL / 2).await;
        }
        Ok(Latencies::of(samples))
    }

    /// Drains a host, and times how long each proxy still picks it.
    async fn drain(&self, host: usize, samples: &mut Vec<f64>) -> Result<(), StandinError> {
        let start = Instant::now();
        set_phase(&self.environment, host, "Terminating");
        let host = host_name(host);
        let mut waiting: Vec<usize> = (0..self.proxy_count).collect();
        while !waiting.is_empty() {
            waiting.retain(|proxy| {
                let picks = self.picks(*proxy, &host);
                if !picks {
                    samples.push(start.elapsed().as_secs_f64() * 1000.0);
                }
                picks
            });
            if start.elapsed() > CHANGE_TIMEOUT {
                return Err(StandinError::NotDrained {
                    proxies: waiting.len(),
                    host,
                    waited: CHANGE_TIMEOUT,
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

fn set_phase(environment: &Environment, host: usize, phase: &str) {
    let (name, address) = (host_name(host), host_address(host));
    environment
        .discovery
        .set_host(&name, "east", phase, &address, 0.0);
}
