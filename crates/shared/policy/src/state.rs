//! Plain records that the decisions keep. No logic.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub standing: Certainty,
    /// Number of the reply that last touched it, and when that went out.
    pub reply: u64,
    pub since: Ms,
    /// When a removal was answered.
    pub answered: Option<Ms>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    pub rate: f64,
    /// What came to it of late.
    pub came: Sums,
    /// Joinings up to its own.
    pub nth: usize,
    /// The pool of hosts that its tables name.
    pub pool: usize,
    /// By group of classes: the table, and the lines the model gives it.
    pub bound: Vec<Option<TableId>>,
    pub lines: Vec<ByHost<Held>>,
    /// When messages were written to it.
    pub written: VecDeque<Ms>,
    pub channel: Channel,
    /// The slowest answer of late on a channel of its own.
    pub slowest: Ms,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub key: TableKey,
    pub lines: ByHost<f64>,
    pub levels: BTreeMap<ClassId, (f64, RetryPolicy)>,
    /// Proxies that are bound to it.
    pub users: BTreeSet<ProxyId>,
}

/// Messages of one reply that wait for answers in the shared channel, with their lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flight {
    pub at: Ms,
    pub lines: BTreeMap<ProxyId, f64>,
    /// Their sum.
    pub waiting: f64,
    /// How often they may have been written beyond once.
    pub again: f64,
}

/// Decayed sums of what proxies met.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sums {
    pub tries: f64,
    pub failed: f64,
    pub time: f64,
    pub at: Ms,
}

/// A host that failed for proxies of some zones: out of their tables until, then eased in again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub zones: BTreeSet<ZoneId>,
    pub until: Ms,
    /// It has answered since.
    pub proved: bool,
    pub strikes: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Listed {
    pub entry: HostEntry,
    /// Shut out of all tables of a channel by an order, by `Channel as usize`.
    pub withdrawn: [bool; 2],
    /// Joinings before its withdrawal was last ordered on the shared channel, and when.
    pub told: (usize, Ms),
    /// Since when the list calls it gone while it may still serve.
    pub doubted: Option<Ms>,
    /// Since when it is gone.
    pub gone: Option<Ms>,
    /// The pool that it serves.
    pub pool: usize,
}

impl Listed {
    /// As first listed, in no pool yet.
    pub fn of(entry: HostEntry) -> Listed {
        Listed { entry, withdrawn: [false; 2], told: (0, 0.0), doubted: None, gone: None, pool: usize::MAX }
    }
}

/// One pending change; its value is a weight or a level.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Key {
    Line(TableId, HostId),
    Bind(ProxyId, usize, TableId),
    Level(TableId, ClassId),
    Withdraw(HostId, Channel),
    Return(HostId, Channel),
}

/// A change: its size (infinite: urgent), what it is, and its weight or level.
#[derive(Clone, Debug)]
pub(crate) struct Change(pub f64, pub Key, pub f64);

/// A host as a candidate for a table: its weight, what the ramp leaves of it, and what its health does.
pub(crate) struct Part<'a> {
    pub host: &'a HostId,
    pub weight: f64,
    pub up: f64,
    pub fit: f64,
}

/// Zone, group of classes, closed, pool, channel: a stalled channel's tables hold up no other channel's proxies.
pub(crate) type TableKey = (ZoneId, usize, bool, usize, Channel);

/// What holds for a zone's proxies: their levels, and on what these rest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    /// What a cold host may weigh at most: all when they are served well, less in a jam.
    pub hold: f64,
    /// Whether a jam can make proxies keep away from full hosts.
    pub flees: bool,
    pub admit: f64,
    /// Most good answers seen in a report's memory for a request a second that joined proxies usually bring,
    /// the part of them let in, and the last fullness.
    pub carried: f64,
    pub part: f64,
    pub full: f64,
    pub at: Ms,
    /// What was asked, by class.
    pub usage: Vec<Sums>,
}

/// One director: what it was told, what it ordered, and what it makes of both.
#[derive(Default)]
pub struct Director {
    pub(crate) s: Settings,
    pub(crate) now: Ms,
    /// Sums from before this judge nobody.
    pub(crate) heard_from: Ms,
    /// ms until the effect of an order can show in the sums.
    pub(crate) pause: Ms,
    /// What a host of a zone weighs for proxies of another, beside one of their own.
    pub(crate) reach: Vec<Vec<f64>>,
    pub(crate) started: bool,
    pub(crate) next_round: Ms,
    /// When it begins to order: a round after its start, as it knows by then who joins.
    pub(crate) opens: Ms,
    pub(crate) list: ByHost<Listed>,
    pub(crate) pools: usize,
    /// Masks of the classes that share tables, and whether they are bound to the proxy's zone.
    pub(crate) groups: Vec<(u32, bool)>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) current: BTreeMap<TableKey, TableId>,
    pub(crate) last_table: TableId,
    /// The buffer: changes that have not passed the check, since when.
    pub(crate) buffer: BTreeMap<Key, Ms>,
    pub(crate) flights: BTreeMap<u64, Flight>,
    /// Number of the reply in the making, its orders, and its lines by proxy.
    pub(crate) reply: u64,
    pub(crate) out: Vec<Action>,
    pub(crate) lines: BTreeMap<ProxyId, f64>,
    /// What these bring to the shared channel.
    pub(crate) sent: f64,
    /// Proxies and changes looked at since the start.
    pub(crate) looked: u64,
    /// Proxies that have joined since the last round.
    pub(crate) joined: BTreeSet<ProxyId>,
    /// When the last proxy joined, and how many have.
    pub(crate) came_at: Ms,
    pub(crate) joins: usize,
    /// The slowest answer of late on the shared channel.
    pub(crate) slowest: Ms,
    pub(crate) sums: BTreeMap<(ZoneId, HostId), Sums>,
    pub(crate) health: ByHost<Health>,
    /// Part of its weight that a straining host keeps, since when.
    pub(crate) grades: ByHost<(f64, Ms)>,
    /// By zone of the proxies.
    pub(crate) gates: Vec<Gate>,
}
