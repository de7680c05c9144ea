//! What became of the operations that this incarnation of the gateway claimed. Repeats of an operation get the response
//! of its one run from here, at whichever gateway they arrive.

use rushcourse_messages::{ClaimId, OperationState, StoredResponse};
use rushcourse_types::{KeyDigest, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long an operation is kept beyond the window of its key (ours).
const RETENTION_AFTER_WINDOW: Duration = Duration::from_millis(5_000);
/// What one header of a stored response takes beside its name and value, in bytes (ours).
const HEADER_OVERHEAD: usize = 64;

/// How far an operation is, as the gateway that claimed it knows it. [`OperationState`] is what it tells other gateways.
#[derive(Clone, Debug)]
pub enum OperationStatus {
    /// Being claimed, or sent and not yet answered.
    Running,
    /// It ran: the response that its repeats get.
    Completed(Arc<StoredResponse>),
    /// Sent, and whether it ran is not known, or its response is not kept. It is never sent again.
    Unknown,
}

impl OperationStatus {
    /// Bytes that a stored response takes.
    fn stored_bytes(&self) -> usize {
        let OperationStatus::Completed(response) = self else {
            return 0;
        };
        let headers = response.headers.iter();
        let header_bytes = headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD);
        response.body.len() + header_bytes.sum::<usize>()
    }
}

struct Operation {
    claim: ClaimId,
    status: OperationStatus,
    expires_at: Timestamp,
}

/// When an operation is looked at to be forgotten. One that was started anew since has a later `expires_at`.
#[derive(Clone, Copy)]
struct Expiry {
    at: Timestamp,
    key: KeyDigest,
}

/// The operations of one incarnation of the gateway, by operation key.
pub struct Operations {
    retention: Duration,
    max_stored_bytes: usize,
    stored_bytes: usize,
    by_key: BTreeMap<KeyDigest, Operation>,
    /// In the order of their times, which is that of the operations' starts.
    expiries: VecDeque<Expiry>,
}

impl Operations {
    /// `key_window`: how long a key binds its attempts into one operation; `max_stored_bytes`: what stored responses may
    /// take. Beyond it the oldest go, and their repeats are told that the operation is at work.
    pub fn new(key_window: Duration, max_stored_bytes: usize) -> Operations {
        Operations {
            retention: key_window + RETENTION_AFTER_WINDOW,
            max_stored_bytes,
            stored_bytes: 0,
            by_key: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// How far the operation of a key is, if it was claimed here.
    pub fn status(&self, key: KeyDigest) -> Option<&OperationStatus> {
        self.by_key.get(&key).map(|operation| &operation.status)
    }

    /// What another gateway is told of a claim of this one.
    pub fn state_of_claim(&self, key: KeyDigest, claim: ClaimId) -> OperationState {
        let operation = self.by_key.get(&key);
        let Some(operation) = operation.filter(|operation| operation.claim == claim) else {
            return OperationState::NotFound;
        };
        match &operation.status {
            OperationStatus::Running => OperationState::Running,
            OperationStatus::Completed(response) => {
                OperationState::Completed(StoredResponse::clone(response))
            }
            OperationStatus::Unknown => OperationState::Unknown,
        }
    }

    /// An operation is being claimed.
    pub fn start(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) {
        let expires_at = now + self.retention;
        let operation = Operation {
            claim,
            status: OperationStatus::Running,
            expires_at,
        };
        self.by_key.insert(key, operation);
        self.expiries.push_back(Expiry {
            at: expires_at,
            key,
        });
    }

    /// An operation ended under this claim: completed or not known.
    pub fn finish(&mut self, key: KeyDigest, claim: ClaimId, status: OperationStatus) {
        let operation = self.by_key.get_mut(&key);
        let Some(operation) = operation.filter(|operation| operation.claim == claim) else {
            return;
        };
        self.stored_bytes -= operation.status.stored_bytes();
        self.stored_bytes += status.stored_bytes();
        operation.status = status;
        if self.stored_bytes > self.max_stored_bytes {
            self.evict_responses();
        }
    }

    /// Nothing was sent under this claim: the key is free again.
    pub fn withdraw(&mut self, key: KeyDigest, claim: ClaimId) {
        let operation = self.by_key.get(&key);
        if operation.is_some_and(|operation| operation.claim == claim) {
            self.remove(key);
        }
    }

    /// Forgets operations whose time is over. One that still runs is kept for as long again.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some(expiry) = self.pop_due_expiry(now) {
            let operation = self.by_key.get_mut(&expiry.key);
            let Some(operation) = operation.filter(|known| known.expires_at == expiry.at) else {
                continue;
            };
            if matches!(operation.status, OperationStatus::Running) {
                operation.expires_at = now + self.retention;
                self.expiries.push_back(Expiry {
                    at: operation.expires_at,
                    key: expiry.key,
                });
            } else {
                self.remove(expiry.key);
            }
        }
    }

    fn pop_due_expiry(&mut self, now: Timestamp) -> Option<Expiry> {
        let first = self.expiries.front()?;
        if now < first.at {
            return None;
        }
        self.expiries.pop_front()
    }

    fn remove(&mut self, key: KeyDigest) {
        if let Some(removed) = self.by_key.remove(&key) {
            self.stored_bytes -= removed.status.stored_bytes();
        }
    }

    /// Drops the oldest responses until a tenth of the room is free, so that this is not done for each operation.
    fn evict_responses(&mut self) {
        let target = self.max_stored_bytes / 10 * 9;
        for expiry in &self.expiries {
            if self.stored_bytes <= target {
                break;
            }
            let Some(operation) = self.by_key.get_mut(&expiry.key) else {
                continue;
            };
            let freed = operation.status.stored_bytes();
            if freed > 0 {
                self.stored_bytes -= freed;
                operation.status = OperationStatus::Unknown;
            }
        }
    }

    /// Operations that are known.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Bytes that stored responses take.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }
}
