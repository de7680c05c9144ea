//! State and stored responses of the operations that this incarnation of the gateway claimed. Repeats of an operation
//! get the stored response of its single run; other gateways that receive a repeat query this gateway for it.

use rushcourse_messages::{ClaimId, OperationState, StoredResponse};
use rushcourse_types::{KeyDigest, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long an operation is kept after the key window has ended.
const RETENTION_AFTER_WINDOW: Duration = Duration::from_millis(5_000);
/// Estimated memory of an operation in addition to its stored response.
const OPERATION_OVERHEAD_BYTES: usize = 256;
/// Fraction of the limit of stored responses that a single one may take.
const MAX_RESPONSE_FRACTION: usize = 4;
/// Fraction of the limit of stored responses that responses may take that are still being received.
const MAX_RESERVED_FRACTION: usize = 2;

/// Status of an operation at the gateway that claimed it. [`OperationState`] is its counterpart in messages.
#[derive(Clone, Debug)]
pub enum OperationStatus {
    /// The claim is pending: nothing was sent to a host.
    Claiming,
    /// The claim was won, and no response has arrived.
    Running,
    /// The operation ran and returned this response, which is also returned to repeats.
    Completed(StoredResponse),
    /// The operation ran, but its response was evicted. Controllers may hold replicas.
    Evicted,
    /// The request was sent, but it is unknown whether it ran, or its response is not stored. It must not be sent
    /// again.
    Unknown,
}

impl OperationStatus {
    /// Estimated memory used by the stored response, or 0 without one.
    fn stored_bytes(&self) -> usize {
        match self {
            OperationStatus::Completed(response) => {
                response.encoded_bytes() + OPERATION_OVERHEAD_BYTES
            }
            _ => 0,
        }
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
    /// Bytes of responses that are still being received.
    reserved_bytes: usize,
    by_key: BTreeMap<KeyDigest, Operation>,
    /// Ordered by `at`, since all operations are retained equally long.
    expiries: VecDeque<Expiry>,
}

impl Operations {
    /// `key_window` is the time during which requests with the same key count as the same operation. `max_stored_bytes`
    /// limits the memory of stored responses; beyond it, the oldest are evicted.
    pub fn new(key_window: Duration, max_stored_bytes: usize) -> Operations {
        Operations {
            retention: key_window + RETENTION_AFTER_WINDOW,
            max_stored_bytes,
            stored_bytes: 0,
            reserved_bytes: 0,
            by_key: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// The status of the operation with this key, or `None` if this gateway did not claim it.
    pub fn status(&self, key: KeyDigest) -> Option<&OperationStatus> {
        self.by_key.get(&key).map(|operation| &operation.status)
    }

    /// The claim of the operation with this key, or `None` if this gateway did not claim it.
    pub fn claim(&self, key: KeyDigest) -> Option<ClaimId> {
        self.by_key.get(&key).map(|operation| operation.claim)
    }

    /// The status of the operation under one of this gateway's claims; `None` without a record of it.
    pub fn status_of_claim(&self, key: KeyDigest, claim: ClaimId) -> Option<&OperationStatus> {
        let operation = self.by_key.get(&key)?;
        (operation.claim == claim).then_some(&operation.status)
    }

    /// The state of one of this gateway's claims, as sent to another gateway that queries it. If the operation is
    /// completed, it includes the part of the response that begins at `offset`.
    pub fn state_of_claim(&self, key: KeyDigest, claim: ClaimId, offset: u32) -> OperationState {
        match self.status_of_claim(key, claim) {
            None => OperationState::NotFound,
            Some(OperationStatus::Claiming | OperationStatus::Running) => OperationState::Running,
            Some(OperationStatus::Completed(response)) => response
                .part(offset)
                .map_or(OperationState::Unknown, OperationState::Completed),
            Some(OperationStatus::Evicted) => OperationState::Evicted,
            Some(OperationStatus::Unknown) => OperationState::Unknown,
        }
    }

    /// The stored response of the operation under one of this gateway's claims.
    pub fn response(&self, key: KeyDigest, claim: ClaimId) -> Option<&StoredResponse> {
        match self.status_of_claim(key, claim) {
            Some(OperationStatus::Completed(response)) => Some(response),
            _ => None,
        }
    }

    /// The longest response that is stored, in bytes.
    pub fn max_response_bytes(&self) -> usize {
        self.max_stored_bytes / MAX_RESPONSE_FRACTION
    }

    /// Reserves memory for a response that is being received; `false` if that exceeds the limit.
    /// [`Operations::release`] has to follow a success.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        if self.reserved_bytes + bytes > self.max_stored_bytes / MAX_RESERVED_FRACTION {
            return false;
        }
        self.reserved_bytes += bytes;
        self.evict_beyond_limit();
        true
    }

    /// Releases memory that was reserved.
    pub fn release(&mut self, bytes: usize) {
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes);
    }

    /// Records a new operation whose claim is pending. Called when the claim is sent to the voters.
    pub fn start(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) {
        let expires_at = now + self.retention;
        let operation = Operation {
            claim,
            status: OperationStatus::Claiming,
            expires_at,
        };
        self.by_key.insert(key, operation);
        self.expiries.push_back(Expiry {
            at: expires_at,
            key,
        });
    }

    /// Sets the status of an operation whose claim was won: running, or a final one. Ignored if the key now belongs to a
    /// different claim.
    pub fn set_status(&mut self, key: KeyDigest, claim: ClaimId, status: OperationStatus) {
        let operation = self.by_key.get_mut(&key);
        let Some(operation) = operation.filter(|operation| operation.claim == claim) else {
            return;
        };
        self.stored_bytes -= operation.status.stored_bytes();
        self.stored_bytes += status.stored_bytes();
        operation.status = status;
        self.evict_beyond_limit();
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
            let is_open = matches!(
                operation.status,
                OperationStatus::Claiming | OperationStatus::Running
            );
            if is_open {
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

    /// Evicts responses if they exceed the limit.
    fn evict_beyond_limit(&mut self) {
        if self.stored_bytes + self.reserved_bytes > self.max_stored_bytes {
            self.evict_responses();
        }
    }

    /// Evicts the oldest responses until a tenth of `max_stored_bytes` is free, which amortizes the scan over many
    /// calls. The evicted operations become [`OperationStatus::Evicted`].
    fn evict_responses(&mut self) {
        let target = self.max_stored_bytes / 10 * 9;
        for expiry in &self.expiries {
            if self.stored_bytes + self.reserved_bytes <= target {
                break;
            }
            let Some(operation) = self.by_key.get_mut(&expiry.key) else {
                continue;
            };
            let freed = operation.status.stored_bytes();
            if freed > 0 {
                self.stored_bytes -= freed;
                operation.status = OperationStatus::Evicted;
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
