//! Read-only snapshot of a director's proxies and tables, for diagnostics.

use std::fmt;

use super::ids::{ByHost, Channel, ClassMask, HostId, ProxyId, TableId, ZoneId};

/// Snapshot of the model and the tables of a director.
#[derive(Clone, Debug, Default)]
pub struct DirectorView {
    /// Joined proxies, sorted by number.
    pub proxies: Vec<ProxyView>,
    /// Tables with their endpoints, sorted by number.
    pub tables: Vec<TableView>,
    /// Hosts that are withdrawn, once per channel on which they are.
    pub withdrawn: Vec<WithdrawnHost>,
    /// Lines sent on the shared channel that are not acknowledged yet.
    pub unacknowledged_lines: f64,
    /// Number of updates that have not passed the safety check yet.
    pub pending_updates: usize,
}

/// Modeled state of a joined proxy.
#[derive(Clone, Debug)]
pub struct ProxyView {
    /// Number under which the proxy joined.
    pub proxy: ProxyId,
    /// Zone in which the proxy runs.
    pub zone: ZoneId,
    /// Table and endpoints for each group of classes.
    pub groups: Vec<ClassGroupView>,
}

/// Modeled state of a proxy for the classes that share a table.
#[derive(Clone, Debug)]
pub struct ClassGroupView {
    /// Classes of the group.
    pub classes: ClassMask,
    /// Table that the proxy is bound to; `None` before the first bind.
    pub table: Option<TableId>,
    /// Endpoints that the proxy may hold, sorted by host.
    pub endpoints: Vec<EndpointView>,
}

/// An endpoint that a proxy may hold.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Host that the endpoint refers to.
    pub host: HostId,
    /// Whether the proxy holds the endpoint, as far as the director knows.
    pub certainty: Certainty,
}

/// Knowledge about an endpoint of a proxy (CCG paper, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// The proxy holds the endpoint.
    Certain,
    /// The endpoint was added, but the proxy has not acknowledged it yet.
    Adding,
    /// The endpoint was removed, but the removal may not have taken effect yet.
    Removing,
}

impl fmt::Display for Certainty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Certainty::Certain => "certain",
            Certainty::Adding => "adding",
            Certainty::Removing => "removing",
        })
    }
}

/// Endpoints of a table.
#[derive(Clone, Debug)]
pub struct TableView {
    /// Number of the table, which also determines its channel.
    pub table: TableId,
    /// Weights by host, all above 0.
    pub weights: ByHost<f64>,
}

/// A host that is withdrawn on a channel.
#[derive(Clone, Debug)]
pub struct WithdrawnHost {
    /// Host that the proxies of the channel do not use.
    pub host: HostId,
    /// Channel on which the withdrawal was sent.
    pub channel: Channel,
}
