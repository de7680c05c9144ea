//! The wire's messages and their translation to the core's types. Names and units only.

use rushcourse_director_settings::DeploymentSettings;
use rushcourse_policy::interface as core;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "clock-ms")]
    pub clock: f64,
    pub n: u64,
    pub input: Vec<serde_json::Value>,
}

#[derive(Serialize)]
pub struct Reply {
    pub n: u64,
    pub out: Vec<Order>,
}

/// The part of every event that tells its kind and its instance.
#[derive(Deserialize)]
pub struct Head {
    pub m: String,
    pub director: u64,
}

#[derive(Deserialize)]
pub struct Provision {
    /// Seeds random numbers. Decisions draw none, yet a start without it is malformed.
    #[serde(rename = "nonce64")]
    pub _seed: u64,
    pub options: DeploymentSettings,
}

#[derive(Deserialize)]
pub struct Announce {
    pub kind: ListWord,
    #[serde(default)]
    pub rows: Vec<Row>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListWord {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    pub host: String,
    #[serde(default)]
    pub locality: usize,
    #[serde(default)]
    pub unit_group: u32,
    pub readiness: ReadyWord,
    #[serde(default)]
    pub w: f64,
    #[serde(default)]
    pub up_since_ms: f64,
}

#[derive(Deserialize, Clone, Copy)]
pub enum ReadyWord {
    Ready,
    Terminating,
    Gone,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Observed {
    #[serde(default)]
    pub locality: usize,
    pub host: String,
    #[serde(default)]
    pub tries_n: f64,
    #[serde(default)]
    pub unanswered: f64,
    #[serde(default)]
    pub spent_ms: f64,
    #[serde(default)]
    pub span_ms: f64,
    #[serde(default)]
    pub server_stats: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Traffic {
    pub agent: u32,
    #[serde(default)]
    pub priority: usize,
    #[serde(default)]
    pub tries_n: f64,
    #[serde(default)]
    pub unanswered: f64,
    #[serde(default)]
    pub span_ms: f64,
}

#[derive(Deserialize)]
pub struct LostStream {
    pub agent: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TookEffect {
    pub number: u16,
    pub agent: u32,
    #[serde(default)]
    pub spent_ms: f64,
}

#[derive(Deserialize)]
pub struct Fired {
    pub ctx: String,
}

#[derive(Deserialize)]
pub struct FromPeer {
    #[serde(default)]
    pub neighbour: usize,
    #[serde(default)]
    pub payload: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PingResult {
    pub host: String,
    #[serde(default)]
    pub spent_ms: f64,
    pub disposition: String,
    #[serde(default)]
    pub server_stats: serde_json::Value,
}

#[derive(Deserialize)]
pub struct DialledIn {
    #[serde(default)]
    pub w: f64,
    #[serde(default)]
    pub on: bool,
    #[serde(default)]
    pub locality: usize,
    pub agent: u32,
}

fn load(v: &serde_json::Value) -> core::HostLoad {
    let field = |name: &str| v.get(name).and_then(serde_json::Value::as_f64);
    core::HostLoad {
        cpu_utilization: field("cpu_share"),
        queued: field("pending"),
        in_flight: field("busy_reqs"),
    }
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits
        .chunks_exact(2)
        .map(|d| (d[0] * 16 + d[1]) as u8)
        .collect()
}

type Parsed<T> = Result<T, serde_json::Error>;

/// Translates one event; `None` for a kind that the core has no use for.
pub fn event(kind: &str, v: serde_json::Value) -> Parsed<Option<core::Event>> {
    use serde_json::from_value as parse;
    Ok(Some(match kind {
        "Announce" => {
            let a: Announce = parse(v)?;
            let kind = match a.kind {
                ListWord::Incr => core::HostListKind::Delta,
                ListWord::Total => core::HostListKind::Full,
                ListWord::WarmCopy => core::HostListKind::Cached,
                ListWord::Lost => core::HostListKind::Unavailable,
            };
            let entries = a.rows.into_iter().map(|r| core::HostEntry {
                host: r.host.into(),
                zone: r.locality,
                cell: r.unit_group,
                readiness: match r.readiness {
                    ReadyWord::Ready => core::Readiness::Ready,
                    ReadyWord::Terminating => core::Readiness::Draining,
                    ReadyWord::Gone => core::Readiness::Gone,
                },
                weight: r.w,
                started_at: r.up_since_ms,
            });
            core::Event::HostsListed {
                kind,
                entries: entries.collect(),
            }
        }
        "Observed" => {
            let o: Observed = parse(v)?;
            core::Event::HostReported {
                zone: o.locality,
                host: o.host.into(),
                attempts: o.tries_n,
                failed: o.unanswered,
                mean_latency: o.spent_ms,
                span: o.span_ms,
                load: load(&o.server_stats),
            }
        }
        "Traffic" => {
            let t: Traffic = parse(v)?;
            core::Event::TrafficReported {
                proxy: t.agent,
                class: t.priority,
                attempts: t.tries_n,
                failed: t.unanswered,
                span: t.span_ms,
            }
        }
        "LostStream" => core::Event::ProxyLeft {
            proxy: parse::<LostStream>(v)?.agent,
            channel: core::Channel::Shared,
        },
        "TookEffect" => {
            let t: TookEffect = parse(v)?;
            core::Event::Acknowledged {
                ack_number: t.number,
                proxy: t.agent,
                elapsed: t.spent_ms,
                channel: core::Channel::Shared,
            }
        }
        "Fired" => core::Event::TimerFired {
            token: parse::<Fired>(v)?.ctx,
        },
        "FromPeer" => {
            let p: FromPeer = parse(v)?;
            core::Event::PeerMessage {
                from: p.neighbour,
                bytes: unhex(&p.payload),
            }
        }
        "PingResult" => {
            let p: PingResult = parse(v)?;
            core::Event::HealthChecked {
                host: p.host.into(),
                elapsed: p.spent_ms,
                is_answered: p.disposition == "completed",
                load: load(&p.server_stats),
            }
        }
        "DialledIn" => {
            let d: DialledIn = parse(v)?;
            core::Event::ProxyJoined {
                proxy: d.agent,
                zone: d.locality,
                rate: d.w,
                is_fresh: d.on,
                channel: core::Channel::Shared,
            }
        }
        _ => return Ok(None),
    }))
}

/// What goes out, by the wire's names.
#[derive(Serialize)]
#[serde(tag = "m")]
pub enum Order {
    Line {
        director: u64,
        host: String,
        sheet: u32,
        w: f64,
    },
    Empty {
        director: u64,
        sheet: u32,
    },
    Pin {
        director: u64,
        sheet: u32,
        only: u32,
        agent: u32,
    },
    Bench {
        director: u64,
        host: String,
        on: bool,
    },
    Level {
        director: u64,
        sheet: u32,
        quota: f64,
        only: u32,
        again: u8,
    },
    Seal {
        director: u64,
        number: u16,
        on: bool,
    },
    Schedule {
        director: u64,
        ctx: String,
        #[serde(rename = "alarm-time-ms")]
        alarm_time_ms: f64,
    },
    HealthCheck {
        director: u64,
        host: String,
    },
    Share {
        director: u64,
        target: i64,
        payload: String,
    },
    Tail {
        director: u64,
        on: bool,
    },
    NoteDown {
        director: u64,
        #[serde(rename = "reason-text")]
        reason_text: String,
    },
    Die {
        director: u64,
        #[serde(rename = "reason-text")]
        reason_text: String,
    },
}

/// The order of an action; none for those of a channel that the wire does not have.
pub fn order(director: u64, action: core::Action) -> Option<Order> {
    Some(match action {
        core::Action::SetEndpoint {
            table,
            host,
            weight,
        } => Order::Line {
            director,
            host: host.to_string(),
            sheet: table,
            w: weight,
        },
        core::Action::ClearTable { table } => Order::Empty {
            director,
            sheet: table,
        },
        core::Action::BindProxy {
            proxy,
            table,
            classes,
        } => Order::Pin {
            director,
            sheet: table,
            only: classes,
            agent: proxy,
        },
        core::Action::SetWithdrawn {
            channel: core::Channel::Dedicated,
            ..
        } => return None,
        core::Action::SetWithdrawn {
            host,
            is_withdrawn: out,
            ..
        } => Order::Bench {
            director,
            host: host.to_string(),
            on: out,
        },
        core::Action::SetAdmission {
            table,
            classes,
            quota,
            retry_policy: again,
        } => Order::Level {
            director,
            sheet: table,
            quota,
            only: classes,
            again: again as u8,
        },
        core::Action::RequestAck { ack_number: number } => Order::Seal {
            director,
            number,
            on: false,
        },
        core::Action::StartTimer { token, at } => Order::Schedule {
            director,
            ctx: token,
            alarm_time_ms: at,
        },
        core::Action::CheckHealth { host } => Order::HealthCheck {
            director,
            host: host.to_string(),
        },
        core::Action::BroadcastToPeers { bytes } => {
            let payload = bytes.iter().map(|b| format!("{b:02x}")).collect();
            Order::Share {
                director,
                target: -1,
                payload,
            }
        }
        core::Action::SubscribeToHosts => Order::Tail { director, on: true },
        core::Action::Log { text } => Order::NoteDown {
            director,
            reason_text: text,
        },
    })
}
