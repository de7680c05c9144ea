//! State and stored responses of the operations that this incarnation of the gateway claimed. Repeats of an operation
//! get the stored response of its single run; other gateways that receive a repeat query this gateway for it.

use rushcourse_messages::{ClaimId, OperationState, StoredResponse};
use rushcourse_types::{KeyDigest, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long an operation is kept after the key window has ended.
const RETENTION_AFTER_WINDOW: Duration = Duration::from_millis(5_000);
/// Estimated memory per header of a stored response in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 64;

/// Status of an operation at the gateway that claimed it. [`OperationState`] is its counterpart in messages.
#[derive(Clone, Debug)]
pub enum OperationStatus {
    /// The claim is pending, or the request was sent to a host and no response has arrived.
    Running,
    /// The operation ran and returned this response, which is also returned to repeats.
    Completed(Arc<StoredResponse>),
    /// The request was sent, but it is unknown whether it ran, or its response is not stored. It must not be sent
    /// again.
    Unknown,
}

impl OperationStatus {
    /// Estimated memory used by the stored response, or 0 without one.
    fn stored_bytes(&self) -> usize {
        let OperationStatus::Completed(response) = self else {
            return 0;
        };
        let headers = response.headers.iter();
        let header_bytes =
            headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
        response.body.len() + header_bytes.sum::<usize>()
    }
}

struct Operation {
    claim: ClaimId,
    status: OperationStatus,
    expires_at: Timestamp,
}

/// A queue entry for the expiry of an operation. It is stale if `at` differs from the operation's `expires_at`.
#[derive(Clone, Copy)]
struct Expiry {
    at: Timestamp,
    key: KeyDigest,
}

/// The operations that this incarnation of the gateway claimed, by operation key.
pub struct Operations {
    retention: Duration,
    max_stored_bytes: usize,
    stored_bytes: usize,
    by_key: BTreeMap<KeyDigest, Operation>,
    /// Ordered by `at`, since all operations are retained equally long.
    expiries: VecDeque<Expiry>,
}

impl Operations {
    /// `key_window` is the time during which requests with the same key count as the same operation. `max_stored_bytes`
    /// limits the memory of stored responses; beyond it, the oldest are evicted and repeats of their operations get the
    /// same rejection as those of a running operation.
    pub fn new(key_window: Duration, max_stored_bytes: usize) -> Operations {
        Operations {
            retention: key_window + RETENTION_AFTER_WINDOW,
            max_stored_bytes,
            stored_bytes: 0,
            by_key: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// The status of the operation with this key, or `None` if this gateway did not claim it.
    pub fn status(&self, key: KeyDigest) -> Option<&OperationStatus> {
        self.by_key.get(&key).map(|operation| &operation.status)
    }

    /// The state of one of this gateway's claims, as sent to another gateway that queries it.
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

    /// Records a new operation as running. Called when its claim is sent to the voters.
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

    /// Sets the final status of an operation, [`OperationStatus::Completed`] or [`OperationStatus::Unknown`]. Ignored
    /// if the key now belongs to a different claim.
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

    /// Removes an operation whose request was not sent, so that the key can be claimed again. Ignored if the key now
    /// belongs to a different claim.
    pub fn withdraw(&mut self, key: KeyDigest, claim: ClaimId) {
        let operation = self.by_key.get(&key);
        if operation.is_some_and(|operation| operation.claim == claim) {
            self.remove(key);
        }
    }

    /// Removes the operations whose retention has ended. The retention of an operation that is still running starts
    /// again.
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

    /// Evicts the oldest responses until a tenth of `max_stored_bytes` is free, which amortizes the scan over many
    /// calls. The evicted operations become [`OperationStatus::Unknown`].
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

    /// The number of operations, including those without a stored response.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is neither a running nor a finished operation.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Estimated memory used by all stored responses, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }
}
