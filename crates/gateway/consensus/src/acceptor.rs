//! The acceptor: promises and votes of this replica, one record a slot. A promise is answered, and a vote told, only
//! once the disk holds it.

use crate::context::{Context, PendingWrite};
use crate::durable_state::{PruneBounds, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, DurableVote, Message, NodeId, Proposal, Slot, SlotRecord,
};
use rushcourse_types::{ConfigurationVersion, Epoch};
use std::collections::BTreeMap;

/// Slots that may be open at once (ours): an operator has up to eight orders under way; beyond, nothing new is promised
/// until one is in force.
const OPEN_MOST: usize = 24;

/// In what capacity a proposal is taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Capacity {
    /// As a voter of the set.
    Voter,
    /// A majority is known to have voted for it: it is taken whatever was promised, without a vote.
    Chosen,
    /// A replica that casts no vote keeps a copy.
    Copy,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    record: AcceptorRecord,
    /// The vote that the disk holds.
    cast: Option<Ballot>,
    /// The disk refused the last write of this record.
    unwritten: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    entries: BTreeMap<Slot, Entry>,
}

impl Acceptor {
    pub fn new(stored: Vec<SlotRecord>) -> Acceptor {
        let entry = |SlotRecord { slot, record }| {
            let cast = record
                .accepted
                .as_ref()
                .filter(|_| record.is_vote)
                .map(|a| a.ballot);
            (
                slot,
                Entry {
                    record,
                    cast,
                    unwritten: false,
                },
            )
        };
        Acceptor {
            entries: stored.into_iter().map(entry).collect(),
        }
    }

    pub fn accepted(&self, slot: Slot) -> Option<&Proposal> {
        self.entries
            .get(&slot)
            .and_then(|e| e.record.accepted.as_ref())
    }

    /// The highest ballot that a promise was given for.
    pub fn promised(&self, slot: Slot) -> Ballot {
        self.entries
            .get(&slot)
            .map_or(Ballot::default(), |e| e.record.promised)
    }

    /// The vote for a slot that the disk holds.
    pub fn cast(&self, slot: Slot) -> Option<Ballot> {
        self.entries.get(&slot).and_then(|e| e.cast)
    }

    /// Proposal proposals of versions above this one, highest first.
    pub fn versions_above(
        &self,
        version: ConfigurationVersion,
    ) -> impl Iterator<Item = (ConfigurationVersion, &Proposal)> {
        let above = self
            .entries
            .range(Slot::Configuration(version.next())..)
            .rev();
        above.filter_map(|(slot, entry)| match slot {
            Slot::Configuration(v) => Some((*v, entry.record.accepted.as_ref()?)),
            Slot::VotingSet(_) => None,
        })
    }

    pub fn casts(&self) -> Vec<DurableVote> {
        let cast = |(slot, e): (&Slot, &Entry)| {
            Some(DurableVote {
                slot: *slot,
                ballot: e.cast?,
            })
        };
        self.entries.iter().filter_map(cast).collect()
    }

    pub fn records(&self) -> Vec<SlotRecord> {
        let record = |(slot, e): (&Slot, &Entry)| SlotRecord {
            slot: *slot,
            record: e.record.clone(),
        };
        self.entries.iter().map(record).collect()
    }

    /// A proposer asks for a promise; the caller has checked that this replica votes and that the slot is open.
    pub fn prepare(
        &mut self,
        context: &mut Context,
        from: NodeId,
        set: Epoch,
        slot: Slot,
        ballot: Ballot,
    ) {
        if !self.entries.contains_key(&slot) && self.entries.len() >= OPEN_MOST {
            return;
        }
        let record = &mut self.entries.entry(slot).or_default().record;
        if ballot <= record.promised {
            let promised = record.promised;
            if ballot < promised {
                context.send(
                    from,
                    Message::Reject {
                        epoch: set,
                        slot,
                        promised,
                    },
                );
            }
            return;
        }
        record.promised = ballot;
        let op = WriteOperation::StoreRecord(SlotRecord {
            slot,
            record: record.clone(),
        });
        context.write(
            vec![op],
            PendingWrite::Promise {
                proposer: from,
                slot,
                ballot,
            },
        );
    }

    /// The disk holds a promise: it is given, unless a higher one was given since.
    pub fn promise_synced(
        &mut self,
        context: &mut Context,
        set: Epoch,
        to: NodeId,
        slot: Slot,
        ballot: Ballot,
    ) {
        let Some(entry) = self
            .entries
            .get(&slot)
            .filter(|e| e.record.promised == ballot)
        else {
            return;
        };
        let accepted = entry.record.accepted.clone();
        context.send(
            to,
            Message::Promise {
                epoch: set,
                slot,
                ballot,
                accepted,
            },
        );
    }

    /// A proposal is brought. It is written unless it is here already, or a higher ballot was promised.
    pub fn accept(
        &mut self,
        context: &mut Context,
        from: NodeId,
        set: Epoch,
        slot: Slot,
        proposal: Proposal,
        capacity: Capacity,
    ) {
        if !self.entries.contains_key(&slot) && self.entries.len() >= OPEN_MOST {
            return;
        }
        let record = &mut self.entries.entry(slot).or_default().record;
        let ballot = proposal.ballot;
        let here = record.accepted.as_ref().map(|a| a.ballot);
        let votes = capacity == Capacity::Voter && ballot >= record.promised;
        if here == Some(ballot) && (record.is_vote || !votes) {
            return;
        }
        if capacity == Capacity::Voter && !votes {
            let promised = record.promised;
            return context.send(
                from,
                Message::Reject {
                    epoch: set,
                    slot,
                    promised,
                },
            );
        }
        if capacity == Capacity::Copy && here.is_some_and(|h| h >= ballot) {
            return;
        }
        if votes {
            record.promised = ballot;
        }
        record.accepted = Some(proposal);
        record.is_vote = votes;
        let op = WriteOperation::StoreRecord(SlotRecord {
            slot,
            record: record.clone(),
        });
        context.write(vec![op], PendingWrite::Accepted { slot, ballot });
    }

    /// The disk holds an accepted proposal. Whether a vote became durable by it.
    pub fn accept_synced(&mut self, slot: Slot, ballot: Ballot) -> bool {
        let Some(entry) = self.entries.get_mut(&slot) else {
            return false;
        };
        let now = entry
            .record
            .accepted
            .as_ref()
            .is_some_and(|a| a.ballot == ballot);
        let counts = now && entry.record.is_vote;
        if counts {
            entry.cast = Some(ballot);
        }
        counts
    }

    /// The disk refused a record: it is written again later, and told of only then.
    pub fn write_refused(&mut self, slot: Slot) {
        if let Some(entry) = self.entries.get_mut(&slot) {
            entry.unwritten = true;
        }
    }

    /// Writes again what the disk refused.
    pub fn write_again(&mut self, context: &mut Context) {
        for (slot, entry) in self.entries.iter_mut().filter(|e| e.1.unwritten) {
            entry.unwritten = false;
            let Some(accepted) = &entry.record.accepted else {
                continue;
            };
            let op = WriteOperation::StoreRecord(SlotRecord {
                slot: *slot,
                record: entry.record.clone(),
            });
            context.write(
                vec![op],
                PendingWrite::Accepted {
                    slot: *slot,
                    ballot: accepted.ballot,
                },
            );
        }
    }

    /// Takes in what a voter holds: promises and proposals, the higher of both. None of it is a vote yet.
    pub fn merge(&mut self, told: &[SlotRecord]) -> Vec<WriteOperation> {
        let mut ops = Vec::new();
        for SlotRecord {
            slot,
            record: theirs,
        } in told
        {
            let record = &mut self.entries.entry(*slot).or_default().record;
            record.promised = record.promised.max(theirs.promised);
            let ballot = |r: &AcceptorRecord| r.accepted.as_ref().map(|a| a.ballot);
            if ballot(theirs) > ballot(record) {
                record.accepted = theirs.accepted.clone();
                record.is_vote = false;
            }
            ops.push(WriteOperation::StoreRecord(SlotRecord {
                slot: *slot,
                record: record.clone(),
            }));
        }
        ops
    }

    /// This replica is to vote from now on: what it accepted counts where no higher ballot was promised.
    pub fn begin_to_count(&mut self) -> Vec<WriteOperation> {
        let mut ops = Vec::new();
        for (slot, entry) in &mut self.entries {
            let record = &mut entry.record;
            record.is_vote |= record
                .accepted
                .as_ref()
                .is_some_and(|a| a.ballot >= record.promised);
            ops.push(WriteOperation::StoreRecord(SlotRecord {
                slot: *slot,
                record: record.clone(),
            }));
        }
        ops
    }

    /// The disk holds what `begin_to_count` gave.
    pub fn counts_synced(&mut self) {
        for entry in self.entries.values_mut().filter(|e| e.record.is_vote) {
            entry.cast = entry.record.accepted.as_ref().map(|a| a.ballot);
        }
    }

    /// This replica no longer votes; what it accepted stays as copies.
    pub fn stop_counting(&mut self) {
        for entry in self.entries.values_mut() {
            entry.record.is_vote = false;
            entry.cast = None;
        }
    }

    /// Forgets slots that are settled.
    pub fn prune(&mut self, context: &mut Context, bounds: PruneBounds) {
        let before = self.entries.len();
        self.entries.retain(|slot, _| !bounds.contains(*slot));
        if self.entries.len() < before {
            context.write(
                vec![WriteOperation::PruneRecords(bounds)],
                PendingWrite::Untracked,
            );
        }
    }
}
