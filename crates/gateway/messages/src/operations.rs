//! Verdicts on claims of operation keys, and the states of the claimed operations.

use crate::stored_response::ResponsePart;
use rushcourse_types::{ClaimId, KeyDigest};
use serde::{Deserialize, Serialize};

/// The claim that keeps another claim from being granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The key of the holder's operation. It differs from the claimed key if the operations have only an alias in common.
    pub key: KeyDigest,
    /// The claim of the holder.
    pub claim: ClaimId,
}

/// A controller's answer to a claim of an operation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is granted and synced to disk. The voter grants no conflicting claim within the key window.
    Granted,
    /// The voter has already granted the key, or an alias of the operation, to this other claim.
    HeldBy(KeyHolder),
    /// The controller can't vote: the epochs differ, it is not a voter with complete state, or its disk refuses writes.
    Abstained,
}

/// The state of an operation as known to the gateway that claimed its key, or to a controller that holds a replica of
/// its response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationState {
    /// The request was sent and its response is pending.
    Running,
    /// The operation finished; this is the part of its response that was asked for.
    Completed(ResponsePart),
    /// The request was sent but no response arrived, so it may or may not have been executed.
    Unknown,
    /// A gateway has no record: the operation never started, was withdrawn, or belongs to an earlier incarnation. A
    /// controller has no such part of a shard of the response.
    NotFound,
    /// The operation finished, but the gateway no longer holds its response. Controllers may hold shards of it.
    Evicted,
}
