//! Responses that no ACK or NACK has answered. Only a response's own nonce answers it; on a state-of-the-world stream a
//! later response holds all that earlier ones did, so its answer speaks for those too.

use super::ack_numbers::{AckRange, join};
use rushcourse_policy::interface::{ClassId, Ms};
use std::collections::{BTreeMap, VecDeque};

/// Responses whose answers are waited for. A proxy that reads and never answers is sent new tables on and on: of the
/// oldest ones nothing is believed any more.
const MAX_PENDING: usize = 32;

/// Versions by class.
pub(super) type Versions = BTreeMap<ClassId, String>;

#[derive(Debug)]
struct PendingResponse {
    nonce: u64,
    sent_at: Ms,
    /// What its ACK proves.
    acks: Option<AckRange>,
    versions: Versions,
    /// It has its ACK, while an earlier one has none (delta streams only).
    is_acknowledged: bool,
}

/// What an ACK proves: the proxy holds all that the policy asked for up to a number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Acknowledged {
    /// The newest number that is proved.
    pub(crate) ack_number: u16,
    /// ms from the response to its answer.
    pub(crate) elapsed: Ms,
}

/// A response that had a NACK.
#[derive(Debug)]
pub(super) struct Rejected {
    /// What it held.
    pub(super) versions: Versions,
    /// Numbers that no response on its way stands for any more.
    pub(super) unproved: Option<AckRange>,
}

/// The responses of one stream, oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingResponses {
    queue: VecDeque<PendingResponse>,
    last_nonce: u64,
}

impl PendingResponses {
    /// How many wait for an answer.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// The nonce of the newest response; 0 before the first.
    pub(super) fn last_nonce(&self) -> u64 {
        self.last_nonce
    }

    /// Where the response of a nonce stands, if it waits.
    pub(super) fn position(&self, nonce: &str) -> Option<usize> {
        let nonce = nonce.parse::<u64>().ok()?;
        self.queue.iter().position(|pending| pending.nonce == nonce)
    }

    /// The classes that a response holds.
    pub(super) fn classes(&self, position: usize) -> impl Iterator<Item = ClassId> + '_ {
        self.queue[position].versions.keys().copied()
    }

    /// The numbers that the first of the responses on their way stands for.
    pub(super) fn first_acks(&self) -> Option<AckRange> {
        self.queue.iter().find_map(|pending| pending.acks)
    }

    /// Adds numbers to the newest response, which holds what they ask for. Returns them where there is no response.
    pub(super) fn add_to_newest(&mut self, acks: Option<AckRange>) -> Option<AckRange> {
        match self.queue.back_mut() {
            Some(newest) => {
                newest.acks = join(newest.acks, acks);
                None
            }
            None => acks,
        }
    }

    /// A response is sent now, under the next nonce. Returns whether the oldest one was given up for it.
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

    /// State of the world: an ACK of a response, which speaks for those before it too.
    pub(super) fn acknowledge_through(&mut self, now: Ms, position: usize) -> Option<Acknowledged> {
        let mut proof = Proof::default();
        for pending in self.queue.drain(..=position) {
            proof.add(now, &pending);
        }
        proof.acknowledged()
    }

    /// Delta: an ACK of a response. It proves its numbers once all responses before it have their ACK.
    pub(super) fn acknowledge(&mut self, now: Ms, position: usize) -> Option<Acknowledged> {
        self.queue[position].is_acknowledged = true;
        let mut proof = Proof::default();
        while let Some(pending) = self.queue.pop_front_if(|first| first.is_acknowledged) {
            proof.add(now, &pending);
        }
        proof.acknowledged()
    }

    /// State of the world: a NACK of a response, which speaks for those before it too. A later response holds all that
    /// this one did and stands for its numbers from now on.
    pub(super) fn reject_through(&mut self, position: usize) -> Rejected {
        let mut versions = Versions::new();
        let mut acks = None;
        for pending in self.queue.drain(..=position) {
            acks = join(acks, pending.acks);
            versions = pending.versions;
        }
        let unproved = match self.queue.front_mut() {
            Some(next) => {
                next.acks = join(acks, next.acks);
                None
            }
            None => acks,
        };
        Rejected { versions, unproved }
    }

    /// Delta: a NACK of a response. A number stands for all before it, as the policy sees it: responses that were sent
    /// since prove none of theirs before the rejected one was sent again.
    pub(super) fn reject(&mut self, position: usize) -> Rejected {
        let mut versions = Versions::new();
        let mut unproved = None;
        if let Some(rejected) = self.queue.remove(position) {
            (versions, unproved) = (rejected.versions, rejected.acks);
        }
        for later in self.queue.iter_mut().skip(position) {
            unproved = join(unproved, later.acks.take());
        }
        Rejected { versions, unproved }
    }
}

/// What several ACKs prove together.
#[derive(Default)]
struct Proof {
    acks: Option<AckRange>,
    /// Of the newest response.
    elapsed: Ms,
}

impl Proof {
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
