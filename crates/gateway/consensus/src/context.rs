//! What the parts of a step share: the time, what is to be written and sent, and what waits for the disk.

use crate::effects::{Effect, Op};
use rushcourse_messages::{Ballot, ClaimId, Message, NodeId, Slot, VotingSet};
use rushcourse_types::KeyDigest;
use std::collections::{BTreeMap, VecDeque};

/// What waits for a batch to be synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Waits {
    Set(VotingSet),
    /// A promise, and the proposer that it is for.
    Promise {
        to: NodeId,
        slot: Slot,
        ballot: Ballot,
    },
    /// An accepted proposal.
    Accepted {
        slot: Slot,
        ballot: Ballot,
    },
    Claim {
        key: KeyDigest,
        claim: ClaimId,
    },
    /// Claims that a voter taught; `complete`: the number of the set whose voters have taught enough by it.
    Taught {
        keys: Vec<KeyDigest>,
        complete: Option<u64>,
    },
    Nothing,
}

/// Everything that the parts read and write in a step.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub me: NodeId,
    /// Steady clock, ms.
    pub now: u64,
    /// Time of day, ms since 1970; only for pages.
    pub wall: u64,
    next_batch: u64,
    waits: BTreeMap<u64, Waits>,
    /// Messages of this replica to itself; they are handled before the step ends.
    pub local: VecDeque<Message>,
    pub out: Vec<Effect>,
}

impl Context {
    pub fn new(me: NodeId) -> Context {
        Context {
            me,
            now: 0,
            wall: 0,
            next_batch: 0,
            waits: BTreeMap::new(),
            local: VecDeque::new(),
            out: Vec::new(),
        }
    }

    pub fn write(&mut self, ops: Vec<Op>, waits: Waits) {
        self.next_batch += 1;
        self.waits.insert(self.next_batch, waits);
        self.out.push(Effect::Write {
            batch: self.next_batch,
            ops,
        });
    }

    /// What waited for a batch.
    pub fn done(&mut self, batch: u64) -> Option<Waits> {
        self.waits.remove(&batch)
    }

    pub fn send(&mut self, to: NodeId, message: Message) {
        if to == self.me {
            self.local.push_back(message);
        } else {
            self.out.push(Effect::Send { to, message });
        }
    }

    pub fn say(&mut self, text: String) {
        self.out.push(Effect::Say(text));
    }
}
