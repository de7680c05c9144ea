//! Who is who: directors, their lives, claims, and the set of voters.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A director, by the IPv4 address of its machine.
pub type NodeId = u32;
/// One life of a director's process, by lot.
pub type Life = u64;

/// Who holds an operation key: a life of a frontend director, and the number of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    pub node: NodeId,
    pub life: Life,
    pub number: u64,
}

/// A claim that a voter holds, as told to one that forgot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldClaim {
    pub key: u128,
    pub claim: ClaimId,
    pub age_ms: u64,
}

/// The machines whose disks a majority is counted of. Sets follow each other one change at a time; the number is the
/// epoch that claims, votes and ballots carry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VotingSet {
    /// 0: none yet.
    pub number: u64,
    /// Sorted.
    pub members: Vec<NodeId>,
}

impl VotingSet {
    /// More than half of its members.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Members that have to teach one that doesn't remember: with any majority they share a member that remembers.
    pub fn teachers(&self) -> usize {
        self.members.len() + 1 - self.majority()
    }

    pub fn contains(&self, node: NodeId) -> bool {
        self.members.binary_search(&node).is_ok()
    }

    /// The set as the value of a slot.
    pub fn to_value(&self) -> Arc<[u8]> {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    /// The set that a slot's value holds; none if these bytes are not exactly a set of distinct members in order.
    pub fn from_value(value: &[u8]) -> Option<VotingSet> {
        let (set, rest): (VotingSet, &[u8]) = postcard::take_from_bytes(value).ok()?;
        let ascending = set.members.windows(2).all(|pair| pair[0] < pair[1]);
        (rest.is_empty() && ascending && !set.members.is_empty()).then_some(set)
    }
}
