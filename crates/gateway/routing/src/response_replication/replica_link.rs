//! The transfer of responses to one controller.

use rushcourse_messages::{ClaimId, ResponsePart};
use rushcourse_types::{Preference, ReplicaSequence, ResponseStoreId, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Limit of the bytes sent to a controller that it has not yet stored. Keeps the queue of its session, and what it holds
/// in memory for all gateways, short.
const MAX_UNACKNOWLEDGED_BYTES: usize = 512 << 10;

/// A response that is being sent to the controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) claim: ClaimId,
    pub(super) next_offset: u32,
}

/// A part that was sent and is not yet on the controller's disk.
#[derive(Clone, Copy, Debug)]
struct SentPart {
    sequence: ReplicaSequence,
    claim: ClaimId,
    is_last: bool,
    bytes: usize,
    sent_at: Timestamp,
}

/// Why a controller gets no responses at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It is connected and stores what it is sent.
    Available,
    /// It has not stored a part in time. It is tried again later.
    SuspendedUntil(Timestamp),
    /// Its session was closed.
    DisconnectedSince(Timestamp),
}

/// One controller with a store for responses.
#[derive(Debug)]
pub(super) struct ReplicaLink {
    pub(super) store: ResponseStoreId,
    pub(super) preference: Preference,
    pub(super) availability: Availability,
    last_sequence: ReplicaSequence,
    /// The first one may have been sent in part.
    queue: VecDeque<Transfer>,
    unacknowledged: VecDeque<SentPart>,
    unacknowledged_bytes: usize,
}

impl ReplicaLink {
    pub(super) fn new(store: ResponseStoreId, preference: Preference) -> ReplicaLink {
        ReplicaLink {
            store,
            preference,
            availability: Availability::Available,
            last_sequence: ReplicaSequence::NONE,
            queue: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            unacknowledged_bytes: 0,
        }
    }

    /// Continues the numbers of a former link, so that what is confirmed late is not taken for a part of this one.
    pub(super) fn continue_sequence_of(&mut self, former: &ReplicaLink) {
        self.last_sequence = former.last_sequence;
    }

    pub(super) fn is_available(&self) -> bool {
        self.availability == Availability::Available
    }

    pub(super) fn enqueue(&mut self, claim: ClaimId) {
        self.queue.push_back(Transfer {
            claim,
            next_offset: 0,
        });
    }

    /// The transfer to continue with, unless too many bytes are unacknowledged.
    pub(super) fn next_transfer(&self) -> Option<Transfer> {
        if self.unacknowledged_bytes >= MAX_UNACKNOWLEDGED_BYTES {
            return None;
        }
        self.queue.front().copied()
    }

    /// Drops the current transfer, whose response is no longer stored.
    pub(super) fn skip_transfer(&mut self) {
        self.queue.pop_front();
    }

    /// Records that a part of the current transfer is sent, and numbers it.
    pub(super) fn record_sent(&mut self, now: Timestamp, part: &ResponsePart) -> ReplicaSequence {
        self.last_sequence = self.last_sequence.next();
        let Some(transfer) = self.queue.front_mut() else {
            return self.last_sequence;
        };
        transfer.next_offset = part.end();
        self.unacknowledged.push_back(SentPart {
            sequence: self.last_sequence,
            claim: transfer.claim,
            is_last: part.is_last(),
            bytes: part.bytes.len(),
            sent_at: now,
        });
        self.unacknowledged_bytes += part.bytes.len();
        if part.is_last() {
            self.queue.pop_front();
        }
        self.last_sequence
    }

    /// Records that parts are on the controller's disk. Returns the claims whose responses are thereby complete there.
    pub(super) fn acknowledge(&mut self, sequences: &[ReplicaSequence]) -> Vec<ClaimId> {
        let mut completed = Vec::new();
        self.unacknowledged.retain(|part| {
            let is_stored = sequences.contains(&part.sequence);
            if is_stored {
                self.unacknowledged_bytes -= part.bytes;
                completed.extend(part.is_last.then_some(part.claim));
            }
            !is_stored
        });
        completed
    }

    /// Whether a part was sent more than `limit` ago and is still not stored.
    pub(super) fn is_overdue(&self, now: Timestamp, limit: Duration) -> bool {
        let oldest = self.unacknowledged.front();
        oldest.is_some_and(|part| now > part.sent_at + limit)
    }

    /// Drops all transfers. Their responses have to be sent elsewhere.
    pub(super) fn clear(&mut self) {
        self.queue.clear();
        self.unacknowledged.clear();
        self.unacknowledged_bytes = 0;
    }

    /// Whether something waits to be sent.
    pub(super) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }
}
