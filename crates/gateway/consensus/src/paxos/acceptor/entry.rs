//! The acceptor record of one slot, and which part of it is durable.

use crate::durable_state::WriteOperation;
use rushcourse_messages::{AcceptorRecord, Ballot, Slot, SlotRecord};

/// Acceptor state of one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub(super) record: AcceptorRecord,
    /// Ballot of the vote that is on disk.
    pub(super) durable_vote: Option<Ballot>,
    /// Whether the disk refused the last write of the record.
    pub(super) needs_rewrite: bool,
}

impl Entry {
    pub(super) fn accepted_ballot(&self) -> Option<Ballot> {
        accepted_ballot(&self.record)
    }

    pub(super) fn store_operation(&self, slot: Slot) -> WriteOperation {
        WriteOperation::StoreRecord(self.slot_record(slot))
    }

    pub(super) fn slot_record(&self, slot: Slot) -> SlotRecord {
        SlotRecord {
            slot,
            record: self.record.clone(),
        }
    }
}

/// Ballot of the proposal that a record holds as accepted.
pub(super) fn accepted_ballot(record: &AcceptorRecord) -> Option<Ballot> {
    record.accepted.as_ref().map(|proposal| proposal.ballot)
}
