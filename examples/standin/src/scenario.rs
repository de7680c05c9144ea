//! The example's scenario: a proxy joins, its table arrives, a host drains, and the proxy is moved off it in time.

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

/// How long to wait between two pings of a director that does not answer yet.
const PING_INTERVAL: Duration = Duration::from_millis(50);
/// The proxy of the scenario.
const PROXY: u32 = 0;

/// Why the scenario can't be played to its end.
#[derive(Debug)]
pub enum ScenarioError {
    /// A field of the configuration, as a JSON pointer, does not hold what the scenario needs.
    Configuration {
        /// The field.
        field: String,
        /// What it has to hold.
        expected: &'static str,
    },
    /// A stand-in can't be started, or has lost its connection.
    StandIn {
        /// Which one.
        name: &'static str,
        /// The cause.
        error: io::Error,
    },
    /// The director did not do what it should in time.
    Timeout(WaitTimeout),
    /// The drain left the proxy without the host that stays.
    LeftWithout(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Configuration { field, expected } => {
                write!(f, "the configuration's {field} is not {expected}")
            }
            ScenarioError::StandIn { name, error } => write!(f, "{name}: {error}"),
            ScenarioError::Timeout(timeout) => timeout.fmt(f),
            ScenarioError::LeftWithout(host) => {
                write!(f, "proxy {PROXY} was left without {host}")
            }
        }
    }
}

impl std::error::Error for ScenarioError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ScenarioError::StandIn { error, .. } => Some(error),
            ScenarioError::Timeout(timeout) => Some(timeout),
            ScenarioError::Configuration { .. } | ScenarioError::LeftWithout(_) => None,
        }
    }
}

impl From<WaitTimeout> for ScenarioError {
    fn from(timeout: WaitTimeout) -> ScenarioError {
        ScenarioError::Timeout(timeout)
    }
}

/// Names a stand-in in its errors.
fn stand_in(name: &'static str) -> impl Fn(io::Error) -> ScenarioError {
    move |error| ScenarioError::StandIn { name, error }
}

/// What the scenario takes from the director's configuration.
struct Setting {
    director: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    zone: String,
    /// Two hosts: the first stays, the second drains.
    hosts: [Host; 2],
}

struct Host {
    id: String,
    address: SocketAddr,
}

impl Setting {
    fn read(config: &Value) -> Result<Setting, ScenarioError> {
        Ok(Setting {
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

/// Everything around the director.
struct Surroundings {
    relay: Relay,
    discovery: Discovery,
}

impl Surroundings {
    async fn start(setting: &Setting) -> Result<Surroundings, ScenarioError> {
        let relay = Relay::start(setting.relay)
            .await
            .map_err(stand_in("relay"))?;
        let discovery = Discovery::start(setting.discovery)
            .await
            .map_err(stand_in("discovery"))?;
        for host in &setting.hosts {
            let address = host::start(host.address).await.map_err(stand_in("host"))?;
            discovery.set_host(&host.id, &setting.zone, "Ready", &address.to_string(), 0.0);
        }
        Ok(Surroundings { relay, discovery })
    }
}

/// Plays the scenario around a director that runs with this configuration, and reports each step as a line of text.
///
/// # Errors
/// The configuration names no addresses to stand in at, an address can't be bound, or the director does not do what it
/// should in time.
pub async fn play(config: &Value, report: impl Fn(&str)) -> Result<(), ScenarioError> {
    let setting = Setting::read(config)?;
    let surroundings = Surroundings::start(&setting).await?;
    report(&format!(
        "relay, discovery and two hosts stand in; waiting for a director at {}",
        setting.director
    ));
    wait_for_director(setting.director).await?;
    report("the director answers a ping");
    let relay = &surroundings.relay;
    wait_until("the director watches the relay", || {
        relay.watcher_count() > 0
    })
    .await?;
    let mut collector = Collector::connect(setting.director, &setting.zone)
        .await
        .map_err(stand_in("collector"))?;
    join(&setting, relay, &report).await?;
    collector
        .report_host(&setting.zone, &setting.hosts[0].id, 12)
        .await
        .map_err(stand_in("collector"))?;
    drain(&setting, &surroundings, &report).await?;
    relay.remove_proxy(PROXY);
    report("proxy 0 leaves; the drain was kept and nobody was without a host");
    Ok(())
}

async fn wait_for_director(director: SocketAddr) -> Result<(), ScenarioError> {
    let start = Instant::now();
    while ping(director).await.is_err() {
        if start.elapsed() > WAIT_TIMEOUT {
            let what = "the director answers a ping".into();
            return Err(WaitTimeout { what }.into());
        }
        tokio::time::sleep(PING_INTERVAL).await;
    }
    Ok(())
}

/// The proxy joins and gets both hosts.
async fn join(
    setting: &Setting,
    relay: &Relay,
    report: impl Fn(&str),
) -> Result<(), ScenarioError> {
    relay.join_proxy(PROXY, &setting.zone, 5.0);
    report("proxy 0 joins");
    wait_until("a table with both hosts", || {
        relay.endpoints(PROXY).len() == 2
    })
    .await?;
    report(&format!(
        "proxy 0 is bound to a table: {:?}",
        relay.endpoints(PROXY)
    ));
    Ok(())
}

/// The second host drains: the proxy sends it nothing new, then its table does not hold it any more.
async fn drain(
    setting: &Setting,
    surroundings: &Surroundings,
    report: impl Fn(&str),
) -> Result<(), ScenarioError> {
    let Surroundings { relay, discovery } = surroundings;
    let [staying, draining] = &setting.hosts;
    discovery.set_host(
        &draining.id,
        &setting.zone,
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
        !relay.endpoints(PROXY).contains_key(&draining.id)
    })
    .await?;
    report(&format!(
        "proxy 0 sends it nothing new, {} ms later",
        start.elapsed().as_millis()
    ));
    if !relay.endpoints(PROXY).contains_key(&staying.id) {
        return Err(ScenarioError::LeftWithout(staying.id.clone()));
    }
    wait_until("its endpoint leaves the table", || {
        !relay.has_endpoint(PROXY, &draining.id)
    })
    .await?;
    report(&format!(
        "its endpoint has left the table, {} ms later: {:?}",
        start.elapsed().as_millis(),
        relay.endpoints(PROXY)
    ));
    Ok(())
}
