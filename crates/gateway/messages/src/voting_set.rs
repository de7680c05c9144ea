//! The voting set: the controllers that vote in consensus.

use rushcourse_types::{Epoch, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The controllers among which majorities are counted. Successive sets differ by one change, and each change increments
/// the epoch. Claims, votes and ballots carry the epoch in which they are valid.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VotingSet {
    /// Number of the set; `Epoch::NONE` until the first set is formed.
    pub epoch: Epoch,
    /// Member nodes in strictly ascending order. Empty until the first set is formed.
    pub members: Vec<NodeId>,
}

impl VotingSet {
    /// The number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The number of members with complete state from which a member without it must install snapshots before it may
    /// vote. Any group of this size shares a member with every majority.
    pub fn snapshot_quorum(&self) -> usize {
        self.members.len() + 1 - self.majority()
    }

    /// Whether `node` is a member of this set.
    pub fn contains(&self, node: NodeId) -> bool {
        self.members.binary_search(&node).is_ok()
    }

    /// Encodes the set as the value of a slot (postcard). The encoding is also stored on disk.
    pub fn to_value(&self) -> Arc<[u8]> {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    /// Decodes the value of a slot. Returns `None` if the bytes are malformed or have trailing data, or if the members
    /// are empty or not in strictly ascending order.
    pub fn from_value(value: &[u8]) -> Option<VotingSet> {
        let (set, rest): (VotingSet, &[u8]) = postcard::take_from_bytes(value).ok()?;
        let ascending = set.members.windows(2).all(|pair| pair[0] < pair[1]);
        (rest.is_empty() && ascending && !set.members.is_empty()).then_some(set)
    }
}
