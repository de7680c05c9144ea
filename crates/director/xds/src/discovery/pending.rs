//! Responses that no ACK or NACK has answered yet. An answer names the nonce of one response. On a state-of-the-world
//! stream, where each response replaces the previous ones, it also answers all earlier responses.

use super::ack_numbers::{AckRange, join};
use rushcourse_policy::interface::{ClassId, Ms};
use std::collections::{BTreeMap, VecDeque};

/// Bounds the memory used for a proxy that reads responses and never answers. When there are more, the oldest response
/// is dropped and a later answer to it is ignored.
const MAX_PENDING: usize = 32;

/// Resource versions by class.
pub(super) type Versions = BTreeMap<ClassId, String>;

#[derive(Debug)]
struct PendingResponse {
    nonce: u64,
    sent_at: Ms,
    /// Ack numbers that are confirmed by an ACK of this response.
    acks: Option<AckRange>,
    versions: Versions,
    /// Set once the response has an ACK while an earlier response has none (delta streams only).
    is_acknowledged: bool,
}

/// Confirmation that a proxy has applied all batches of actions up to an ack number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Acknowledged {
    /// The newest confirmed number.
    pub(crate) ack_number: u16,
    /// Time from sending the response to its ACK, in ms.
    pub(crate) elapsed: Ms,
}

/// The contents of a response that got a NACK.
#[derive(Debug)]
pub(super) struct RejectedResponse {
    /// Versions of the rejected resources.
    pub(super) versions: Versions,
    /// Ack numbers that no pending response carries any more.
    pub(super) unacknowledged: Option<AckRange>,
}

/// The pending responses of one stream, oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingResponses {
    queue: VecDeque<PendingResponse>,
    last_nonce: u64,
}

impl PendingResponses {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Nonce of the newest response; 0 before the first one.
    pub(super) fn last_nonce(&self) -> u64 {
        self.last_nonce
    }

    /// Index of the pending response with this nonce, if there is one.
    pub(super) fn position(&self, nonce: &str) -> Option<usize> {
        let nonce = nonce.parse::<u64>().ok()?;
        self.queue.iter().position(|pending| pending.nonce == nonce)
    }

    /// Classes of the resources in a pending response.
    pub(super) fn classes(&self, position: usize) -> impl Iterator<Item = ClassId> + '_ {
        self.queue[position].versions.keys().copied()
    }

    /// Ack numbers of the oldest pending response that carries any.
    pub(super) fn oldest_acks(&self) -> Option<AckRange> {
        self.queue.iter().find_map(|pending| pending.acks)
    }

    /// Attaches ack numbers to the newest pending response, whose resources are already up to date. Returns them if no
    /// response is pending.
    pub(super) fn attach_to_newest(&mut self, acks: Option<AckRange>) -> Option<AckRange> {
        match self.queue.back_mut() {
            Some(newest) => {
                newest.acks = join(newest.acks, acks);
                None
            }
            None => acks,
        }
    }

    /// Adds a response that is sent at `now` under the next nonce. Returns whether the oldest response was dropped to
    /// stay within `MAX_PENDING`.
    pub(super) fn push(&mut self, now: Ms, acks: Option<AckRange>, versions: Versions) -> bool {
        self.last_nonce += 1;
        self.queue.push_back(PendingResponse {
            nonce: self.last_nonce,
            sent_at: now,
            acks,
            versions,
            is_acknowledged: false,
        });
        if self.queue.len() <= MAX_PENDING {
            return false;
        }
        let oldest = self.queue.pop_front();
        if let (Some(oldest), Some(next)) = (oldest, self.queue.front_mut()) {
            next.acks = join(oldest.acks, next.acks);
        }
        true
    }

    /// Handles an ACK on a state-of-the-world stream, which also confirms all earlier responses.
    pub(super) fn acknowledge_through(&mut self, now: Ms, position: usize) -> Option<Acknowledged> {
        let mut accumulator = AckAccumulator::default();
        for pending in self.queue.drain(..=position) {
            accumulator.add(now, &pending);
        }
        accumulator.acknowledged()
    }

    /// Handles an ACK on a delta stream. Ack numbers are confirmed only once all earlier responses have an ACK.
    pub(super) fn acknowledge(&mut self, now: Ms, position: usize) -> Option<Acknowledged> {
        self.queue[position].is_acknowledged = true;
        let mut accumulator = AckAccumulator::default();
        while let Some(pending) = self.queue.pop_front_if(|first| first.is_acknowledged) {
            accumulator.add(now, &pending);
        }
        accumulator.acknowledged()
    }

    /// Handles a NACK on a state-of-the-world stream, which also rejects all earlier responses. Their ack numbers pass
    /// to the next pending response, which contains the same resources or newer ones.
    pub(super) fn reject_through(&mut self, position: usize) -> RejectedResponse {
        let mut versions = Versions::new();
        let mut acks = None;
        for pending in self.queue.drain(..=position) {
            acks = join(acks, pending.acks);
            versions = pending.versions;
        }
        let unacknowledged = match self.queue.front_mut() {
            Some(next) => {
                next.acks = join(acks, next.acks);
                None
            }
            None => acks,
        };
        RejectedResponse {
            versions,
            unacknowledged,
        }
    }

    /// Handles a NACK on a delta stream. An ack number confirms all earlier ones too, so the later responses lose their
    /// ack numbers until the rejected resources have been sent again.
    pub(super) fn reject(&mut self, position: usize) -> RejectedResponse {
        let mut versions = Versions::new();
        let mut unacknowledged = None;
        if let Some(rejected) = self.queue.remove(position) {
            (versions, unacknowledged) = (rejected.versions, rejected.acks);
        }
        for later in self.queue.iter_mut().skip(position) {
            unacknowledged = join(unacknowledged, later.acks.take());
        }
        RejectedResponse {
            versions,
            unacknowledged,
        }
    }
}

/// Combines the ack numbers of several confirmed responses.
#[derive(Default)]
struct AckAccumulator {
    acks: Option<AckRange>,
    /// Time from sending the newest response to its ACK, in ms.
    elapsed: Ms,
}

impl AckAccumulator {
    fn add(&mut self, now: Ms, pending: &PendingResponse) {
        self.acks = join(self.acks, pending.acks);
        self.elapsed = now - pending.sent_at;
    }

    fn acknowledged(self) -> Option<Acknowledged> {
        self.acks.map(|acks| Acknowledged {
            ack_number: acks.last,
            elapsed: self.elapsed,
        })
    }
}
