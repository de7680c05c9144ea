//! Claims of operation keys, and what became of the operations.

use rushcourse_types::ClaimId;
use serde::{Deserialize, Serialize};

/// What a voter says to a claim of an operation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// Granted and synced: nobody else gets this voter's grant inside the window.
    Granted,
    /// Another claim holds the key here.
    HeldBy(ClaimId),
    /// No vote: it votes in another epoch, is no voter, has no complete state, or its disk refuses writes.
    Abstained,
}

/// The response of an operation that has run, kept for its repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// Name and value, in order, without those that concern one connection only.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What a claimant knows of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationState {
    /// It is at work.
    Running,
    /// It has run.
    Completed(StoredResponse),
    /// It was sent, and no response came: whether it ran is not known.
    Unknown,
    /// Nothing is known of it here: it never began, was withdrawn, or is of an earlier incarnation.
    NotFound,
}
