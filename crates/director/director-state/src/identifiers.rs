//! Names of connections and requests. By them, what comes back late is told from what belongs to a successor.

/// A connection that somebody opened to the director's address. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InboundId(pub u64);

/// What a connection to the relay is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayLink {
    /// Calls with orders, one in flight.
    Calls,
    /// Notifications of proxies.
    Watch,
}

/// A connection that the director holds to the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayConnectionId {
    /// What it is for.
    pub link: RelayLink,
    /// Rises with each connection of the link.
    pub generation: u64,
}

/// A request to discovery. Numbers are never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FetchId(pub u64);
