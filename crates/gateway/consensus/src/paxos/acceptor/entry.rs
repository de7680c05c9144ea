//! The record of one slot, and how far the disk has it.

use crate::durable_state::WriteOperation;
use rushcourse_messages::{AcceptorRecord, Ballot, Slot, SlotRecord};

/// The record of one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub(super) record: AcceptorRecord,
    /// The vote that the disk holds.
    pub(super) durable_vote: Option<Ballot>,
    /// The disk refused the last write of this record.
    pub(super) is_unwritten: bool,
}

impl Entry {
    /// The ballot of what is accepted.
    pub(super) fn accepted_ballot(&self) -> Option<Ballot> {
        accepted_ballot(&self.record)
    }

    /// Writes the record.
    pub(super) fn store(&self, slot: Slot) -> WriteOperation {
        WriteOperation::StoreRecord(self.slot_record(slot))
    }

    /// The record with its slot.
    pub(super) fn slot_record(&self, slot: Slot) -> SlotRecord {
        SlotRecord {
            slot,
            record: self.record.clone(),
        }
    }
}

/// The ballot of what a record has as accepted.
pub(super) fn accepted_ballot(record: &AcceptorRecord) -> Option<Ballot> {
    record.accepted.as_ref().map(|proposal| proposal.ballot)
}
