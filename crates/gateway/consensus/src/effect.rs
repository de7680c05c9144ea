//! Effects that the caller of a step carries out.

use crate::durable_state::WriteBatch;
use crate::log_event::LogEvent;
use rushcourse_messages::{ClaimVerdict, DutyState, Message, VotingSet};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, KeyDigest, NodeId, SessionId, Ticket,
};
use std::sync::Arc;

/// A configuration that a majority of the voting set has on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedConfiguration {
    /// Version assigned by the operator.
    pub version: ConfigurationVersion,
    /// Complete text, byte for byte as the operator submitted it.
    pub text: Arc<[u8]>,
}

/// Result of an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// This version or a higher one is committed.
    Acknowledged {
        /// Whether a different text was already committed under the same version, so that the call had no effect.
        is_other_text: bool,
    },
    /// The committed configuration, in reply to a read.
    Configuration(CommittedConfiguration),
    /// Reply to a read when no configuration has been committed yet.
    NoConfiguration,
    /// No majority answered within the call timeout; a submitted version may or may not become committed.
    Unknown,
}

/// A voter's answer to a gateway's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimAnswer {
    /// Session on which the claim arrived.
    pub session: SessionId,
    /// Epoch of the voting set that the gateway named in its request.
    pub epoch: Epoch,
    /// Digest of the operation key.
    pub key: KeyDigest,
    /// The claim that is answered.
    pub claim: ClaimId,
    /// Granted, held by another claim, or abstained.
    pub verdict: ClaimVerdict,
}

/// An action for the caller of a step. Effects must be carried out in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write and sync a batch, then report [`crate::Input::BatchSynced`] or [`crate::Input::BatchRefused`].
    Write(WriteBatch),
    /// Send a message to another controller.
    Send {
        /// Address of the receiving controller.
        to: NodeId,
        /// Content of the message.
        message: Message,
    },
    /// Answer a gateway's claim.
    AnswerClaim(ClaimAnswer),
    /// Answer an operator's call.
    AnswerCall {
        /// Identifies the call, as in the input that started it.
        ticket: Ticket,
        /// Result to return to the operator.
        outcome: CallOutcome,
    },
    /// A new configuration is committed and replaces the previous one.
    ConfigurationCommitted(CommittedConfiguration),
    /// This replica has adopted a newer voting set.
    VotingSetAdopted(VotingSet),
    /// This replica has learned that a newer state of the usage duty is chosen. States in between may be skipped.
    DutyCommitted(DutyState),
    /// Write a line to the log.
    Log(LogEvent),
}
