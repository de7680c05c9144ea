//! Acceptor records in snapshots, and the start and end of voting.

use super::Acceptor;
use super::entry::accepted_ballot;
use crate::durable_state::WriteOperation;
use rushcourse_messages::SlotRecord;

impl Acceptor {
    /// Returns all records for a snapshot.
    pub fn records(&self) -> Vec<SlotRecord> {
        let entries = self.entries.iter();
        entries
            .map(|(slot, entry)| entry.slot_record(*slot))
            .collect()
    }

    /// Merges the records of a voter's snapshot, keeping the higher promise and the higher proposal of each slot.
    /// Merged proposals are not votes yet. Returns the writes.
    pub fn merge(&mut self, records: &[SlotRecord]) -> Vec<WriteOperation> {
        let mut operations = Vec::new();
        for SlotRecord { slot, record } in records {
            let entry = self.entries.entry(*slot).or_default();
            entry.record.promised = entry.record.promised.max(record.promised);
            if accepted_ballot(record) > entry.accepted_ballot() {
                entry.record.accepted = record.accepted.clone();
                entry.record.is_vote = false;
            }
            operations.push(entry.store_operation(*slot));
        }
        operations.extend(self.prune_old_duties());
        operations
    }

    /// Turns accepted proposals into votes unless a higher ballot was promised. Returns the writes; voting starts once
    /// they are synced.
    pub fn start_voting(&mut self) -> Vec<WriteOperation> {
        let mut operations = Vec::new();
        for (slot, entry) in &mut self.entries {
            entry.record.is_vote |= entry.accepted_ballot() >= Some(entry.record.promised);
            operations.push(entry.store_operation(*slot));
        }
        operations
    }

    /// Marks the votes written by [`Acceptor::start_voting`] as durable.
    pub fn start_voting_synced(&mut self) {
        for entry in self.entries.values_mut() {
            if entry.record.is_vote {
                entry.durable_vote = entry.accepted_ballot();
            }
        }
    }

    /// Ends voting; accepted proposals are kept as copies.
    pub fn stop_voting(&mut self) {
        for entry in self.entries.values_mut() {
            entry.record.is_vote = false;
            entry.durable_vote = None;
        }
    }
}
