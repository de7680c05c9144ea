//! Measures a director with many proxies over gRPC or the relay protocol: latency from a change of the host list to the
//! proxies' tables, bytes and messages per change, memory and CPU usage. Stalled gRPC streams can be added.

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
/// Number of hosts that are drained and restored during a run.
const CHANGE_COUNT: usize = 10;
/// Time between the end of a drain and the next one. Long enough that the message rate limit per proxy delays no
/// change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3500);
/// Delay between the join of the last proxy and the first change.
const SETTLE_DELAY: Duration = Duration::from_secs(12);
/// Maximum time until all proxies have applied a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// Protocol between the director and the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The relay's line protocol.
    Platform,
    /// State-of-the-world discovery streams over gRPC.
    StateOfTheWorld,
    /// Delta discovery streams over gRPC.
    Delta,
}

impl Protocol {
    /// All protocols in the order of the printed rows.
    pub const ALL: [Protocol; 3] = [
        Protocol::Platform,
        Protocol::StateOfTheWorld,
        Protocol::Delta,
    ];

    /// Value of the `--way` option for this protocol.
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

/// Latencies in ms between a drain in the host list and the removal of the host from a proxy's table.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latencies {
    median: f64,
    p99: f64,
    max: f64,
}

impl Latencies {
    fn from_samples(mut samples: Vec<f64>) -> Latencies {
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

/// Bytes and messages per change and proxy. Not available for [`Protocol::Platform`], where proxies share the messages
/// to the relay.
#[derive(Clone, Copy, Debug)]
pub struct StreamCosts {
    bytes: f64,
    messages: f64,
}

/// Results of one run. The `Display` format is a row of the table with [`TABLE_HEAD`].
#[derive(Clone, Debug)]
pub struct Measurement {
    protocol: Protocol,
    proxy_count: usize,
    stalled_count: usize,
    /// Time until all proxies had their tables, in ms.
    join_time: f64,
    latencies: Latencies,
    stream_costs: Option<StreamCosts>,
    /// Resident memory of the director at the end of the run, in KiB.
    resident_kib: u64,
    /// Average number of CPU cores used by the director during the changes.
    cpu_share: f64,
}

/// Header row of the Markdown table of measurements.
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

/// Returns the base configuration with limits sized for `proxy_count` proxies and [`HOST_COUNT`] known hosts.
fn build_config(base: &Value, proxy_count: usize) -> Value {
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

/// A director and its proxies during a run.
struct Run {
    environment: Environment,
    protocol: Protocol,
    proxy_count: usize,
    /// gRPC proxies that apply their tables. Empty for [`Protocol::Platform`].
    active: Vec<Proxy>,
    /// gRPC proxies that read nothing, kept so that their streams stay open.
    stalled: Vec<Proxy>,
}

/// Measures a director with `proxy_count` proxies. Over gRPC, `stalled_count` additional proxies read nothing.
///
/// # Errors
/// Returns an error if a stand-in or the director can't be started, or a change is not applied in time.
pub async fn measure(
    base: &Value,
    program: &Path,
    protocol: Protocol,
    proxy_count: usize,
    stalled_count: usize,
) -> Result<Measurement, StandinError> {
    let config = build_config(base, proxy_count + stalled_count);
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
    .map_err(StandinError::timeout)?;
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

/// Totals received by all active gRPC proxies.
#[derive(Clone, Copy)]
struct Received {
    bytes: usize,
    responses: usize,
}

impl Received {
    /// Returns the difference to `before`, per proxy and change.
    fn costs_since(self, before: Received, proxy_count: usize) -> StreamCosts {
        let changes = (CHANGE_COUNT * proxy_count) as f64;
        StreamCosts {
            bytes: (self.bytes - before.bytes) as f64 / changes,
            messages: (self.responses - before.responses) as f64 / changes,
        }
    }
}

impl Run {
    /// Joins all proxies and waits until the active ones have tables with all hosts.
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
            active: Vec::new(),
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
        .map_err(StandinError::timeout)?;
        Ok(run)
    }

    async fn join(&mut self, number: usize, is_stalled: bool) -> Result<(), StandinError> {
        let is_delta = self.protocol == Protocol::Delta;
        let id = format!("relay-{number}");
        let mut options = ProxyOptions::new(&id, "east", &["look", "pay"], is_delta);
        if is_stalled {
            options.behavior = Behavior::ReadsNothing;
        }
        let proxy = Proxy::start(self.environment.grpc, options).await?;
        if is_stalled {
            self.stalled.push(proxy);
        } else {
            self.active.push(proxy);
        }
        Ok(())
    }

    /// Number of selectable hosts in a proxy's table.
    fn host_count(&self, proxy: usize) -> usize {
        match self.protocol {
            Protocol::Platform => self.environment.relay.endpoints(proxy as u32).len(),
            _ => self.active[proxy].weights("look").len(),
        }
    }

    /// Returns whether a proxy's table contains a host that is not draining.
    fn picks(&self, proxy: usize, host: &str) -> bool {
        match self.protocol {
            Protocol::Platform => self
                .environment
                .relay
                .endpoints(proxy as u32)
                .contains_key(host),
            _ => self.active[proxy].weights("look").contains_key(host),
        }
    }

    fn received(&self) -> Received {
        let sum = |count: fn(&Proxy) -> usize| self.active.iter().map(count).sum();
        Received {
            bytes: sum(Proxy::resource_bytes),
            responses: sum(Proxy::response_count),
        }
    }

    /// Drains and restores [`CHANGE_COUNT`] hosts in turn and returns the latencies of the drains.
    async fn change_hosts(&self) -> Result<Latencies, StandinError> {
        let mut samples = Vec::new();
        for change in 0..CHANGE_COUNT {
            let host = change % HOST_COUNT;
            self.drain(host, &mut samples).await?;
            tokio::time::sleep(CHANGE_INTERVAL / 2).await;
            set_phase(&self.environment, host, "Ready");
            tokio::time::sleep(CHANGE_INTERVAL / 2).await;
        }
        Ok(Latencies::from_samples(samples))
    }

    /// Drains a host and appends to `samples` the time in ms until each proxy stops selecting it.
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
