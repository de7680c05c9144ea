//! What a front hands to a director and what it gets back: settings, events, actions, ids. Types only.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Milliseconds on the front's clock.
pub type Ms = f64;
/// A host's word: sorted, never read.
pub type HostId = Arc<str>;
pub type ProxyId = u32;
pub type TableId = u32;
pub type ClassId = usize;
pub type ZoneId = usize;

/// How a proxy is reached. Order, answers and room hold within one channel and prove nothing about another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// One channel in order for all proxies that share it: an answer shows that all before it has left.
    #[default]
    Shared,
    /// A stream of the proxy's own. Its front keeps the newest state for it and no queue.
    Own,
}

/// Tables from this number on are those of proxies with a channel of their own; below are those of the shared one.
pub const OWN_TABLES: TableId = 100_000;

impl Channel {
    pub const ALL: [Channel; 2] = [Channel::Shared, Channel::Own];

    /// The channel whose proxies a table serves.
    pub fn of(table: TableId) -> Channel {
        if table >= OWN_TABLES { Channel::Own } else { Channel::Shared }
    }
}

/// What a class allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Free,
    Guarded,
    SingleShot,
}

/// Which hosts drop a repeat of a guarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// Whether levels are shares, rates, or disregarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LevelKind {
    Ratio,
    Rate,
    #[default]
    Off,
}

/// Where hosts show their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSource {
    Sums,
    Probes,
    #[default]
    Nowhere,
}

/// When a proxy tries another host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Again {
    #[default]
    Never,
    AfterProof,
    OnceAfterAny,
    TwiceAfterAny,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub aim: Ms,
    pub deadline: Ms,
    pub worth: f64,
    pub effect: Effect,
    pub key_scope: KeyScope,
    pub key_ttl: Ms,
    /// It may go only to hosts of the proxy's zone.
    pub zone_bound: bool,
    pub writes: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub zones: usize,
    pub my_zone: Option<ZoneId>,
    /// A proxy joins a director of its own zone if there is one; else chance deals it.
    pub zonal: bool,
    pub me: usize,
    pub directors: usize,
    pub proxies: usize,
    /// Lines that may wait in the channel.
    pub backlog: f64,
    /// Lines a second that the channel carries by its data sheet.
    pub push_rate: f64,
    /// Lines that each message costs beyond its own.
    pub per_message: f64,
    /// Messages to one proxy within `counted_over`; 0 is no limit.
    pub update_cap: usize,
    pub counted_over: Ms,
    /// Mean and longest way of a message from the channel to its proxy.
    pub late: Ms,
    pub transit_max: Ms,
    /// How long a joined proxy may be without a line.
    pub unserved_max: Ms,
    pub report_every: Ms,
    pub level_kind: LevelKind,
    pub base_again: Again,
    pub first_wait: f64,
    /// A proxy keeps away from a host for a while after so many of its own tries in a row failed; 0: never.
    pub ejects: u32,
    pub may_probe: bool,
    pub may_tell: bool,
    pub must_subscribe: bool,
    pub load_source: LoadSource,
    pub drain_grace: Ms,
    /// A host that is dropped from the list without a drain may stay in tables.
    pub gone_may_stay: bool,
    /// A started host has at least this part of its capacity, and all of it after `cold`.
    pub start_capacity: f64,
    pub cold: Ms,
    pub fall_multiple: f64,
    pub overload_for: Ms,
    pub cross_zone_price: f64,
    pub probe_price: f64,
    pub listed_weights: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Altered entries only.
    Delta,
    /// The complete list.
    Full,
    /// The list as last held before a start, maybe old.
    Held,
    /// A call failed or the subscription broke.
    Lost,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub host: HostId,
    pub zone: ZoneId,
    pub cell: u32,
    pub readiness: Readiness,
    pub weight: f64,
    /// Time of the last start; 0 is long past.
    pub up_since: Ms,
}

/// A host's load report: what it names, if it names it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of its processors in use.
    pub busy: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Requests in hand.
    pub inflight: Option<f64>,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    /// A proxy's stream stands. `fresh`: it holds its standing table only.
    Joined {
        proxy: ProxyId,
        zone: ZoneId,
        rate: f64,
        fresh: bool,
        channel: Channel,
    },
    /// Its stream on a channel is gone; it may have joined by another one meanwhile.
    Left {
        proxy: ProxyId,
        channel: Channel,
    },
    /// The proxy has applied the message of this mark and all before it.
    Applied {
        mark: u16,
        proxy: ProxyId,
        took: Ms,
        channel: Channel,
    },
    /// What proxies of a zone met at a host.
    Heard {
        zone: ZoneId,
        host: HostId,
        tries: f64,
        failed: f64,
        mean: Ms,
        span: Ms,
        load: Load,
    },
    /// What came to a proxy.
    Usage {
        proxy: ProxyId,
        class: ClassId,
        tries: f64,
        failed: f64,
        span: Ms,
    },
    Probed {
        host: HostId,
        took: Ms,
        answered: bool,
        load: Load,
    },
    Told {
        from: usize,
        bytes: Vec<u8>,
    },
    Timer {
        token: String,
    },
    /// A proxy with a channel of its own does not hold what this mark and those behind it asked for: it refused
    /// that, or has not taken it yet. `again`: one more message to it leaves now.
    Behind {
        proxy: ProxyId,
        mark: u16,
        again: bool,
    },
    /// The shared channel's call of this mark, and all behind it, are not known to be carried out: they go out anew.
    /// `twice`: it may have been carried out before, so its messages may reach proxies once more.
    Delayed {
        mark: u16,
        twice: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// One line of a table; weight 0 removes it.
    Line {
        table: TableId,
        host: HostId,
        weight: f64,
    },
    Clear {
        table: TableId,
    },
    /// Put a proxy on a table, for the classes of the mask (0: all).
    Bind {
        proxy: ProxyId,
        table: TableId,
        classes: u32,
    },
    /// Shut a host out of all tables of a channel's proxies, or let it back.
    Withdraw {
        host: HostId,
        out: bool,
        channel: Channel,
    },
    Level {
        table: TableId,
        classes: u32,
        quota: f64,
        again: Again,
    },
    /// Ask each proxy that this reply reaches for an answer.
    Mark {
        number: u16,
    },
    Timer {
        token: String,
        at: Ms,
    },
    Probe {
        host: HostId,
    },
    Tell {
        bytes: Vec<u8>,
    },
    Subscribe,
    Log {
        text: String,
    },
}

/// What a director holds of its proxies and tables, to look at: nothing comes back from it.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub proxies: Vec<ProxyView>,
    pub tables: Vec<(TableId, ByHost<f64>)>,
    /// Hosts shut out of a channel's tables.
    pub withdrawn: Vec<(HostId, Channel)>,
    /// Lines sent that no answer has confirmed, and changes that wait for the check.
    pub flying: f64,
    pub waiting: usize,
}

#[derive(Clone, Debug)]
pub struct ProxyView {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub groups: Vec<GroupView>,
}

/// A proxy's lines for the classes of a mask, which share a table.
#[derive(Clone, Debug)]
pub struct GroupView {
    pub classes: u32,
    pub table: Option<TableId>,
    pub lines: Vec<(HostId, Standing)>,
}

/// One proxy's line as the model sees it (paper, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Certain,
    Adding,
    Removing,
}

/// A map in which the order of keys is the order of words.
pub type ByHost<T> = BTreeMap<HostId, T>;
