//! Counts of executed requests per tenant, from which usage reports are made.

use rushcourse_types::{Incarnation, NodeId, WindowNumber};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Requests of one tenant that hosts began to execute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCount {
    /// The tenant's name in the configuration.
    pub tenant: Arc<str>,
    /// Number of requests since the start of the window.
    pub requests: u32,
}

/// Cumulative counts of one run of a gateway process in one report window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// The gateway that counted.
    pub gateway: NodeId,
    /// The run of the gateway's process; the counts of several runs add up.
    pub incarnation: Incarnation,
    /// The report window.
    pub window: WindowNumber,
    /// Counts with a higher revision replace those with a lower one.
    pub revision: u64,
    /// Whether the window had ended at the gateway when the counts were taken.
    pub has_ended: bool,
    /// The counts of all tenants with requests, in ascending order of name.
    pub counts: Vec<TenantCount>,
}
