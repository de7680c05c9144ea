//! The settings object that a director is given, and its translation to the core's settings. Both fronts,
//! the adapter to the bench's wire and the daemon on sockets, read their settings through this package.

pub mod figures;

use rushcourse_policy::interface::{
    self as core, AdmissionKind, Idempotency, LoadSource, RetryPolicy,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Options {
    pub categories: Vec<Category>,
    pub family_info: FamilyInfo,
    pub rules: Rules,
    #[serde(default)]
    pub caps: Caps,
    #[serde(default)]
    pub penalties: Penalties,
    #[serde(default)]
    pub reporting: Reporting,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub my_zone: Option<usize>,
    #[serde(default)]
    pub my_number: usize,
    #[serde(default)]
    pub balancers: usize,
    #[serde(default)]
    pub registry_mode: String,
    #[serde(default)]
    pub weight_source: String,
    /// Least time between two batches of the simulator; on sockets, how long inputs are collected.
    #[serde(default)]
    pub quantum_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Category {
    #[serde(default)]
    pub name: String,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    #[serde(default)]
    pub worth: f64,
    pub effect: String,
    #[serde(default)]
    pub key_scope: String,
    #[serde(default)]
    pub key_ttl_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FamilyInfo {
    #[serde(default)]
    pub zonal: bool,
    pub backlog: f64,
    pub push_rate: f64,
    #[serde(default)]
    pub per_message: f64,
    #[serde(default)]
    pub proxy_count: usize,
    #[serde(default)]
    pub update_cap: usize,
    #[serde(default)]
    pub counted_over_ms: f64,
    #[serde(default)]
    pub late_ms: f64,
    #[serde(default)]
    pub transit_max_ms: f64,
    #[serde(default)]
    pub unserved_max_ms: f64,
    #[serde(default)]
    pub report_every_ms: f64,
    #[serde(default)]
    pub level_kind: String,
    #[serde(default)]
    pub base_mode: u8,
    #[serde(default)]
    pub first_wait: f64,
    #[serde(default)]
    pub ejects: u32,
    #[serde(default)]
    pub zone_bound: Vec<bool>,
    #[serde(default)]
    pub class_writes: Vec<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rules {
    #[serde(default)]
    pub drain_grace_ms: f64,
    #[serde(default)]
    pub removal_not_binding: bool,
    #[serde(default)]
    pub start_capacity: f64,
    #[serde(default)]
    pub cold_ms: f64,
    #[serde(default)]
    pub fall_multiple: f64,
    #[serde(default)]
    pub overload_for_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Caps {
    pub may_probe: bool,
    pub peer_messages: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Penalties {
    pub cross_zone: f64,
    pub probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Reporting {
    pub source: String,
}

/// The core's settings: names and units only.
pub fn settings(o: Options) -> core::Settings {
    let info = o.family_info;
    let classes = o
        .categories
        .into_iter()
        .enumerate()
        .map(|(k, c)| core::RequestClass {
            target_latency: c.aim_ms,
            deadline: c.deadline_ms,
            value: c.worth,
            idempotency: match c.effect.as_str() {
                "free" => Idempotency::Idempotent,
                "guarded" => Idempotency::Keyed,
                _ => Idempotency::NotIdempotent,
            },
            is_zone_bound: info.zone_bound.get(k).copied().unwrap_or(false),
            is_write: info.class_writes.get(k).copied().unwrap_or(false),
        });
    core::Settings {
        classes: classes.collect(),
        fleet: core::FleetSettings {
            zones: o.zones.len(),
            own_zone: o.my_zone,
            is_zonal: info.zonal,
            own_index: o.my_number,
            directors: o.balancers,
            proxies: info.proxy_count,
        },
        channel: core::ChannelSettings {
            max_queued_lines: info.backlog,
            lines_per_second: info.push_rate,
            lines_per_message: info.per_message,
            max_messages: info.update_cap,
            message_window: info.counted_over_ms,
            mean_transit: info.late_ms,
            max_transit: info.transit_max_ms,
        },
        hosts: core::HostSettings {
            drain_grace: o.rules.drain_grace_ms,
            may_keep_unlisted: o.rules.removal_not_binding,
            start_capacity: o.rules.start_capacity,
            warm_up: o.rules.cold_ms,
            overload_multiple: o.rules.fall_multiple,
            has_listed_weights: o.weight_source != "off",
        },
        proxies: core::ProxySettings {
            admission_kind: match info.level_kind.as_str() {
                "ratio" => AdmissionKind::Ratio,
                "rps" => AdmissionKind::Rate,
                _ => AdmissionKind::Off,
            },
            retry_policy: match info.base_mode {
                0 => RetryPolicy::Never,
                1 => RetryPolicy::OnceIfNotRun,
                2 => RetryPolicy::OnceAfterFailure,
                _ => RetryPolicy::TwiceAfterFailure,
            },
            ejection_failures: info.ejects,
        },
        report_interval: info.report_every_ms,
        load_source: match o.reporting.source.as_str() {
            "inline" => LoadSource::Reports,
            "on_probe" => LoadSource::HealthChecks,
            _ => LoadSource::Nowhere,
        },
        cross_zone_price: o.penalties.cross_zone,
        may_check_health: o.caps.may_probe,
        may_message_peers: o.caps.peer_messages,
        must_subscribe: o.registry_mode == "subscribe",
    }
}

/// What the daemon needs beside the core's settings: words of the protocol and its own pace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zones and classes by their index.
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    /// ms for which inputs are collected before the module is asked.
    pub quantum: f64,
}

impl Names {
    pub fn of(o: &Options) -> Names {
        Names {
            zones: o.zones.clone(),
            classes: o.categories.iter().map(|c| c.name.clone()).collect(),
            quantum: if o.quantum_ms.is_finite() {
                o.quantum_ms.clamp(0.0, 100.0)
            } else {
                0.0
            },
        }
    }
}

/// What is senseless in the settings, in plain words: the first thing found.
pub fn senseless(o: &Options) -> Option<String> {
    let info = &o.family_info;
    if o.categories.is_empty() {
        return Some("settings.categories names no class of requests".into());
    }
    if o.categories.len() > 32 {
        return Some(format!(
            "settings.categories names {} classes, 32 at most",
            o.categories.len()
        ));
    }
    let word =
        |s: &String| s.is_empty() || s.contains(|c: char| c.is_whitespace() || ",;+*".contains(c));
    if let Some(k) = o.categories.iter().position(|c| word(&c.name)) {
        return Some(format!(
            "settings.categories[{k}].name is no word: {:?}",
            o.categories[k].name
        ));
    }
    if let Some(k) = o.zones.iter().position(word) {
        return Some(format!("settings.zones[{k}] is no word: {:?}", o.zones[k]));
    }
    if o.my_zone.is_some_and(|z| z >= o.zones.len()) {
        return Some("settings.my-zone is not the index of a zone".into());
    }
    let above = [("push-rate", info.push_rate), ("backlog", info.backlog)];
    let bad = above.iter().find(|(_, v)| !(v.is_finite() && *v > 0.0));
    bad.map(|(name, v)| format!("settings.family-info.{name} must be above 0, it is {v}"))
}
