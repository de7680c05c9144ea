//! Tables of weighted endpoints, and the groups of classes that share them.

use crate::interface::{
    ByHost, Channel, ClassId, ClassMask, FIRST_DEDICATED_TABLE, ProxyId, RetryPolicy, TableId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Number of table numbers per channel. On the wire of the shared channel they have 16 bits.
const TABLE_NUMBERS: TableId = 65_000;

/// Identifies the proxies and classes that share a table. Each channel has its own tables, so that a stalled
/// channel does not delay the proxies of the other one. The order of the fields determines the sort order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TableKey {
    pub zone: ZoneId,
    pub group: usize,
    /// Whether the table stays empty, because its proxies exceed the capacity of their zone.
    pub is_closed: bool,
    pub pool: usize,
    pub channel: Channel,
}

/// Admission quota and retry policy of a class at the proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Admission {
    /// Fraction of the requests that is admitted, above 0 and at most 1.
    pub quota: f64,
    pub retry_policy: RetryPolicy,
}

/// A table as last sent to the proxies.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub key: TableKey,
    /// Weights by host, all above 0.
    pub weights: ByHost<f64>,
    /// Admissions that were sent. Classes without an entry have the default of the proxies.
    pub admission: BTreeMap<ClassId, Admission>,
    /// Proxies that are bound to the table for at least one group.
    pub users: BTreeSet<ProxyId>,
}

/// A group of classes that share tables, either all zone-bound or none of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassGroup {
    pub classes: ClassMask,
    /// Whether requests must stay in the proxy's zone.
    pub is_zone_bound: bool,
}

impl ClassGroup {
    /// The classes of the group in ascending order.
    pub fn iter(self) -> impl Iterator<Item = ClassId> {
        (0..ClassMask::BITS as usize).filter(move |class| self.classes >> class & 1 == 1)
    }
}

/// All tables, and which of them are current.
#[derive(Debug, Default)]
pub(crate) struct TableSet {
    pub by_id: BTreeMap<TableId, Table>,
    /// Tables to which proxies should be bound. Other tables are retired.
    pub current: BTreeMap<TableKey, TableId>,
    /// Groups of classes; `TableKey::group` is an index into them.
    pub groups: Vec<ClassGroup>,
    /// Number of the newest table, relative to the first number of its channel.
    last_number: TableId,
}

impl TableSet {
    /// Creates a set without tables. `TableKey::group` is an index into `groups`.
    pub fn new(groups: Vec<ClassGroup>) -> TableSet {
        TableSet { groups, ..TableSet::default() }
    }

    /// The classes that the tables of a key serve. Panics if `key.group` is not an index into `groups`.
    pub fn group(&self, key: &TableKey) -> ClassGroup {
        self.groups[key.group]
    }

    /// Proxies that are bound to a table, in ascending order; none if the table does not exist.
    pub fn users(&self, table: TableId) -> impl Iterator<Item = ProxyId> {
        self.by_id.get(&table).into_iter().flat_map(|table| table.users.iter().copied())
    }

    /// Whether proxies should be bound to a table. A retired one only serves proxies that are not rebound yet.
    pub fn is_current(&self, table: TableId) -> bool {
        self.current.get(&self.by_id[&table].key) == Some(&table)
    }

    /// Whether the table exists and contains the host with a weight above 0.
    pub fn has_endpoint(&self, table: TableId, host: &str) -> bool {
        self.by_id.get(&table).is_some_and(|table| table.weights.contains_key(host))
    }

    /// The current table of a key, created on demand. A new table is filled before a proxy is bound to it, which
    /// writes no lines.
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

    /// Removes and returns the tables that no proxy uses and that are not current. Tables of pools numbered
    /// `pools` or higher are retired first.
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

    /// Records that a proxy is bound to a table. Does nothing if the table does not exist.
    pub fn add_user(&mut self, table: TableId, proxy: ProxyId) {
        if let Some(table) = self.by_id.get_mut(&table) {
            table.users.insert(proxy);
        }
    }

    /// Records that a proxy is no longer bound to a table. Does nothing if the table does not exist.
    pub fn remove_user(&mut self, table: TableId, proxy: ProxyId) {
        if let Some(table) = self.by_id.get_mut(&table) {
            table.users.remove(&proxy);
        }
    }
}
