//! What became of operations that were claimed by this life of a frontend director. Repeats get the first run's answer
//! from here, wherever they arrive.

use rushcourse_messages::{ClaimId, OperationState, StoredResponse};
use rushcourse_types::KeyDigest;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// ms for which an answer is kept beyond the window (ours).
const KEEP_LONGER: u64 = 5_000;

#[derive(Clone, Debug)]
pub enum State {
    /// Being claimed, or sent and not yet answered.
    Running,
    Answered(Arc<StoredResponse>),
    /// Sent, and whether it ran is not known; it is never sent again.
    Unknown,
}

struct Operation {
    claim: ClaimId,
    state: State,
    until: u64,
}

pub struct Operations {
    keep_ms: u64,
    bytes_most: usize,
    bytes: usize,
    known: BTreeMap<KeyDigest, Operation>,
    order: VecDeque<(u64, KeyDigest)>,
}

fn weight(state: &State) -> usize {
    match state {
        State::Answered(kept) => {
            kept.body.len()
                + kept
                    .headers
                    .iter()
                    .map(|h| h.0.len() + h.1.len() + 64)
                    .sum::<usize>()
        }
        _ => 0,
    }
}

impl Operations {
    /// `window_ms`: how long a key binds; `bytes_most`: of answers that are kept; beyond, the oldest go, and their
    /// repeats are told that the operation is at work.
    pub fn new(window_ms: u64, bytes_most: usize) -> Operations {
        let (known, order) = (BTreeMap::new(), VecDeque::new());
        Operations {
            keep_ms: window_ms + KEEP_LONGER,
            bytes_most,
            bytes: 0,
            known,
            order,
        }
    }

    /// What is known of a key here.
    pub fn state(&self, key: KeyDigest) -> Option<&State> {
        self.known.get(&key).map(|o| &o.state)
    }

    /// What another director is told of a claim of this one.
    pub fn progress(&self, key: KeyDigest, claim: ClaimId) -> OperationState {
        match self
            .known
            .get(&key)
            .filter(|o| o.claim == claim)
            .map(|o| &o.state)
        {
            Some(State::Running) => OperationState::Running,
            Some(State::Answered(kept)) => OperationState::Completed(StoredResponse::clone(kept)),
            Some(State::Unknown) => OperationState::Unknown,
            None => OperationState::NotFound,
        }
    }

    pub fn begin(&mut self, now: u64, key: KeyDigest, claim: ClaimId) {
        let until = now + self.keep_ms;
        self.known.insert(
            key,
            Operation {
                claim,
                state: State::Running,
                until,
            },
        );
        self.order.push_back((until, key));
    }

    /// It ended, answered or not known.
    pub fn end(&mut self, key: KeyDigest, claim: ClaimId, state: State) {
        let Some(operation) = self.known.get_mut(&key).filter(|o| o.claim == claim) else {
            return;
        };
        self.bytes = self.bytes + weight(&state) - weight(&operation.state);
        operation.state = state;
        if self.bytes > self.bytes_most {
            self.lighten();
        }
    }

    /// Nothing was sent under this claim: the key is free again.
    pub fn withdraw(&mut self, key: KeyDigest, claim: ClaimId) {
        if self.known.get(&key).is_some_and(|o| o.claim == claim)
            && let Some(gone) = self.known.remove(&key)
        {
            self.bytes -= weight(&gone.state);
        }
    }

    fn lighten(&mut self) {
        for (_, key) in &self.order {
            if self.bytes <= self.bytes_most / 10 * 9 {
                break;
            }
            if let Some(operation) = self.known.get_mut(key) {
                let freed = weight(&operation.state);
                if freed > 0 {
                    self.bytes -= freed;
                    operation.state = State::Unknown;
                }
            }
        }
    }

    /// Forgets what is over. An operation that still runs is kept for as long again.
    pub fn tick(&mut self, now: u64) {
        while let Some((until, key)) = self.order.front().copied().filter(|o| now >= o.0) {
            self.order.pop_front();
            let Some(operation) = self.known.get_mut(&key).filter(|o| o.until == until) else {
                continue;
            };
            if matches!(operation.state, State::Running) {
                operation.until = now + self.keep_ms;
                self.order.push_back((operation.until, key));
                continue;
            }
            self.bytes -= weight(&operation.state);
            self.known.remove(&key);
        }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
