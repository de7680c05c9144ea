//! Input of the adapter: batches, events and their translation to the policy's events.

use super::hex;
use rushcourse_director_settings::DeploymentSettings;
use rushcourse_policy::interface::{
    Channel, Event, HostEntry, HostListKind, HostLoad, Ms, Readiness,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// One line of the input.
#[derive(Deserialize)]
pub struct Batch {
    /// Time of the batch on the bench's clock, in ms.
    #[serde(rename = "clock-ms")]
    pub clock: Ms,
    /// Number of the batch, which the reply repeats.
    #[serde(rename = "n")]
    pub number: u64,
    /// Events for any of the instances, each with the fields of [`EventHeader`].
    #[serde(rename = "input")]
    pub events: Vec<Value>,
}

/// Fields that every event has in addition to those of its kind.
#[derive(Deserialize)]
pub struct EventHeader {
    /// Kind of the event, such as `Provision` or `Fired`.
    #[serde(rename = "m")]
    pub kind: String,
    /// Number of the instance that the event is for.
    #[serde(rename = "director")]
    pub instance: u64,
}

/// Event `Provision`: an instance starts.
#[derive(Deserialize)]
pub struct Provision {
    /// Seed for random numbers. Unused, as the policy draws none, but required.
    #[serde(rename = "nonce64")]
    _seed: u64,
    #[serde(rename = "options")]
    pub settings: DeploymentSettings,
}

/// Event `Announce`: the list of hosts, or a change to it.
#[derive(Deserialize)]
struct HostAnnouncement {
    kind: AnnouncementKind,
    #[serde(default, rename = "rows")]
    entries: Vec<AnnouncedHost>,
}

#[derive(Deserialize)]
enum AnnouncementKind {
    #[serde(rename = "incr")]
    Delta,
    #[serde(rename = "total")]
    Full,
    #[serde(rename = "warm_copy")]
    Cached,
    #[serde(rename = "lost")]
    Unavailable,
}

/// Entry of a [`HostAnnouncement`].
#[derive(Deserialize)]
struct AnnouncedHost {
    host: String,
    #[serde(default, rename = "locality")]
    zone: usize,
    #[serde(default, rename = "unit-group")]
    cell: u32,
    readiness: AnnouncedReadiness,
    #[serde(default, rename = "w")]
    weight: f64,
    #[serde(default, rename = "up-since-ms")]
    started_at: f64,
}

#[derive(Deserialize)]
enum AnnouncedReadiness {
    Ready,
    #[serde(rename = "Terminating")]
    Draining,
    Gone,
}

/// Event `Observed`: the outcome of the attempts that proxies of a zone made at a host.
#[derive(Deserialize)]
struct HostReport {
    #[serde(default, rename = "locality")]
    zone: usize,
    host: String,
    #[serde(default, rename = "tries-n")]
    attempts: f64,
    #[serde(default, rename = "unanswered")]
    failed: f64,
    #[serde(default, rename = "spent-ms")]
    mean_latency: f64,
    #[serde(default, rename = "span-ms")]
    span: f64,
    #[serde(default, rename = "server-stats")]
    load: Value,
}

/// Event `Traffic`: the client requests of a class that a proxy received.
#[derive(Deserialize)]
struct TrafficReport {
    #[serde(rename = "agent")]
    proxy: u32,
    #[serde(default, rename = "priority")]
    class: usize,
    #[serde(default, rename = "tries-n")]
    attempts: f64,
    #[serde(default, rename = "unanswered")]
    failed: f64,
    #[serde(default, rename = "span-ms")]
    span: f64,
}

/// Event `DialledIn`: a proxy's stream is established.
#[derive(Deserialize)]
struct ProxyJoined {
    #[serde(default, rename = "w")]
    rate: f64,
    #[serde(default, rename = "on")]
    is_fresh: bool,
    #[serde(default, rename = "locality")]
    zone: usize,
    #[serde(rename = "agent")]
    proxy: u32,
}

/// Event `LostStream`: a proxy's stream has ended.
#[derive(Deserialize)]
struct ProxyLeft {
    #[serde(rename = "agent")]
    proxy: u32,
}

/// Event `TookEffect`: a proxy has applied a message.
#[derive(Deserialize)]
struct Acknowledgement {
    #[serde(rename = "number")]
    ack_number: u16,
    #[serde(rename = "agent")]
    proxy: u32,
    #[serde(default, rename = "spent-ms")]
    elapsed: f64,
}

/// Event `Fired`: a timer is due.
#[derive(Deserialize)]
struct TimerFired {
    #[serde(rename = "ctx")]
    token: String,
}

/// Event `FromPeer`: a message from another director.
#[derive(Deserialize)]
struct PeerMessage {
    #[serde(default, rename = "neighbour")]
    from: usize,
    #[serde(default)]
    payload: String,
}

/// Event `PingResult`: a health check has ended.
#[derive(Deserialize)]
struct HealthCheckResult {
    host: String,
    #[serde(default, rename = "spent-ms")]
    elapsed: f64,
    #[serde(rename = "disposition")]
    status: String,
    #[serde(default, rename = "server-stats")]
    load: Value,
}

/// Translates an event to the policy's interface. Returns `None` for kinds that the policy does not use.
///
/// # Errors
///
/// Returns an error if a required field is missing or a field has a wrong type.
pub fn parse_event(kind: &str, value: Value) -> Result<Option<Event>, serde_json::Error> {
    let event = match kind {
        "Announce" => translate::<HostAnnouncement>(value)?,
        "Observed" => translate::<HostReport>(value)?,
        "Traffic" => translate::<TrafficReport>(value)?,
        "DialledIn" => translate::<ProxyJoined>(value)?,
        "LostStream" => translate::<ProxyLeft>(value)?,
        "TookEffect" => translate::<Acknowledgement>(value)?,
        "Fired" => translate::<TimerFired>(value)?,
        "FromPeer" => translate::<PeerMessage>(value)?,
        "PingResult" => translate::<HealthCheckResult>(value)?,
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn translate<T: DeserializeOwned + Into<Event>>(value: Value) -> Result<Event, serde_json::Error> {
    Ok(serde_json::from_value::<T>(value)?.into())
}

impl From<HostAnnouncement> for Event {
    fn from(announcement: HostAnnouncement) -> Event {
        Event::HostsListed {
            kind: match announcement.kind {
                AnnouncementKind::Delta => HostListKind::Delta,
                AnnouncementKind::Full => HostListKind::Full,
                AnnouncementKind::Cached => HostListKind::Cached,
                AnnouncementKind::Unavailable => HostListKind::Unavailable,
            },
            entries: announcement
                .entries
                .into_iter()
                .map(HostEntry::from)
                .collect(),
        }
    }
}

impl From<AnnouncedHost> for HostEntry {
    fn from(entry: AnnouncedHost) -> HostEntry {
        HostEntry {
            host: entry.host.into(),
            zone: entry.zone,
            cell: entry.cell,
            readiness: match entry.readiness {
                AnnouncedReadiness::Ready => Readiness::Ready,
                AnnouncedReadiness::Draining => Readiness::Draining,
                AnnouncedReadiness::Gone => Readiness::Gone,
            },
            weight: entry.weight,
            started_at: entry.started_at,
        }
    }
}

impl From<HostReport> for Event {
    fn from(report: HostReport) -> Event {
        Event::HostReported {
            zone: report.zone,
            host: report.host.into(),
            attempts: report.attempts,
            failed: report.failed,
            mean_latency: report.mean_latency,
            span: report.span,
            load: host_load(&report.load),
        }
    }
}

impl From<TrafficReport> for Event {
    fn from(report: TrafficReport) -> Event {
        Event::TrafficReported {
            proxy: report.proxy,
            class: report.class,
            attempts: report.attempts,
            failed: report.failed,
            span: report.span,
        }
    }
}

impl From<ProxyJoined> for Event {
    fn from(joined: ProxyJoined) -> Event {
        Event::ProxyJoined {
            proxy: joined.proxy,
            zone: joined.zone,
            rate: joined.rate,
            is_fresh: joined.is_fresh,
            channel: Channel::Shared,
        }
    }
}

impl From<ProxyLeft> for Event {
    fn from(left: ProxyLeft) -> Event {
        Event::ProxyLeft {
            proxy: left.proxy,
            channel: Channel::Shared,
        }
    }
}

impl From<Acknowledgement> for Event {
    fn from(acknowledgement: Acknowledgement) -> Event {
        Event::Acknowledged {
            ack_number: acknowledgement.ack_number,
            proxy: acknowledgement.proxy,
            elapsed: acknowledgement.elapsed,
            channel: Channel::Shared,
        }
    }
}

impl From<TimerFired> for Event {
    fn from(fired: TimerFired) -> Event {
        Event::TimerFired { token: fired.token }
    }
}

impl From<PeerMessage> for Event {
    fn from(message: PeerMessage) -> Event {
        Event::PeerMessage {
            from: message.from,
            bytes: hex::decode(&message.payload),
        }
    }
}

impl From<HealthCheckResult> for Event {
    fn from(result: HealthCheckResult) -> Event {
        Event::HealthChecked {
            host: result.host.into(),
            elapsed: result.elapsed,
            is_answered: result.status == "completed",
            load: host_load(&result.load),
        }
    }
}

/// Reads the known metrics of a host's load report. Missing and non-numeric values become `None`.
fn host_load(load: &Value) -> HostLoad {
    let number = |name: &str| load.get(name).and_then(Value::as_f64);
    HostLoad {
        cpu_utilization: number("cpu_share"),
        queued: number("pending"),
        in_flight: number("busy_reqs"),
    }
}
