//! Identifiers of connections and requests. They allow late inputs of an earlier connection or request to be ignored.

/// Identifies a connection accepted at the director's listening address. Never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InboundId(pub u64);

/// Purpose of a connection to the relay; each has at most one current connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayLink {
    /// Carries calls with orders, at most one in flight.
    Calls,
    /// Carries notifications about proxies that join, leave or apply a call.
    Watch,
}

/// Identifies a connection from the director to the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayConnectionId {
    /// Link that the connection serves.
    pub link: RelayLink,
    /// Incremented for each new connection of the link, starting at 1.
    pub generation: u64,
}

/// Identifies a request to the discovery service. Never reused within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FetchId(pub u64);
