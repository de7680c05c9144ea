//! Example scenario: a proxy joins and gets a table with two hosts, then one of the hosts drains and leaves the table.

use crate::collector::{Collector, ping};
use crate::discovery::Discovery;
use crate::host;
use crate::relay::Relay;
use crate::wait::{WAIT_TIMEOUT, WaitTimeout, wait_until};
use serde_json::Value;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Delay between pings while waiting for the director to start.
const PING_INTERVAL: Duration = Duration::from_millis(50);
/// Number under which the scenario's proxy joins the relay.
const PROXY_NUMBER: u32 = 0;

/// Error that ends the scenario.
#[derive(Debug)]
pub enum ScenarioError {
    /// A configuration field is missing or has the wrong type.
    Configuration {
        /// JSON pointer of the field.
        field: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A stand-in can't be started or has lost its connection.
    StandIn {
        /// Kind of the stand-in, such as `relay`.
        name: &'static str,
        /// Error from the operating system.
        error: io::Error,
    },
    /// The director did not reach the expected state in time.
    Timeout(WaitTimeout),
    /// The drain also removed this host, which was not draining, from the proxy's endpoints.
    HostMissing(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Configuration { field, expected } => {
                write!(f, "the configuration's {field} is not {expected}")
            }
            ScenarioError::StandIn { name, error } => write!(f, "{name}: {error}"),
            ScenarioError::Timeout(timeout) => timeout.fmt(f),
            ScenarioError::HostMissing(host) => {
                write!(f, "proxy {PROXY_NUMBER} lost {host}, which is not draining")
            }
        }
    }
}

impl std::error::Error for ScenarioError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ScenarioError::StandIn { error, .. } => Some(error),
            ScenarioError::Timeout(timeout) => Some(timeout),
            ScenarioError::Configuration { .. } | ScenarioError::HostMissing(_) => None,
        }
    }
}

impl From<WaitTimeout> for ScenarioError {
    fn from(timeout: WaitTimeout) -> ScenarioError {
        ScenarioError::Timeout(timeout)
    }
}

/// Converts an I/O error of the named stand-in.
fn stand_in(name: &'static str) -> impl Fn(io::Error) -> ScenarioError {
    move |error| ScenarioError::StandIn { name, error }
}

/// Addresses, zone and hosts from the director's configuration.
struct ScenarioConfig {
    director: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    zone: String,
    /// The second host drains during the scenario.
    hosts: [Host; 2],
}

struct Host {
    id: String,
    address: SocketAddr,
}

impl ScenarioConfig {
    fn read(config: &Value) -> Result<ScenarioConfig, ScenarioError> {
        Ok(ScenarioConfig {
            director: address(config, "/listen")?,
            relay: address(config, "/store/address")?,
            discovery: address(config, "/discovery")?,
            zone: text(config, "/settings/zones/0", "a zone")?,
            hosts: [Host::read(config, 0)?, Host::read(config, 1)?],
        })
    }
}

impl Host {
    fn read(config: &Value, index: usize) -> Result<Host, ScenarioError> {
        let member = format!("/known/members/{index}");
        Ok(Host {
            id: text(config, &format!("{member}/id"), "a host")?,
            address: address(config, &format!("{member}/host_port"))?,
        })
    }
}

fn text(config: &Value, field: &str, expected: &'static str) -> Result<String, ScenarioError> {
    let text = config.pointer(field).and_then(Value::as_str);
    text.map(String::from)
        .ok_or_else(|| ScenarioError::Configuration {
            field: field.into(),
            expected,
        })
}

fn address(config: &Value, field: &str) -> Result<SocketAddr, ScenarioError> {
    let expected = "an address and port";
    let text = text(config, field, expected)?;
    text.parse().map_err(|_| ScenarioError::Configuration {
        field: field.into(),
        expected,
    })
}

struct StandIns {
    relay: Relay,
    discovery: Discovery,
}

impl StandIns {
    async fn start(config: &ScenarioConfig) -> Result<StandIns, ScenarioError> {
        let relay = Relay::start(config.relay)
            .await
            .map_err(stand_in("relay"))?;
        let discovery = Discovery::start(config.discovery)
            .await
            .map_err(stand_in("discovery"))?;
        for host in &config.hosts {
            let address = host::start(host.address).await.map_err(stand_in("host"))?;
            discovery.set_host(&host.id, &config.zone, "Ready", &address.to_string(), 0.0);
        }
        Ok(StandIns { relay, discovery })
    }
}

/// Runs the scenario with a director that uses this configuration. `report` receives a line of text for each step.
///
/// # Errors
/// Returns an error if the configuration lacks a required field, an address can't be bound, or the director does not
/// reach an expected state in time.
pub async fn run(config: &Value, report: impl Fn(&str)) -> Result<(), ScenarioError> {
    let config = ScenarioConfig::read(config)?;
    let stand_ins = StandIns::start(&config).await?;
    report(&format!(
        "relay, discovery and two hosts stand in; waiting for a director at {}",
        config.director
    ));
    wait_for_director(config.director).await?;
    report("the director answers a ping");
    let relay = &stand_ins.relay;
    wait_until("the director watches the relay", || {
        relay.watcher_count() > 0
    })
    .await?;
    let mut collector = Collector::connect(config.director, &config.zone)
        .await
        .map_err(stand_in("collector"))?;
    join(&config, relay, &report).await?;
    collector
        .report_host(&config.zone, &config.hosts[0].id, 12)
        .await
        .map_err(stand_in("collector"))?;
    drain(&config, &stand_ins, &report).await?;
    relay.remove_proxy(PROXY_NUMBER);
    report("proxy 0 leaves; the drain was kept and nobody was without a host");
    Ok(())
}

async fn wait_for_director(director: SocketAddr) -> Result<(), ScenarioError> {
    let start = Instant::now();
    while ping(director).await.is_err() {
        if start.elapsed() > WAIT_TIMEOUT {
            let description = "the director answers a ping".into();
            return Err(WaitTimeout { description }.into());
        }
        tokio::time::sleep(PING_INTERVAL).await;
    }
    Ok(())
}

/// Lets the proxy join and waits until it has both hosts as endpoints.
async fn join(
    config: &ScenarioConfig,
    relay: &Relay,
    report: impl Fn(&str),
) -> Result<(), ScenarioError> {
    relay.join_proxy(PROXY_NUMBER, &config.zone, 5.0);
    report("proxy 0 joins");
    wait_until("a table with both hosts", || {
        relay.endpoints(PROXY_NUMBER).len() == 2
    })
    .await?;
    report(&format!(
        "proxy 0 is bound to a table: {:?}",
        relay.endpoints(PROXY_NUMBER)
    ));
    Ok(())
}

/// Drains the second host. Waits until it is withdrawn from the proxy, then until its endpoint has left the table.
async fn drain(
    config: &ScenarioConfig,
    stand_ins: &StandIns,
    report: impl Fn(&str),
) -> Result<(), ScenarioError> {
    let StandIns { relay, discovery } = stand_ins;
    let [staying, draining] = &config.hosts;
    discovery.set_host(
        &draining.id,
        &config.zone,
        "Terminating",
        "127.0.0.1:1",
        0.0,
    );
    let start = Instant::now();
    report(&format!(
        "discovery says that {} is terminating",
        draining.id
    ));
    wait_until("the withdrawal", || {
        !relay.endpoints(PROXY_NUMBER).contains_key(&draining.id)
    })
    .await?;
    report(&format!(
        "proxy 0 sends it nothing new, {} ms later",
        start.elapsed().as_millis()
    ));
    if !relay.endpoints(PROXY_NUMBER).contains_key(&staying.id) {
        return Err(ScenarioError::HostMissing(staying.id.clone()));
    }
    wait_until("its endpoint leaves the table", || {
        !relay.has_endpoint(PROXY_NUMBER, &draining.id)
    })
    .await?;
    report(&format!(
        "its endpoint has left the table, {} ms later: {:?}",
        start.elapsed().as_millis(),
        relay.endpoints(PROXY_NUMBER)
    ));
    Ok(())
}
