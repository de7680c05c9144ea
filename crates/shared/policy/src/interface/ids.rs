//! Identifiers of hosts, proxies, tables and classes, and the channels that reach proxies.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Milliseconds, with fractions: a duration, or a time on the front's clock.
pub type Ms = f64;
/// Name of a host. It is compared and sorted, but never parsed.
pub type HostId = Arc<str>;
/// Number of a proxy, starting at 0.
pub type ProxyId = u32;
/// Number of a table; see `FIRST_DEDICATED_TABLE` for the ranges of the channels.
pub type TableId = u32;
/// Index of a request class in `Settings::classes`.
pub type ClassId = usize;
/// Bit mask of request classes, with bit k for class k. In a bind, 0 stands for all classes.
pub type ClassMask = u32;
/// Number of a zone, starting at 0.
pub type ZoneId = usize;
/// Number of a batch of messages that its acknowledgements repeat. It wraps around.
pub type AckNumber = u16;
/// Map of values by host, sorted by host name.
pub type ByHost<T> = BTreeMap<HostId, T>;

/// First table number of proxies on dedicated channels. Lower numbers belong to the shared channel.
pub const FIRST_DEDICATED_TABLE: TableId = 100_000;

/// How messages reach a proxy. Message order, acknowledgements and capacity limits apply per channel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// One ordered channel for many proxies. An acknowledgement proves that all earlier messages were sent.
    #[default]
    Shared,
    /// A stream per proxy. The front keeps only the newest state for each proxy, and no queue.
    Dedicated,
}

impl Channel {
    /// All channels, the shared one first.
    pub const ALL: [Channel; 2] = [Channel::Shared, Channel::Dedicated];

    /// The channel to which a table belongs, derived from its number.
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
