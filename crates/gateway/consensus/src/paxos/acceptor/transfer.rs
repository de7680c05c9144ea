//! Records in snapshots, and how a replica begins and ceases to vote.

use super::Acceptor;
use super::entry::accepted_ballot;
use crate::durable_state::WriteOperation;
use rushcourse_messages::SlotRecord;

impl Acceptor {
    /// All records, for a snapshot.
    pub fn records(&self) -> Vec<SlotRecord> {
        let entries = self.entries.iter();
        entries
            .map(|(slot, entry)| entry.slot_record(*slot))
            .collect()
    }

    /// Merges the records of a voter's snapshot: the higher promise and the higher proposal hold. None of it is a vote
    /// yet. Returns what is to be written.
    pub fn merge(&mut self, records: &[SlotRecord]) -> Vec<WriteOperation> {
        let mut operations = Vec::new();
        for SlotRecord { slot, record } in records {
            let entry = self.entries.entry(*slot).or_default();
            entry.record.promised = entry.record.promised.max(record.promised);
            if accepted_ballot(record) > entry.accepted_ballot() {
                entry.record.accepted = record.accepted.clone();
                entry.record.is_vote = false;
            }
            operations.push(entry.store(*slot));
        }
        operations
    }

    /// This replica is to vote from now on: what it accepted becomes a vote where no higher ballot was promised. Returns
    /// what is to be written.
    pub fn start_voting(&mut self) -> Vec<WriteOperation> {
        let mut operations = Vec::new();
        for (slot, entry) in &mut self.entries {
            entry.record.is_vote |= entry.accepted_ballot() >= Some(entry.record.promised);
            operations.push(entry.store(*slot));
        }
        operations
    }

    /// The disk holds what `start_voting` returned.
    pub fn start_voting_synced(&mut self) {
        for entry in self.entries.values_mut() {
            if entry.record.is_vote {
                entry.durable_vote = entry.accepted_ballot();
            }
        }
    }

    /// This replica no longer votes; what it accepted stays as copies.
    pub fn stop_voting(&mut self) {
        for entry in self.entries.values_mut() {
            entry.record.is_vote = false;
            entry.durable_vote = None;
        }
    }
}
