//! Slots of the usage duty. The acceptor keeps the records of the two newest positions that it has any record of, and
//! refuses all lower ones.
//!
//! A proposer of position n knows the state of position n - 1 to be chosen. So a record of position n shows that all
//! positions below n are decided, and that the states below n - 1 are superseded. Their records are removed in the write
//! that stores the record of position n: a replica that has lost the record of a position always has one of a position
//! at least two higher, also after a restart, and takes no further part in ballots for the former.

use super::Acceptor;
use crate::durable_state::{PruneBounds, WriteOperation};
use rushcourse_messages::{Proposal, Slot};
use rushcourse_types::DutySequence;

impl Acceptor {
    /// The lowest position for which this replica takes part in ballots; lower ones are superseded.
    pub fn lowest_open_duty(&self) -> DutySequence {
        match self.entries.last_key_value() {
            Some((Slot::UsageDuty(highest), _)) => DutySequence(highest.0.saturating_sub(1)),
            _ => DutySequence::NONE,
        }
    }

    /// Accepted states of the usage duty at positions above this one, in descending order.
    pub fn duties_above(
        &self,
        sequence: DutySequence,
    ) -> impl Iterator<Item = (DutySequence, &Proposal)> {
        let above = self.entries.range(Slot::UsageDuty(sequence.next())..);
        above.rev().filter_map(|(slot, entry)| match slot {
            Slot::UsageDuty(sequence) => Some((*sequence, entry.record.accepted.as_ref()?)),
            Slot::VotingSet(_) | Slot::Configuration(_) => None,
        })
    }

    /// Removes the records of superseded positions from memory. Returns the operation that removes them from the disk,
    /// to be written together with the newest record; `None` if there are none.
    pub(super) fn prune_old_duties(&mut self) -> Option<WriteOperation> {
        let bounds = PruneBounds {
            duties_below: self.lowest_open_duty(),
            ..PruneBounds::default()
        };
        let count_before = self.entries.len();
        self.entries.retain(|slot, _| !bounds.contains(*slot));
        let has_removed = self.entries.len() < count_before;
        has_removed.then_some(WriteOperation::PruneRecords(bounds))
    }
}
