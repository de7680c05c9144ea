//! Updates: differences between what was ordered and what is wanted.

use super::hosts::ChannelHost;
use crate::interface::{Channel, ClassId, HostId, ProxyId, TableId};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt;

/// What an update changes. The order of the variants and of their fields decides between updates of one size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Update {
    /// The weight of a host in a table.
    Endpoint { table: TableId, host: HostId },
    /// The table of a proxy for a group of classes.
    Bind { proxy: ProxyId, group: usize, table: TableId },
    /// The admission level of a class in a table.
    Admission { table: TableId, class: ClassId },
    /// A host leaves all tables of a channel's proxies.
    Withdraw { host: HostId, channel: Channel },
    /// A host that was withdrawn comes back.
    Restore { host: HostId, channel: Channel },
}

impl Update {
    /// The withdrawal of a host.
    pub fn withdraw(host: &ChannelHost<'_>) -> Update {
        Update::Withdraw { host: host.id.clone(), channel: host.channel }
    }

    /// The end of a host's withdrawal.
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

/// An update that is to be sent.
#[derive(Clone, Debug)]
pub(crate) struct PlannedUpdate {
    /// How much it changes; the larger, the sooner it goes. `URGENT`: at once.
    pub size: f64,
    pub update: Update,
    /// The weight or the level that it sets, if it sets one.
    pub value: f64,
}

/// The size of updates that wait neither for a round nor for the check.
pub(crate) const URGENT: f64 = f64::INFINITY;

impl PlannedUpdate {
    /// An update that sets no value.
    pub fn new(size: f64, update: Update) -> PlannedUpdate {
        PlannedUpdate { size, update, value: 0.0 }
    }

    /// Whether it waits neither for a round nor for the check.
    pub fn is_urgent(&self) -> bool {
        self.size.is_infinite()
    }

    /// The order in which updates are sent: the largest first.
    pub fn sending_order(&self, other: &PlannedUpdate) -> Ordering {
        other.size.total_cmp(&self.size).then_with(|| self.update.cmp(&other.update))
    }
}

/// How a table stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TableStatus {
    /// Proxies are to be bound to it; otherwise they are to leave it.
    pub is_current: bool,
    /// No proxy uses it, or no host of it takes requests: changing it takes nothing from anyone.
    pub is_free: bool,
}

/// Updates that bring tables to their targets.
#[derive(Debug, Default)]
pub(crate) struct UpdatePlan {
    pub updates: Vec<PlannedUpdate>,
    /// Hosts that weigh too much in a table of a channel to be let back there.
    pub overweight: BTreeSet<(HostId, Channel)>,
}

impl UpdatePlan {
    /// Adds an update to a table. One that proxies are to leave gets urgent ones only; all are urgent for a
    /// free one.
    pub fn add(&mut self, table: TableStatus, is_urgent: bool, update: PlannedUpdate) {
        if is_urgent || table.is_current {
            let size = if table.is_free || is_urgent { URGENT } else { update.size };
            self.updates.push(PlannedUpdate { size, ..update });
        }
    }
}
