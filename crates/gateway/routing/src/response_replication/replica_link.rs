//! The transfer of shards of responses to one controller.

use super::shard_code::ShardIndex;
use rushcourse_messages::{ClaimId, ResponsePart};
use rushcourse_types::{Preference, ReplicaSequence, ResponseStoreId, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Limit of the bytes sent to a controller that it has not yet stored. Keeps the queue of its session, and what it holds
/// in memory for all gateways, short.
const MAX_UNACKNOWLEDGED_BYTES: usize = 512 << 10;

/// A shard that is being sent to the controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) claim: ClaimId,
    pub(super) shard: ShardIndex,
    pub(super) next_offset: u32,
}

/// Parts that were sent in one message and are not yet on the controller's disk.
#[derive(Clone, Debug)]
struct SentBatch {
    sequence: ReplicaSequence,
    /// The claims whose shards end with a part of the batch.
    completed: Vec<ClaimId>,
    bytes: usize,
    sent_at: Timestamp,
}

/// Whether a controller gets shards at present.
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
    pub(super) is_in_own_zone: bool,
    pub(super) preference: Preference,
    pub(super) availability: Availability,
    /// When the controller may be sent to again.
    pub(super) next_turn_at: Timestamp,
    last_sequence: ReplicaSequence,
    /// The first one may have been sent in part.
    queue: VecDeque<Transfer>,
    unacknowledged: VecDeque<SentBatch>,
    unacknowledged_bytes: usize,
}

impl ReplicaLink {
    pub(super) fn new(
        store: ResponseStoreId,
        is_in_own_zone: bool,
        preference: Preference,
    ) -> ReplicaLink {
        ReplicaLink {
            store,
            is_in_own_zone,
            preference,
            availability: Availability::Available,
            next_turn_at: Timestamp::ZERO,
            last_sequence: ReplicaSequence::NONE,
            queue: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            unacknowledged_bytes: 0,
        }
    }

    /// Continues the numbers of a former link, so that what is confirmed late is not taken for a message of this one.
    pub(super) fn continue_sequence_of(&mut self, former: &ReplicaLink) {
        self.last_sequence = former.last_sequence;
    }

    pub(super) fn is_available(&self) -> bool {
        self.availability == Availability::Available
    }

    pub(super) fn enqueue(&mut self, claim: ClaimId, shard: ShardIndex) {
        self.queue.push_back(Transfer {
            claim,
            shard,
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

    /// Drops the current transfer, whose response is no longer held.
    pub(super) fn skip_transfer(&mut self) {
        self.queue.pop_front();
    }

    /// Begins a message with parts, and numbers it.
    pub(super) fn begin_batch(&mut self, now: Timestamp) -> ReplicaSequence {
        self.last_sequence = self.last_sequence.next();
        self.unacknowledged.push_back(SentBatch {
            sequence: self.last_sequence,
            completed: Vec::new(),
            bytes: 0,
            sent_at: now,
        });
        self.last_sequence
    }

    /// Records that a part of the current transfer is sent with the message that was begun last.
    pub(super) fn record_sent(&mut self, part: &ResponsePart) {
        let batch = self.unacknowledged.back_mut();
        let (Some(transfer), Some(batch)) = (self.queue.front_mut(), batch) else {
            return;
        };
        transfer.next_offset = part.end();
        batch.bytes += part.bytes.len();
        self.unacknowledged_bytes += part.bytes.len();
        if part.is_last() {
            batch.completed.push(transfer.claim);
            self.queue.pop_front();
        }
    }

    /// Records that the parts of messages are on the controller's disk. Returns the claims whose shards are thereby
    /// complete there.
    pub(super) fn acknowledge(&mut self, sequences: &[ReplicaSequence]) -> Vec<ClaimId> {
        let mut completed = Vec::new();
        self.unacknowledged.retain_mut(|batch| {
            let is_stored = sequences.contains(&batch.sequence);
            if is_stored {
                self.unacknowledged_bytes -= batch.bytes;
                completed.append(&mut batch.completed);
            }
            !is_stored
        });
        completed
    }

    /// Whether a message was sent more than `limit` ago and its parts are still not stored.
    pub(super) fn is_overdue(&self, now: Timestamp, limit: Duration) -> bool {
        let oldest = self.unacknowledged.front();
        oldest.is_some_and(|batch| now > batch.sent_at + limit)
    }

    /// Drops all transfers. Their shards have to be sent elsewhere.
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
