//! What comes in.

use super::hex;
use rushcourse_director_settings::Options;
use rushcourse_policy::interface::{
    Channel, Event, HostEntry, HostListKind, HostLoad, Ms, Readiness,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// One line of the input.
#[derive(Deserialize)]
pub struct Batch {
    /// The time of the batch.
    #[serde(rename = "clock-ms")]
    pub clock: Ms,
    /// Its number.
    pub n: u64,
    /// Its events, each with a `Head`.
    pub input: Vec<Value>,
}

/// The part of every event that tells its kind and its instance.
#[derive(Deserialize)]
pub struct Head {
    /// The kind.
    pub m: String,
    /// The instance.
    pub director: u64,
}

/// An instance starts.
#[derive(Deserialize)]
pub struct Provision {
    /// Seeds random numbers. Decisions draw none, yet a start without it is malformed.
    #[serde(rename = "nonce64")]
    _seed: u64,
    /// The settings.
    pub options: Options,
}

/// The list of hosts, or a change to it.
#[derive(Deserialize)]
struct Announce {
    kind: AnnounceKind,
    #[serde(default)]
    rows: Vec<Row>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum AnnounceKind {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

/// A host as listed.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Row {
    host: String,
    #[serde(default)]
    locality: usize,
    #[serde(default)]
    unit_group: u32,
    readiness: RowReadiness,
    #[serde(default)]
    w: f64,
    #[serde(default)]
    up_since_ms: f64,
}

#[derive(Deserialize)]
enum RowReadiness {
    Ready,
    Terminating,
    Gone,
}

/// What proxies of a zone observed at a host.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Observed {
    #[serde(default)]
    locality: usize,
    host: String,
    #[serde(default)]
    tries_n: f64,
    #[serde(default)]
    unanswered: f64,
    #[serde(default)]
    spent_ms: f64,
    #[serde(default)]
    span_ms: f64,
    #[serde(default)]
    server_stats: Value,
}

/// What came to a proxy.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Traffic {
    agent: u32,
    #[serde(default)]
    priority: usize,
    #[serde(default)]
    tries_n: f64,
    #[serde(default)]
    unanswered: f64,
    #[serde(default)]
    span_ms: f64,
}

/// A proxy's stream is established.
#[derive(Deserialize)]
struct DialledIn {
    #[serde(default)]
    w: f64,
    #[serde(default)]
    on: bool,
    #[serde(default)]
    locality: usize,
    agent: u32,
}

/// A proxy's stream has ended.
#[derive(Deserialize)]
struct LostStream {
    agent: u32,
}

/// A proxy has applied a message.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TookEffect {
    number: u16,
    agent: u32,
    #[serde(default)]
    spent_ms: f64,
}

/// A timer is due.
#[derive(Deserialize)]
struct Fired {
    ctx: String,
}

/// A message of another instance.
#[derive(Deserialize)]
struct FromPeer {
    #[serde(default)]
    neighbour: usize,
    #[serde(default)]
    payload: String,
}

/// A health check has ended.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct PingResult {
    host: String,
    #[serde(default)]
    spent_ms: f64,
    disposition: String,
    #[serde(default)]
    server_stats: Value,
}

/// Translates an event; none of a kind that the policy has no use for.
///
/// # Errors
///
/// A field that the policy needs is missing or has a wrong type.
pub fn event(kind: &str, value: Value) -> Result<Option<Event>, serde_json::Error> {
    let event = match kind {
        "Announce" => translate::<Announce>(value)?,
        "Observed" => translate::<Observed>(value)?,
        "Traffic" => translate::<Traffic>(value)?,
        "DialledIn" => translate::<DialledIn>(value)?,
        "LostStream" => translate::<LostStream>(value)?,
        "TookEffect" => translate::<TookEffect>(value)?,
        "Fired" => translate::<Fired>(value)?,
        "FromPeer" => translate::<FromPeer>(value)?,
        "PingResult" => translate::<PingResult>(value)?,
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn translate<T: DeserializeOwned + Into<Event>>(value: Value) -> Result<Event, serde_json::Error> {
    Ok(serde_json::from_value::<T>(value)?.into())
}

impl From<Announce> for Event {
    fn from(announce: Announce) -> Event {
        Event::HostsListed {
            kind: match announce.kind {
                AnnounceKind::Incr => HostListKind::Delta,
                AnnounceKind::Total => HostListKind::Full,
                AnnounceKind::WarmCopy => HostListKind::Cached,
                AnnounceKind::Lost => HostListKind::Unavailable,
            },
            entries: announce.rows.into_iter().map(HostEntry::from).collect(),
        }
    }
}

impl From<Row> for HostEntry {
    fn from(row: Row) -> HostEntry {
        HostEntry {
            host: row.host.into(),
            zone: row.locality,
            cell: row.unit_group,
            readiness: match row.readiness {
                RowReadiness::Ready => Readiness::Ready,
                RowReadiness::Terminating => Readiness::Draining,
                RowReadiness::Gone => Readiness::Gone,
            },
            weight: row.w,
            started_at: row.up_since_ms,
        }
    }
}

impl From<Observed> for Event {
    fn from(observed: Observed) -> Event {
        Event::HostReported {
            zone: observed.locality,
            host: observed.host.into(),
            attempts: observed.tries_n,
            failed: observed.unanswered,
            mean_latency: observed.spent_ms,
            span: observed.span_ms,
            load: host_load(&observed.server_stats),
        }
    }
}

impl From<Traffic> for Event {
    fn from(traffic: Traffic) -> Event {
        Event::TrafficReported {
            proxy: traffic.agent,
            class: traffic.priority,
            attempts: traffic.tries_n,
            failed: traffic.unanswered,
            span: traffic.span_ms,
        }
    }
}

impl From<DialledIn> for Event {
    fn from(dialled: DialledIn) -> Event {
        Event::ProxyJoined {
            proxy: dialled.agent,
            zone: dialled.locality,
            rate: dialled.w,
            is_fresh: dialled.on,
            channel: Channel::Shared,
        }
    }
}

impl From<LostStream> for Event {
    fn from(lost: LostStream) -> Event {
        Event::ProxyLeft {
            proxy: lost.agent,
            channel: Channel::Shared,
        }
    }
}

impl From<TookEffect> for Event {
    fn from(took_effect: TookEffect) -> Event {
        Event::Acknowledged {
            ack_number: took_effect.number,
            proxy: took_effect.agent,
            elapsed: took_effect.spent_ms,
            channel: Channel::Shared,
        }
    }
}

impl From<Fired> for Event {
    fn from(fired: Fired) -> Event {
        Event::TimerFired { token: fired.ctx }
    }
}

impl From<FromPeer> for Event {
    fn from(message: FromPeer) -> Event {
        Event::PeerMessage {
            from: message.neighbour,
            bytes: hex::decode(&message.payload),
        }
    }
}

impl From<PingResult> for Event {
    fn from(result: PingResult) -> Event {
        Event::HealthChecked {
            host: result.host.into(),
            elapsed: result.spent_ms,
            is_answered: result.disposition == "completed",
            load: host_load(&result.server_stats),
        }
    }
}

/// The values of a load report that the policy knows, as far as they are numbers.
fn host_load(stats: &Value) -> HostLoad {
    let number = |name: &str| stats.get(name).and_then(Value::as_f64);
    HostLoad {
        cpu_utilization: number("cpu_share"),
        queued: number("pending"),
        in_flight: number("busy_reqs"),
    }
}
