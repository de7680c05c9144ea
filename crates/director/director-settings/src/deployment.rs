//! The settings object with the field names that the platform documents. Fields whose names begin with an underscore
//! are unused; they are declared so that values of the wrong type are rejected.

use rushcourse_policy::interface::Ms;
use serde::Deserialize;

/// Upper bound of [`DeploymentSettings::batch_interval`].
const MAX_BATCH_INTERVAL: Ms = 100.0;

/// The settings of a deployment, as the platform writes them in JSON. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeploymentSettings {
    pub(crate) categories: Vec<Category>,
    pub(crate) family_info: FamilyInfo,
    pub(crate) rules: Rules,
    #[serde(default)]
    pub(crate) caps: Caps,
    #[serde(default)]
    pub(crate) penalties: Penalties,
    #[serde(default)]
    pub(crate) reporting: Reporting,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(default)]
    pub(crate) my_zone: Option<usize>,
    #[serde(default)]
    pub(crate) my_number: usize,
    #[serde(default)]
    pub(crate) balancers: usize,
    #[serde(default)]
    pub(crate) registry_mode: String,
    #[serde(default)]
    pub(crate) weight_source: String,
    /// Minimum time between two batches in the simulator; on sockets, how long inputs are collected.
    #[serde(default)]
    quantum_ms: Ms,
}

impl DeploymentSettings {
    /// How long inputs are collected before the policy processes them as one batch, from 0 to 100 ms.
    pub fn batch_interval(&self) -> Ms {
        if self.quantum_ms.is_finite() {
            self.quantum_ms.clamp(0.0, MAX_BATCH_INTERVAL)
        } else {
            0.0
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Category {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) aim_ms: Ms,
    pub(crate) deadline_ms: Ms,
    #[serde(default)]
    pub(crate) worth: f64,
    pub(crate) effect: String,
    #[serde(default, rename = "key-scope")]
    _key_scope: String,
    #[serde(default, rename = "key-ttl-ms")]
    _key_ttl_ms: Ms,
}

/// The proxies of the service, and limits of the channel that carries updates to them.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct FamilyInfo {
    #[serde(default)]
    pub(crate) zonal: bool,
    pub(crate) backlog: f64,
    pub(crate) push_rate: f64,
    #[serde(default)]
    pub(crate) per_message: f64,
    #[serde(default)]
    pub(crate) proxy_count: usize,
    #[serde(default)]
    pub(crate) update_cap: usize,
    #[serde(default)]
    pub(crate) counted_over_ms: Ms,
    #[serde(default)]
    pub(crate) late_ms: Ms,
    #[serde(default)]
    pub(crate) transit_max_ms: Ms,
    #[serde(default, rename = "unserved-max-ms")]
    _unserved_max_ms: Ms,
    #[serde(default)]
    pub(crate) report_every_ms: Ms,
    #[serde(default)]
    pub(crate) level_kind: String,
    #[serde(default)]
    pub(crate) base_mode: u8,
    #[serde(default, rename = "first-wait")]
    _first_wait: f64,
    #[serde(default)]
    pub(crate) ejects: u32,
    #[serde(default)]
    pub(crate) zone_bound: Vec<bool>,
    #[serde(default)]
    pub(crate) class_writes: Vec<bool>,
}

/// How hosts warm up, drain and are removed.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Rules {
    #[serde(default)]
    pub(crate) drain_grace_ms: Ms,
    #[serde(default)]
    pub(crate) removal_not_binding: bool,
    #[serde(default)]
    pub(crate) start_capacity: f64,
    #[serde(default)]
    pub(crate) cold_ms: Ms,
    #[serde(default)]
    pub(crate) fall_multiple: f64,
    #[serde(default, rename = "overload-for-ms")]
    _overload_for_ms: Ms,
}

/// Optional abilities of a director: checking the health of hosts, and sending messages to its peers.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct Caps {
    pub(crate) may_probe: bool,
    pub(crate) peer_messages: bool,
}

/// Costs of routing decisions, on the scale of a response's value (`worth`).
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct Penalties {
    pub(crate) cross_zone: f64,
    #[serde(rename = "probe")]
    _probe: f64,
}

/// How hosts report their load.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Reporting {
    pub(crate) source: String,
}
