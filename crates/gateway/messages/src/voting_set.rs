//! The set of nodes whose disks a majority is counted of.

use rushcourse_types::{Epoch, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The machines whose disks a majority is counted of. Sets follow each other one change at a time; each change raises
/// the epoch, which claims, votes and ballots carry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VotingSet {
    /// `Epoch::NONE` while there is no set yet.
    pub epoch: Epoch,
    /// In ascending order, each once.
    pub members: Vec<NodeId>,
}

impl VotingSet {
    /// The smallest number of members that is more than half of them.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How many members with complete state must have sent their snapshots to one without: so many share a member with
    /// every majority.
    pub fn snapshot_quorum(&self) -> usize {
        self.members.len() + 1 - self.majority()
    }

    /// Whether a node is a member.
    pub fn contains(&self, node: NodeId) -> bool {
        self.members.binary_search(&node).is_ok()
    }

    /// The set as the value of a slot, in postcard's form.
    pub fn to_value(&self) -> Arc<[u8]> {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    /// The set that a slot's value holds; `None` if these bytes are not exactly a set of distinct members in order.
    pub fn from_value(value: &[u8]) -> Option<VotingSet> {
        let (set, rest): (VotingSet, &[u8]) = postcard::take_from_bytes(value).ok()?;
        let ascending = set.members.windows(2).all(|pair| pair[0] < pair[1]);
        (rest.is_empty() && ascending && !set.members.is_empty()).then_some(set)
    }
}
