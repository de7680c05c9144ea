//! Nodes, incarnations of their processes, and claims of operation keys.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::Ipv4Addr;

/// A node of the gateway (a controller or a gateway), named by the IPv4 address of its machine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

impl From<Ipv4Addr> for NodeId {
    fn from(address: Ipv4Addr) -> NodeId {
        NodeId(u32::from(address))
    }
}

impl From<NodeId> for Ipv4Addr {
    fn from(node: NodeId) -> Ipv4Addr {
        Ipv4Addr::from(node.0)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Ipv4Addr::from(*self).fmt(f)
    }
}

/// One run of a node's process, from its start to its end. Drawn at random at each start, so that what an earlier run
/// said is not taken for a word of the present one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The digest by which nodes know an operation key: 128 bits of a hash of tenant and key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct KeyDigest(pub u128);

/// One claim of an operation key: the gateway that made it, and which claim of its incarnation it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// The gateway that claims the key.
    pub node: NodeId,
    /// The incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Counts the claims of this incarnation, from 1 on.
    pub number: u64,
}
