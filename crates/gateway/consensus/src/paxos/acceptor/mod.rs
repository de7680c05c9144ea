//! The acceptor: promises and votes of this replica, one record per slot. A promise is sent, and a vote reported, only
//! once it is on disk.
//!
//! * `entry.rs`: the record of one slot; `transfer.rs`: records in snapshots; `duty.rs`: slots of the usage duty.

mod duty;
mod entry;
mod transfer;

use crate::context::{Context, PendingWrite};
use crate::durable_state::{PruneBounds, WriteOperation};
use crate::effect::CommittedConfiguration;
use entry::{Entry, accepted_ballot};
use rushcourse_messages::{Ballot, DurableVote, Message, Proposal, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, NodeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of slots with a record, not counting those of the usage duty (`duty.rs`). At the limit no further slot
/// is opened until decided slots are pruned.
/// An operator has up to eight uploads in progress at once.
const MAX_OPEN_SLOTS: usize = 24;

/// Role in which a proposal is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptRole {
    /// As a voter, whose acceptance is a vote unless a higher ballot was promised.
    Voter,
    /// As a replica that knows the proposal to be chosen: it accepts regardless of its promises, without a vote.
    Chosen,
    /// As a replica that doesn't vote and keeps a copy.
    Copy,
}

/// Promises and accepted proposals of this replica, by slot.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    entries: BTreeMap<Slot, Entry>,
}

impl Acceptor {
    /// Restores the acceptor from the records of the state file.
    pub fn new(stored: Vec<SlotRecord>) -> Acceptor {
        let entry = |SlotRecord { slot, record }: SlotRecord| {
            let durable_vote = accepted_ballot(&record).filter(|_| record.is_vote);
            let entry = Entry {
                record,
                durable_vote,
                needs_rewrite: false,
            };
            (slot, entry)
        };
        Acceptor {
            entries: stored.into_iter().map(entry).collect(),
        }
    }

    /// The accepted proposal of a slot; a later one replaces it only under a higher ballot or if it is known to be
    /// chosen.
    pub fn accepted(&self, slot: Slot) -> Option<&Proposal> {
        self.entries.get(&slot)?.record.accepted.as_ref()
    }

    /// Highest ballot promised for a slot; the default ballot if there is none.
    pub fn promised(&self, slot: Slot) -> Ballot {
        let entry = self.entries.get(&slot);
        entry.map_or(Ballot::default(), |entry| entry.record.promised)
    }

    /// Ballot of this replica's vote for a slot, once the vote is on disk.
    pub fn durable_vote(&self, slot: Slot) -> Option<Ballot> {
        self.entries.get(&slot)?.durable_vote
    }

    /// All votes of this replica that are on disk.
    pub fn durable_votes(&self) -> Vec<DurableVote> {
        let vote = |(slot, entry): (&Slot, &Entry)| {
            Some(DurableVote {
                slot: *slot,
                ballot: entry.durable_vote?,
            })
        };
        self.entries.iter().filter_map(vote).collect()
    }

    /// Accepted configurations with versions above this one, in descending order.
    pub fn configurations_above(
        &self,
        version: ConfigurationVersion,
    ) -> impl Iterator<Item = (ConfigurationVersion, &Proposal)> {
        let above = self.entries.range(Slot::Configuration(version.next())..);
        above.rev().filter_map(|(slot, entry)| match slot {
            Slot::Configuration(version) => Some((*version, entry.record.accepted.as_ref()?)),
            Slot::VotingSet(_) | Slot::UsageDuty(_) => None,
        })
    }

    /// Highest accepted version above `committed`, or `committed` if there is none.
    pub fn highest_version(&self, committed: ConfigurationVersion) -> ConfigurationVersion {
        let highest = self.configurations_above(committed).next();
        highest.map_or(committed, |(version, _)| version)
    }

    /// Text accepted here for a version, whether or not it is chosen.
    pub fn configuration_text(&self, version: ConfigurationVersion) -> Option<&Arc<[u8]>> {
        let accepted = self.accepted(Slot::Configuration(version))?;
        Some(&accepted.value)
    }

    /// The configuration of a version that the caller knows to be committed; `None` if it is not stored here.
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

    /// Returns the entry of a slot, creating it if fewer than [`MAX_OPEN_SLOTS`] exist.
    fn open_entry(&mut self, slot: Slot) -> Option<&mut Entry> {
        let is_limited = !matches!(slot, Slot::UsageDuty(_)) && !self.entries.contains_key(&slot);
        if is_limited && self.limited_count() >= MAX_OPEN_SLOTS {
            return None;
        }
        Some(self.entries.entry(slot).or_default())
    }

    /// Number of slots that count towards [`MAX_OPEN_SLOTS`]. Slots of the usage duty are ordered after all others.
    fn limited_count(&self) -> usize {
        let duties_start = Slot::UsageDuty(DutySequence::NONE);
        self.entries.range(..duties_start).count()
    }

    /// Returns the operations that store the record of a slot, together with the removal of those that it replaces.
    fn store_operations(&mut self, slot: Slot) -> Vec<WriteOperation> {
        let entry = self.entries.get(&slot);
        let store = entry.map(|entry| entry.store_operation(slot));
        store.into_iter().chain(self.prune_old_duties()).collect()
    }

    /// Phase 1: promises a ballot unless an equal or higher one was promised. The caller has checked that this replica
    /// votes and that the slot is undecided.
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
        context.write(self.store_operations(slot), pending);
    }

    /// Sends a promise that is now on disk, unless a higher ballot was promised in the meantime.
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

    /// Phase 2: accepts a proposal unless it is already accepted or a higher ballot was promised.
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
        let current = entry.accepted_ballot();
        let is_vote = role == AcceptRole::Voter && ballot >= promised;
        if current == Some(ballot) && (entry.record.is_vote || !is_vote) {
            return;
        }
        if role == AcceptRole::Voter && !is_vote {
            return reject(context, proposer, epoch, slot, promised);
        }
        if role == AcceptRole::Copy && current >= Some(ballot) {
            return;
        }
        if is_vote {
            entry.record.promised = ballot;
        }
        entry.record.accepted = Some(proposal);
        entry.record.is_vote = is_vote;
        context.write(
            self.store_operations(slot),
            PendingWrite::Accepted { slot, ballot },
        );
    }

    /// Handles the sync of an accepted proposal. Returns whether it made a vote durable.
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

    /// Marks a refused record for a retry by [`Acceptor::retry_writes`]. Its promise or vote is not reported until then.
    pub fn write_refused(&mut self, slot: Slot) {
        if let Some(entry) = self.entries.get_mut(&slot) {
            entry.needs_rewrite = true;
        }
    }

    /// Writes the accepted proposals that the disk refused again.
    pub fn retry_writes(&mut self, context: &mut Context) {
        let entries = self.entries.iter_mut();
        for (slot, entry) in entries.filter(|(_, entry)| entry.needs_rewrite) {
            entry.needs_rewrite = false;
            let Some(ballot) = entry.accepted_ballot() else {
                continue;
            };
            let slot = *slot;
            context.write(
                vec![entry.store_operation(slot)],
                PendingWrite::Accepted { slot, ballot },
            );
        }
    }

    /// Removes the records of decided slots.
    pub fn prune(&mut self, context: &mut Context, bounds: PruneBounds) {
        let count_before = self.entries.len();
        self.entries.retain(|slot, _| !bounds.contains(*slot));
        if self.entries.len() < count_before {
            context.write(
                vec![WriteOperation::PruneRecords(bounds)],
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
