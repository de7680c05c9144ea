//! What a step gives back, and what a disk holds.

use rushcourse_messages::{
    AcceptorRecord, ClaimId, ClaimVerdict, HostRecord, HostState, Message, NodeId, Slot, VotingSet,
};
use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest, SessionId, Ticket};
use std::sync::Arc;

/// A claim as it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub id: ClaimId,
    /// ms since 1970 by this machine's time of day, for pages: nothing is decided by it.
    pub at: u64,
}

/// What is written, each for itself; the operations of one batch are written together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// The voting set that this replica counts in; always a higher number than before.
    Set(VotingSet),
    /// This replica holds what a voter of its set has to hold.
    Remember,
    /// It no longer does: it was not a member all the time.
    Forget,
    /// An acceptor's record for a slot, in place of an earlier one.
    Record {
        slot: Slot,
        record: AcceptorRecord,
    },
    /// Records of versions below `versions_below`, and of sets up to `sets_through`, are no longer needed.
    Prune {
        versions_below: ConfigurationVersion,
        sets_through: Epoch,
    },
    Claim {
        key: KeyDigest,
        claim: Claim,
    },
    Release {
        key: KeyDigest,
    },
    /// A life of a host, as last heard of; one that is gone is dropped. Nothing waits for these.
    Host(HostRecord),
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    pub set: VotingSet,
    pub remembers: bool,
    /// Acceptor's records in the order of their slots.
    pub records: Vec<(Slot, AcceptorRecord)>,
    pub claims: Vec<(KeyDigest, Claim)>,
    pub hosts: Vec<HostRecord>,
}

impl Stored {
    /// What a disk holds once these operations are synced.
    pub fn apply(&mut self, ops: Vec<Op>) {
        for op in ops {
            match op {
                Op::Set(set) => self.set = set,
                Op::Remember => self.remembers = true,
                Op::Forget => self.remembers = false,
                Op::Record { slot, record } => {
                    self.records.retain(|r| r.0 != slot);
                    self.records.push((slot, record));
                    self.records.sort_unstable_by_key(|r| r.0);
                }
                Op::Prune {
                    versions_below,
                    sets_through,
                } => {
                    self.records
                        .retain(|r| !is_pruned(r.0, versions_below, sets_through));
                }
                Op::Claim { key, claim } => {
                    self.claims.retain(|c| c.0 != key);
                    self.claims.push((key, claim));
                }
                Op::Release { key } => self.claims.retain(|c| c.0 != key),
                Op::Host(news) => {
                    self.hosts.retain(|h| h.id != news.id);
                    self.hosts
                        .extend((news.state != HostState::Gone).then_some(news));
                }
            }
        }
    }
}

/// Whether `Op::Prune` with these bounds removes the record of a slot.
pub fn is_pruned(slot: Slot, versions_below: ConfigurationVersion, sets_through: Epoch) -> bool {
    match slot {
        Slot::Configuration(version) => version < versions_below,
        Slot::VotingSet(number) => number <= sets_through,
    }
}

/// What an operator's call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A majority holds this version or a higher one. `another`: under this very number another text is in force, and
    /// the call changed nothing.
    Acknowledged { another: bool },
    Whole {
        version: ConfigurationVersion,
        text: Arc<[u8]>,
    },
    /// None was ever acknowledged.
    Nothing,
    /// No majority answered in time: it may be in force or not.
    Unclear,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write {
        batch: u64,
        ops: Vec<Op>,
    },
    Send {
        to: NodeId,
        message: Message,
    },
    Vote {
        session: SessionId,
        set: Epoch,
        key: KeyDigest,
        claim: ClaimId,
        verdict: ClaimVerdict,
    },
    Answer {
        ticket: Ticket,
        outcome: Outcome,
    },
    /// In force from now on.
    InForce {
        version: ConfigurationVersion,
        text: Arc<[u8]>,
    },
    /// The voting set changed.
    Set(VotingSet),
    /// For the log: an event and its fields.
    Say(String),
}
