//! The acceptor: promises and votes of this replica, one record a slot. A promise is answered, and a vote reported, only
//! once the disk holds it.
//!
//! * `entry.rs`: the record of one slot; `transfer.rs`: records in snapshots.

mod entry;
mod transfer;

use crate::context::{Context, PendingWrite};
use crate::durable_state::{PruneBounds, WriteOperation};
use crate::effect::CommittedConfiguration;
use entry::{Entry, accepted_ballot};
use rushcourse_messages::{Ballot, DurableVote, Message, Proposal, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slots that may be open at once (ours): an operator has up to eight orders under way; beyond, nothing new is promised
/// until one is committed.
const MAX_OPEN_SLOTS: usize = 24;

/// In what role a proposal is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptRole {
    /// As a voter of the set.
    Voter,
    /// A majority is known to have voted for it: it is accepted whatever was promised, without a vote.
    Chosen,
    /// A replica that casts no vote keeps a copy.
    Copy,
}

/// What this replica promised and accepted.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    entries: BTreeMap<Slot, Entry>,
}

impl Acceptor {
    /// The acceptor at the start, with the records of the state file.
    pub fn new(stored: Vec<SlotRecord>) -> Acceptor {
        let entry = |SlotRecord { slot, record }: SlotRecord| {
            let durable_vote = accepted_ballot(&record).filter(|_| record.is_vote);
            let entry = Entry {
                record,
                durable_vote,
                is_unwritten: false,
            };
            (slot, entry)
        };
        Acceptor {
            entries: stored.into_iter().map(entry).collect(),
        }
    }

    /// The accepted proposal of a slot: the one under the highest ballot.
    pub fn accepted(&self, slot: Slot) -> Option<&Proposal> {
        self.entries.get(&slot)?.record.accepted.as_ref()
    }

    /// The highest ballot that a promise was given for.
    pub fn promised(&self, slot: Slot) -> Ballot {
        let entry = self.entries.get(&slot);
        entry.map_or(Ballot::default(), |entry| entry.record.promised)
    }

    /// The vote for a slot that the disk holds.
    pub fn durable_vote(&self, slot: Slot) -> Option<Ballot> {
        self.entries.get(&slot)?.durable_vote
    }

    /// All votes that the disk holds.
    pub fn durable_votes(&self) -> Vec<DurableVote> {
        let vote = |(slot, entry): (&Slot, &Entry)| {
            Some(DurableVote {
                slot: *slot,
                ballot: entry.durable_vote?,
            })
        };
        self.entries.iter().filter_map(vote).collect()
    }

    /// Accepted configurations of versions above this one, highest first.
    pub fn configurations_above(
        &self,
        version: ConfigurationVersion,
    ) -> impl Iterator<Item = (ConfigurationVersion, &Proposal)> {
        let above = self.entries.range(Slot::Configuration(version.next())..);
        above.rev().filter_map(|(slot, entry)| match slot {
            Slot::Configuration(version) => Some((*version, entry.record.accepted.as_ref()?)),
            Slot::VotingSet(_) => None,
        })
    }

    /// The highest version that is accepted here; `committed`, where none above it is.
    pub fn highest_version(&self, committed: ConfigurationVersion) -> ConfigurationVersion {
        let highest = self.configurations_above(committed).next();
        highest.map_or(committed, |(version, _)| version)
    }

    /// The text that is accepted here for a version.
    pub fn configuration_text(&self, version: ConfigurationVersion) -> Option<&Arc<[u8]>> {
        let accepted = self.accepted(Slot::Configuration(version))?;
        Some(&accepted.value)
    }

    /// The configuration of a version that is known to be committed.
    pub fn committed_configuration(
        &self,
        version: ConfigurationVersion,
    ) -> Option<CommittedConfiguration> {
        if version.is_none() {
            return None;
        }
        let text = self.configuration_text(version)?.clone();
        Some(CommittedConfiguration { version, text })
    }

    /// The entry of a slot, created if there is room for one more.
    fn open_entry(&mut self, slot: Slot) -> Option<&mut Entry> {
        if !self.entries.contains_key(&slot) && self.entries.len() >= MAX_OPEN_SLOTS {
            return None;
        }
        Some(self.entries.entry(slot).or_default())
    }

    /// Phase 1: promises a ballot, unless as high a one was promised. The caller has checked that this replica votes and
    /// that the slot is open.
    pub fn prepare(
        &mut self,
        context: &mut Context,
        proposer: NodeId,
        epoch: Epoch,
        slot: Slot,
        ballot: Ballot,
    ) {
        let Some(entry) = self.open_entry(slot) else {
            return;
        };
        let promised = entry.record.promised;
        if ballot < promised {
            return reject(context, proposer, epoch, slot, promised);
        }
        if ballot == promised {
            return;
        }
        entry.record.promised = ballot;
        let pending = PendingWrite::Promise {
            proposer,
            slot,
            ballot,
        };
        context.write(vec![entry.store(slot)], pending);
    }

    /// The disk holds a promise: it is sent, unless a higher one was given since.
    pub fn promise_synced(
        &mut self,
        context: &mut Context,
        proposer: NodeId,
        epoch: Epoch,
        slot: Slot,
        ballot: Ballot,
    ) {
        let entry = self.entries.get(&slot);
        let Some(entry) = entry.filter(|entry| entry.record.promised == ballot) else {
            return;
        };
        let promise = Message::Promise {
            epoch,
            slot,
            ballot,
            accepted: entry.record.accepted.clone(),
        };
        context.send(proposer, promise);
    }

    /// Phase 2: accepts a proposal, unless it is accepted already or a higher ballot was promised.
    pub fn accept(
        &mut self,
        context: &mut Context,
        proposer: NodeId,
        epoch: Epoch,
        slot: Slot,
        proposal: Proposal,
        role: AcceptRole,
    ) {
        let Some(entry) = self.open_entry(slot) else {
            return;
        };
        let ballot = proposal.ballot;
        let promised = entry.record.promised;
        let held = entry.accepted_ballot();
        let is_vote = role == AcceptRole::Voter && ballot >= promised;
        if held == Some(ballot) && (entry.record.is_vote || !is_vote) {
            return;
        }
        if role == AcceptRole::Voter && !is_vote {
            return reject(context, proposer, epoch, slot, promised);
        }
        if role == AcceptRole::Copy && held >= Some(ballot) {
            return;
        }
        if is_vote {
            entry.record.promised = ballot;
        }
        entry.record.accepted = Some(proposal);
        entry.record.is_vote = is_vote;
        context.write(
            vec![entry.store(slot)],
            PendingWrite::Accepted { slot, ballot },
        );
    }

    /// The disk holds an accepted proposal. Returns whether a vote became durable by it.
    pub fn accept_synced(&mut self, slot: Slot, ballot: Ballot) -> bool {
        let Some(entry) = self.entries.get_mut(&slot) else {
            return false;
        };
        let is_current = entry.accepted_ballot() == Some(ballot);
        let is_vote = is_current && entry.record.is_vote;
        if is_vote {
            entry.durable_vote = Some(ballot);
        }
        is_vote
    }

    /// The disk refused a record: it is written again later, and answered only then.
    pub fn write_refused(&mut self, slot: Slot) {
        if let Some(entry) = self.entries.get_mut(&slot) {
            entry.is_unwritten = true;
        }
    }

    /// Writes again what the disk refused.
    pub fn retry_writes(&mut self, context: &mut Context) {
        let entries = self.entries.iter_mut();
        for (slot, entry) in entries.filter(|(_, entry)| entry.is_unwritten) {
            entry.is_unwritten = false;
            let Some(ballot) = entry.accepted_ballot() else {
                continue;
            };
            let slot = *slot;
            context.write(
                vec![entry.store(slot)],
                PendingWrite::Accepted { slot, ballot },
            );
        }
    }

    /// Removes the records of slots that are decided.
    pub fn prune(&mut self, context: &mut Context, decided: PruneBounds) {
        let count_before = self.entries.len();
        self.entries.retain(|slot, _| !decided.contains(*slot));
        if self.entries.len() < count_before {
            context.write(
                vec![WriteOperation::PruneRecords(decided)],
                PendingWrite::Untracked,
            );
        }
    }
}

fn reject(context: &mut Context, proposer: NodeId, epoch: Epoch, slot: Slot, promised: Ballot) {
    let rejection = Message::Reject {
        epoch,
        slot,
        promised,
    };
    context.send(proposer, rejection);
}
