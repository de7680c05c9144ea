//! What controllers agree on by ballots: single-decree Paxos, one instance a slot. The steps stand in
//! `rushcourse-consensus`.

use rushcourse_types::{ConfigurationVersion, Epoch, Incarnation, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A proposal number. Ordered by round first. No two proposals share a ballot: an incarnation of a node never uses a
/// round twice, and incarnations are drawn at random at each start. Round 0 is of texts that a state file of format 1
/// held; there `incarnation` is the text's digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Higher rounds win over lower ones.
    pub round: u64,
    /// The proposer.
    pub node: NodeId,
    /// The proposer's incarnation.
    pub incarnation: Incarnation,
}

/// What a value is chosen for: one value is ever chosen for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Slot {
    /// The voting set of this epoch, chosen by a majority of the set before it.
    VotingSet(Epoch),
    /// The configuration of this version.
    Configuration(ConfigurationVersion),
}

/// A value, and the ballot under which it is proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposal number.
    pub ballot: Ballot,
    /// A configuration's text, or a voting set (`VotingSet::to_value`).
    pub value: Arc<[u8]>,
}

/// What an acceptor holds for a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorRecord {
    /// No proposal under a lower ballot is accepted.
    pub promised: Ballot,
    /// The proposal under the highest ballot that came here.
    pub accepted: Option<Proposal>,
    /// Whether `accepted` is a vote of this acceptor. A copy that was taken in without a vote is reported to proposers,
    /// but does not count towards a majority.
    pub is_vote: bool,
}

/// An acceptor's record and its slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotRecord {
    /// What the record is for.
    pub slot: Slot,
    /// What the acceptor holds for it.
    pub record: AcceptorRecord,
}

/// An acceptor's vote that its disk holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableVote {
    /// What was voted on.
    pub slot: Slot,
    /// The ballot of the accepted proposal.
    pub ballot: Ballot,
}
