//! Updates: changes that bring tables and proxies from their sent state to the target state.

use super::hosts::ChannelHost;
use crate::interface::{Channel, ClassId, HostId, ProxyId, TableId};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt;

/// A change of a table or of a proxy. The order of variants and fields breaks ties between equal priorities.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Update {
    /// Sets or removes the weight of a host in a table.
    Endpoint { table: TableId, host: HostId },
    /// Binds a proxy to a table for a group of classes.
    Bind { proxy: ProxyId, group: usize, table: TableId },
    /// Sets the admission quota and retry policy of a class in a table.
    Admission { table: TableId, class: ClassId },
    /// Withdraws a host from all tables of a channel.
    Withdraw { host: HostId, channel: Channel },
    /// Ends the withdrawal of a host on a channel.
    Restore { host: HostId, channel: Channel },
}

impl Update {
    /// Returns the update that withdraws the host from all tables of its channel.
    pub fn withdraw(host: &ChannelHost<'_>) -> Update {
        Update::Withdraw { host: host.id.clone(), channel: host.channel }
    }

    /// Returns the update that ends the withdrawal of the host on its channel.
    pub fn restore(host: &ChannelHost<'_>) -> Update {
        Update::Restore { host: host.id.clone(), channel: host.channel }
    }
}

impl fmt::Display for Update {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Update::Endpoint { table, host } => write!(f, "update=endpoint table={table} host={host}"),
            Update::Bind { proxy, group, table } => {
                write!(f, "update=bind proxy={proxy} group={group} table={table}")
            }
            Update::Admission { table, class } => write!(f, "update=admission table={table} class={class}"),
            Update::Withdraw { host, channel } => write!(f, "update=withdraw host={host} channel={channel}"),
            Update::Restore { host, channel } => write!(f, "update=restore host={host} channel={channel}"),
        }
    }
}

/// An update with its priority and value, before it is sent.
#[derive(Clone, Debug)]
pub(crate) struct PlannedUpdate {
    /// Size of the change. Larger values are sent first, `URGENT` ones outside of rounds too.
    pub priority: f64,
    pub update: Update,
    /// The new weight or quota; 0 for other updates.
    pub value: f64,
}

/// Priority of updates that are sent without waiting for a round and without the safety check.
pub(crate) const URGENT: f64 = f64::INFINITY;

impl PlannedUpdate {
    /// Creates an update that carries no weight or quota.
    pub fn new(priority: f64, update: Update) -> PlannedUpdate {
        PlannedUpdate { priority, update, value: 0.0 }
    }

    /// Whether the update is sent without waiting for a round and without the safety check.
    pub fn is_urgent(&self) -> bool {
        self.priority.is_infinite()
    }

    /// Orders updates by descending priority, and equal ones by `Update`.
    pub fn sending_order(&self, other: &PlannedUpdate) -> Ordering {
        other.priority.total_cmp(&self.priority).then_with(|| self.update.cmp(&other.update))
    }
}

/// Status of a table that determines which updates it gets and how urgent they are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TableStatus {
    /// Whether proxies should be bound to the table; otherwise it is retired.
    pub is_current: bool,
    /// Whether the table has no users or no live host, so that any change is safe.
    pub carries_no_traffic: bool,
}

/// The planned updates of a step.
#[derive(Debug, Default)]
pub(crate) struct UpdatePlan {
    pub updates: Vec<PlannedUpdate>,
    /// Hosts whose weight in a table of a channel is above its target; they are not restored yet.
    pub overweight: BTreeSet<(HostId, Channel)>,
}

impl UpdatePlan {
    /// Plans an update of a table. Retired tables get urgent updates only; every update of a table without
    /// traffic is urgent.
    pub fn add(&mut self, table: TableStatus, is_urgent: bool, update: PlannedUpdate) {
        if is_urgent || table.is_current {
            let priority = if table.carries_no_traffic || is_urgent { URGENT } else { update.priority };
            self.updates.push(PlannedUpdate { priority, ..update });
        }
    }
}
