//! What controllers agree on by ballots (single-decree Paxos, one instance a slot), and how a replica that has lost or
//! never had its state is brought up to date. Nothing here decides; the steps stand in `rushcourse-consensus`.

use crate::identity::{HeldClaim, Life, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One attempt to have a value chosen. Ordered by round first. No two proposals share a ballot: a life of a node never
/// uses a round twice, and lives are drawn at random at each start. Round 0
/// is of texts that a state file of form 1 held: there `life` is the text's digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    pub round: u64,
    pub node: NodeId,
    pub life: Life,
}

/// What a value is chosen for: one value is ever chosen for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Slot {
    /// The voting set of this number, chosen by a majority of the set before it.
    Set(u64),
    /// The configuration of this version.
    Version(u64),
}

/// A value with the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    pub ballot: Ballot,
    pub value: Arc<[u8]>,
}

/// What an acceptor holds for a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorRecord {
    /// No proposal under a lower ballot is accepted.
    pub promised: Ballot,
    pub accepted: Option<Accepted>,
    /// Whether `accepted` is a vote of this acceptor. A copy that was taken in without a vote is reported to proposers,
    /// but doesn't count towards a majority.
    pub counts: bool,
}

/// A vote of an acceptor that its disk holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cast {
    pub slot: Slot,
    pub ballot: Ballot,
}

/// How far a learner has read the claims of one life of a voter: later ones follow in the next lesson.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LessonCursor {
    pub life: Life,
    pub place: u64,
}

/// A record of an acceptor and its slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotRecord {
    pub slot: Slot,
    pub record: AcceptorRecord,
}

/// The last part of a lesson: what the claims of all parts must add up to, and the acceptor's records.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LessonEnd {
    pub cursor: LessonCursor,
    /// Claims in all parts.
    pub claims: u64,
    /// Exclusive or of the digests of these claims.
    pub digest: u64,
    pub records: Vec<SlotRecord>,
}

/// A part of what a voter holds. All parts of a lesson are made in one step, so that they show one state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lesson {
    pub set: u64,
    pub claims: Vec<HeldClaim>,
    pub end: Option<LessonEnd>,
}
