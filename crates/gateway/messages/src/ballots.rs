//! Data of single-decree Paxos with one instance per slot. `rushcourse-consensus` implements the protocol.

use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, Incarnation, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A proposal number, ordered by round, then node, then incarnation. No two proposals share a ballot: an incarnation
/// never reuses a round, and each process start draws a random incarnation. Round 0 marks configurations imported from
/// a state file of format 1; their `incarnation` is the digest of the text.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Compared first. A proposer whose ballot is rejected retries with a higher round.
    pub round: u64,
    /// The proposing controller; breaks ties between equal rounds.
    pub node: NodeId,
    /// Tells apart the proposals of different runs of the same node.
    pub incarnation: Incarnation,
}

/// The subject of a Paxos instance. At most one value is ever chosen for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Slot {
    /// The voting set of this epoch, chosen by a majority of the preceding set.
    VotingSet(Epoch),
    /// The text of the configuration with this version.
    Configuration(ConfigurationVersion),
    /// The state of the usage duty at this position. A proposer of a position knows the state before it to be chosen.
    UsageDuty(DutySequence),
}

/// A value proposed under a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposal number, unique to this proposal.
    pub ballot: Ballot,
    /// The text of a configuration, an encoded voting set (`VotingSet::to_value`) or an encoded state of the usage duty
    /// (`DutyState::to_value`), depending on the slot.
    pub value: Arc<[u8]>,
}

/// The state of an acceptor for one slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorRecord {
    /// The acceptor rejects proposals under lower ballots.
    pub promised: Ballot,
    /// The received proposal with the highest ballot, if any.
    pub accepted: Option<Proposal>,
    /// Whether `accepted` counts as a vote. A copy stored without voting is reported to proposers, but does not count
    /// towards a majority.
    pub is_vote: bool,
}

/// The state of an acceptor for `slot`, as written to disk and sent in snapshots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotRecord {
    /// The slot to which `record` belongs.
    pub slot: Slot,
    /// The promise and the accepted proposal for the slot.
    pub record: AcceptorRecord,
}

/// A vote that is synced to the acceptor's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableVote {
    /// The slot in which the vote was cast.
    pub slot: Slot,
    /// The ballot of the proposal that received the vote.
    pub ballot: Ballot,
}
