//! Node ids, process incarnations, operation key digests and claim ids.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::Ipv4Addr;

/// A controller or gateway node, identified by the IPv4 address of its machine (the address as a big-endian integer).
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

/// A random number that a node draws each time its process starts. Peers use it to discard messages and state from an
/// earlier run of the same node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a controller's file of stored responses. A file that is created anew, after the loss of a disk, has
/// another identifier.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ResponseStoreId(pub u64);

/// The 128-bit hash of an operation key and the clients among whom it names one operation. Nodes exchange the digest
/// instead of the key itself. Encoded as 16 bytes, since a random number of this size is longer with a variable length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub u128);

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.to_be_bytes().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<KeyDigest, D::Error> {
        let bytes = <[u8; 16]>::deserialize(deserializer)?;
        Ok(KeyDigest(u128::from_be_bytes(bytes)))
    }
}

/// Identifies one attempt of a gateway to claim an operation key, uniquely across gateways and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// The gateway that made the claim.
    pub node: NodeId,
    /// The incarnation of `node` when it made the claim.
    pub incarnation: Incarnation,
    /// Sequence number of the claim within the incarnation, starting at 1.
    pub number: u64,
}

impl ClaimId {
    /// Stands for several claims of one key of which any may have been granted by a majority. No gateway makes it, so
    /// none withdraws it.
    pub const CONTESTED: ClaimId = ClaimId {
        node: NodeId(0),
        incarnation: Incarnation(0),
        number: 0,
    };
}
