//! Tables, and the groups of classes that share them.

use crate::interface::{
    ByHost, Channel, ClassId, ClassMask, FIRST_DEDICATED_TABLE, ProxyId, RetryPolicy, TableId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of a channel's tables. On the wire of the shared channel they have 16 bits.
const TABLE_NUMBERS: TableId = 65_000;

/// What a table is for. A stalled channel's tables hold up no other channel's proxies, so each has its own.
/// The order of the fields is the order of the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TableKey {
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The group of classes.
    pub group: usize,
    /// Without endpoints: its proxies are beyond what the hosts of their zone can take.
    pub is_closed: bool,
    /// The pool of hosts.
    pub pool: usize,
    /// The channel of the proxies.
    pub channel: Channel,
}

/// What proxies admit of a class, and when they retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Admission {
    /// The part that is admitted.
    pub quota: f64,
    pub retry_policy: RetryPolicy,
}

/// A table as ordered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub key: TableKey,
    /// The weight of each host, above 0.
    pub weights: ByHost<f64>,
    /// Levels that were ordered; other classes have the proxies' default.
    pub admission: BTreeMap<ClassId, Admission>,
    /// Proxies that are bound to it.
    pub users: BTreeSet<ProxyId>,
}

/// Classes that share tables.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassGroup {
    pub classes: ClassMask,
    /// Their requests may go only to hosts of the proxy's zone.
    pub is_zone_bound: bool,
}

impl ClassGroup {
    /// Its classes, in their order.
    pub fn iter(self) -> impl Iterator<Item = ClassId> {
        (0..ClassMask::BITS as usize).filter(move |class| self.classes >> class & 1 == 1)
    }
}

/// All tables that there are.
#[derive(Debug, Default)]
pub(crate) struct TableSet {
    pub by_id: BTreeMap<TableId, Table>,
    /// The table that proxies are to be bound to, by what it is for.
    pub current: BTreeMap<TableKey, TableId>,
    /// Groups of classes; a `TableKey` names them by their position.
    pub groups: Vec<ClassGroup>,
    /// The number that was given last, without its channel's first.
    last_number: TableId,
}

impl TableSet {
    /// No tables yet.
    pub fn new(groups: Vec<ClassGroup>) -> TableSet {
        TableSet { groups, ..TableSet::default() }
    }

    /// The group of a table's classes.
    pub fn group(&self, key: &TableKey) -> ClassGroup {
        self.groups[key.group]
    }

    /// Proxies that are bound to a table.
    pub fn users(&self, table: TableId) -> impl Iterator<Item = ProxyId> {
        self.by_id.get(&table).into_iter().flat_map(|table| table.users.iter().copied())
    }

    /// Whether proxies are to be bound to a table: one that is no longer current is being left.
    pub fn is_current(&self, table: TableId) -> bool {
        self.current.get(&self.by_id[&table].key) == Some(&table)
    }

    /// Whether a table names a host.
    pub fn has_endpoint(&self, table: TableId, host: &str) -> bool {
        self.by_id.get(&table).is_some_and(|table| table.weights.contains_key(host))
    }

    /// The current table of a key. A new one is filled before a proxy is bound to it, which costs no line.
    pub fn current_or_new(&mut self, key: TableKey) -> TableId {
        if let Some(table) = self.current.get(&key) {
            return *table;
        }
        let base = if key.channel == Channel::Dedicated { FIRST_DEDICATED_TABLE } else { 0 };
        let is_free = |table: &TableId| !self.by_id.contains_key(table);
        let numbers = (0..).map(|offset| base + (self.last_number + offset) % TABLE_NUMBERS + 1);
        let table = numbers.into_iter().find(is_free).expect("few of the numbers are in use");
        self.last_number = table - base;
        self.by_id.insert(table, Table { key, ..Table::default() });
        self.current.insert(key, table);
        table
    }

    /// Removes tables that no proxy uses and none is to be bound to, those of pools that there are no more
    /// included. Answers which.
    pub fn remove_idle(&mut self, pools: usize) -> Vec<TableId> {
        self.current.retain(|key, _| key.pool < pools);
        let current: BTreeSet<TableId> = self.current.values().copied().collect();
        let is_idle = |(id, table): &(&TableId, &Table)| table.users.is_empty() && !current.contains(id);
        let idle: Vec<TableId> = self.by_id.iter().filter(is_idle).map(|(id, _)| *id).collect();
        for table in &idle {
            self.by_id.remove(table);
        }
        idle
    }

    /// Makes a proxy a user of a table.
    pub fn add_user(&mut self, table: TableId, proxy: ProxyId) {
        if let Some(table) = self.by_id.get_mut(&table) {
            table.users.insert(proxy);
        }
    }

    /// A proxy uses a table no longer.
    pub fn remove_user(&mut self, table: TableId, proxy: ProxyId) {
        if let Some(table) = self.by_id.get_mut(&table) {
            table.users.remove(&proxy);
        }
    }
}
