//! The settings file of a machine: lines of the form `a.b=value`. Fields that are not known are ignored.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

/// What is wrong with a settings file, where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootError {
    /// From 1 on; 0: the field is not there at all.
    pub line: usize,
    pub field: String,
    pub why: String,
}

impl fmt::Display for BootError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.field, self.why),
            line => write!(f, "line {line}: {}: {}", self.field, self.why),
        }
    }
}

impl std::error::Error for BootError {}

/// What a process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Boot {
    pub node_name: String,
    pub zone: String,
    /// All zones, in the order of their names.
    pub zones: Vec<String>,
    /// Where the machine's own addresses are.
    pub ip: std::net::Ipv4Addr,
    pub front_http: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control_plane: Option<SocketAddrV4>,
    /// First and last port that is free for traffic between directors.
    pub internal_ports: (u16, u16),
    /// `control_plane` addresses of some machines.
    pub seeds: Vec<SocketAddrV4>,
    pub first_start: bool,
    pub data_directory: Option<String>,
    pub memory_mb: f64,
    pub descriptors: usize,
    pub cpu_share: f64,
    /// s between two beats of a host.
    pub beat_s: f64,
    /// Machines that count, zones or regions that may be lost at once, whichever are more.
    pub tolerated: usize,
    pub bounds: Bounds,
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// With these, sessions between directors are made; without, the addresses of machines count.
    pub keys: Option<PeerKeys>,
}

/// What a certificate must name, beside its machine, for a director to speak as a core director.
pub const CORE_NAME: &str = "controller";
/// The same name in certificates made by versions before 0.2; still accepted.
pub const EARLIER_CORE_NAME: &str = "exchange";

/// Files in PEM form (`peers.certificate`, `peers.key`, `peers.authority`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerKeys {
    pub certificate: String,
    pub key: String,
    /// Whose certificates other directors must show.
    pub authority: String,
}

/// Times in s, shares and counts, by the names of RULES.md.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub drain_s: f64,
    pub grace_period_s: f64,
    pub configuration_apply_s: f64,
    pub retry_budget_ratio: f64,
    pub budget_window_s: f64,
    pub retry_budget_slack: f64,
    pub key_window_s: f64,
    /// A machine that came back, or is new, has to bear the next loss this long after.
    pub catch_up_s: f64,
}

struct Fields<'a>(BTreeMap<&'a str, (usize, &'a str)>);

impl<'a> Fields<'a> {
    fn read(text: &'a str) -> Result<Fields<'a>, BootError> {
        let mut fields = BTreeMap::new();
        for (k, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let Some((name, value)) = line.split_once('=') else {
                let why = "is not of the form a.b=value".to_string();
                return Err(BootError {
                    line: k + 1,
                    field: line.chars().take(60).collect(),
                    why,
                });
            };
            fields.insert(name.trim(), (k + 1, value.trim()));
        }
        Ok(Fields(fields))
    }

    fn maybe<T: FromStr>(&self, name: &str, what: &str) -> Result<Option<T>, BootError> {
        let Some((line, value)) = self.0.get(name).filter(|f| !f.1.is_empty()) else {
            return Ok(None);
        };
        let why = || format!("{value:?} is not {what}");
        value.parse().map(Some).map_err(|_| BootError {
            line: *line,
            field: name.into(),
            why: why(),
        })
    }

    fn need<T: FromStr>(&self, name: &str, what: &str) -> Result<T, BootError> {
        let lacking = || BootError {
            line: 0,
            field: name.into(),
            why: format!("is missing; it is {what}"),
        };
        self.maybe(name, what)?.ok_or_else(lacking)
    }

    fn list<T: FromStr>(&self, name: &str, what: &str) -> Result<Vec<T>, BootError> {
        let Some((line, value)) = self.0.get(name) else {
            return Ok(Vec::new());
        };
        let parts = value.split(',').map(str::trim).filter(|p| !p.is_empty());
        let bad = |part: &str| BootError {
            line: *line,
            field: name.into(),
            why: format!("{part:?} is not {what}"),
        };
        parts.map(|p| p.parse().map_err(|_| bad(p))).collect()
    }

    /// A number over 0, or its default.
    fn positive(&self, name: &str, default: f64) -> Result<f64, BootError> {
        let Some(value) = self.maybe::<f64>(name, "a number")? else {
            return Ok(default);
        };
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        let line = self.0.get(name).map_or(0, |f| f.0);
        Err(BootError {
            line,
            field: name.into(),
            why: format!("{value} is under 0"),
        })
    }
}

impl Boot {
    /// Reads a whole settings file. What it does not name has the default of DEPLOY.md's example.
    ///
    /// # Errors
    /// The first line or field that can't be used.
    pub fn read(text: &str) -> Result<Boot, BootError> {
        let f = Fields::read(text)?;
        let address = "an address of the form 10.1.0.34:8544";
        let ports: Vec<u16> = f.list("internal_port_range", "a port")?;
        let line = f.0.get("internal_port_range").map_or(0, |f| f.0);
        let &[first, last] = ports.as_slice() else {
            let why = "must hold two ports, first and last".to_string();
            return Err(BootError {
                line,
                field: "internal_port_range".into(),
                why,
            });
        };
        if first > last {
            let why = format!("{first} is above {last}");
            return Err(BootError {
                line,
                field: "internal_port_range".into(),
                why,
            });
        }
        let zone: String = f.need("zone", "a zone's name")?;
        let mut zones: Vec<String> =
            f.0.keys()
                .filter_map(|k| k.strip_prefix("zones."))
                .map(String::from)
                .collect();
        if !zones.contains(&zone) {
            zones.push(zone.clone());
            zones.sort();
        }
        let bounds = Bounds {
            drain_s: f.positive("bounds.drain_s", 2.5)?,
            grace_period_s: f.positive("bounds.grace_period_s", 6.0)?,
            configuration_apply_s: f.positive("bounds.configuration_apply_s", 2.5)?,
            retry_budget_ratio: f.positive("bounds.retry_budget_ratio", 0.2)?,
            budget_window_s: f.positive("bounds.budget_window_s", 10.0)?,
            retry_budget_slack: f.positive("bounds.retry_budget_slack", 10.0)?,
            key_window_s: f.positive("bounds.key_window_s", 60.0)?,
            catch_up_s: f.positive("bounds.catch_up_s", 4.0)?,
        };
        Ok(Boot {
            node_name: f.need("node_name", "the machine's name")?,
            zone,
            zones,
            ip: f.need("ip_address", "an IPv4 address")?,
            front_http: f.maybe("listen_addresses.front_http", address)?,
            readiness: f.maybe("listen_addresses.readiness", address)?,
            control_plane: f.maybe("listen_addresses.control_plane", address)?,
            internal_ports: (first, last),
            seeds: f.list("seed_nodes", address)?,
            first_start: f.maybe("first_start", "true or false")?.unwrap_or(false),
            data_directory: f.maybe("data_directory", "a folder")?,
            memory_mb: f.positive("limits.memory_mb", 256.0)?,
            descriptors: f.positive("limits.file_descriptors", 1024.0)? as usize,
            cpu_share: f.positive("limits.cpu_share", 1.0)?,
            beat_s: f.positive("heartbeat_interval_s", 1.5)?.max(0.05),
            tolerated: tolerated(&f)?,
            bounds,
            log_level: f
                .maybe("log_level", "a level")?
                .unwrap_or_else(|| "info".into()),
            keys: keys(&f)?,
        })
    }
}

/// Machines, zones or regions that may be lost at once, whichever are more.
fn tolerated(f: &Fields<'_>) -> Result<usize, BootError> {
    let mut most = 0.0_f64;
    for field in [
        "fault_tolerance.machines",
        "fault_tolerance.zones",
        "fault_tolerance.regions",
    ] {
        most = most.max(f.positive(field, 0.0)?);
    }
    Ok(most as usize)
}

/// All three files or none: half of them would be taken for safety that is not there.
fn keys(f: &Fields<'_>) -> Result<Option<PeerKeys>, BootError> {
    let names = ["peers.certificate", "peers.key", "peers.authority"];
    if names
        .iter()
        .all(|name| f.0.get(name).is_none_or(|field| field.1.is_empty()))
    {
        return Ok(None);
    }
    let [certificate, key, authority] =
        names.map(|name| f.need(name, "a file, as the other two of peers."));
    Ok(Some(PeerKeys {
        certificate: certificate?,
        key: key?,
        authority: authority?,
    }))
}
