//! What a director holds of its proxies and tables, for people to look at. Nothing of it comes back.

use std::fmt;

use super::ids::{ByHost, Channel, ClassMask, HostId, ProxyId, TableId, ZoneId};

/// The model and the tables as they stand.
#[derive(Clone, Debug, Default)]
pub struct DirectorView {
    /// Joined proxies.
    pub proxies: Vec<ProxyView>,
    /// Tables with their endpoints.
    pub tables: Vec<TableView>,
    /// Hosts withdrawn from a channel's tables.
    pub withdrawn: Vec<WithdrawnHost>,
    /// Lines sent on the shared channel that no proxy has acknowledged.
    pub unacknowledged_lines: f64,
    /// Updates that have not passed the check yet.
    pub pending_updates: usize,
}

/// A proxy as the model has it.
#[derive(Clone, Debug)]
pub struct ProxyView {
    /// Its number.
    pub proxy: ProxyId,
    /// Its zone.
    pub zone: ZoneId,
    /// What it holds for each group of classes.
    pub groups: Vec<ClassGroupView>,
}

/// What a proxy holds for the classes that share a table.
#[derive(Clone, Debug)]
pub struct ClassGroupView {
    /// The classes.
    pub classes: ClassMask,
    /// The table that the proxy is bound to.
    pub table: Option<TableId>,
    /// The endpoints that it may hold.
    pub endpoints: Vec<EndpointView>,
}

/// An endpoint that a proxy may hold.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// The host.
    pub host: HostId,
    /// What is known of it.
    pub certainty: Certainty,
}

/// What the model knows of one endpoint at one proxy (paper, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// The proxy holds it.
    Certain,
    /// Uncertain: it is being added, or was added and not acknowledged.
    Adding,
    /// Uncertain: it is being removed.
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

/// A table's endpoints.
#[derive(Clone, Debug)]
pub struct TableView {
    /// Its number.
    pub table: TableId,
    /// The weight of each host.
    pub weights: ByHost<f64>,
}

/// A host that is withdrawn from a channel's tables.
#[derive(Clone, Debug)]
pub struct WithdrawnHost {
    /// The host.
    pub host: HostId,
    /// The channel whose proxies were told.
    pub channel: Channel,
}
