//! Names of hosts, proxies, tables and classes, and the channels that reach proxies.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Milliseconds, with fractions: a span, or a moment on the front's clock.
pub type Ms = f64;
/// The name of a host. It is compared and sorted, never interpreted.
pub type HostId = Arc<str>;
/// The number of a proxy, from 0.
pub type ProxyId = u32;
/// The number of a table.
pub type TableId = u32;
/// The position of a request class in the settings, from 0.
pub type ClassId = usize;
/// Request classes: the sum of 2^k over their positions k. In an action 0 stands for all classes.
pub type ClassMask = u32;
/// The position of a zone in the settings, from 0.
pub type ZoneId = usize;
/// The number of a batch of messages, which an acknowledgement repeats. It wraps around.
pub type AckNumber = u16;
/// Values by host, in the order of the hosts' names.
pub type ByHost<T> = BTreeMap<HostId, T>;

/// Tables from this number on serve proxies with a dedicated channel; those below, proxies of the shared one.
pub const FIRST_DEDICATED_TABLE: TableId = 100_000;

/// How a proxy is reached. Order, acknowledgements and capacity hold within one channel and prove nothing
/// about another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// One ordered channel for all proxies that share it: an acknowledgement proves that all before it has
    /// left.
    #[default]
    Shared,
    /// A stream of the proxy's own. Its front keeps the newest state for it and no queue.
    Dedicated,
}

impl Channel {
    /// Both channels, the shared one first.
    pub const ALL: [Channel; 2] = [Channel::Shared, Channel::Dedicated];

    /// The channel whose proxies a table serves.
    pub fn of(table: TableId) -> Channel {
        if table >= FIRST_DEDICATED_TABLE { Channel::Dedicated } else { Channel::Shared }
    }
}

impl fmt::Display for Channel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Channel::Shared => "shared",
            Channel::Dedicated => "dedicated",
        })
    }
}
