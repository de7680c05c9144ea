//! The effects of a step, which its caller carries out.

use crate::durable_state::WriteBatch;
use crate::log_event::LogEvent;
use rushcourse_messages::{ClaimVerdict, Message, VotingSet};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, KeyDigest, NodeId, SessionId, Ticket,
};
use std::sync::Arc;

/// A configuration that a majority of disks holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedConfiguration {
    /// The number that its operator gave it.
    pub version: ConfigurationVersion,
    /// Its whole text, as the operator sent it.
    pub text: Arc<[u8]>,
}

/// How an operator's call ends.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A majority of disks holds this version or a higher one.
    Acknowledged {
        /// Under this very version another text is committed, and the call changed nothing.
        is_other_text: bool,
    },
    /// The committed configuration that was asked for.
    Configuration(CommittedConfiguration),
    /// None was ever committed.
    NoConfiguration,
    /// No majority answered in time: the version may be committed or not.
    Unknown,
}

/// A claim's answer, to the gateway that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimAnswer {
    /// The session that the claim came by.
    pub session: SessionId,
    /// The voting set that the claim was asked for under.
    pub epoch: Epoch,
    /// The operation key.
    pub key: KeyDigest,
    /// The claim of it.
    pub claim: ClaimId,
    /// Granted or not.
    pub verdict: ClaimVerdict,
}

/// What the caller of a step is to do. The order of effects matters.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write a batch and sync it; then report [`crate::Input::BatchSynced`] or [`crate::Input::BatchRefused`].
    Write(WriteBatch),
    /// Send a message to another controller.
    Send {
        /// The receiver.
        to: NodeId,
        /// What it is sent.
        message: Message,
    },
    /// Answer a gateway's claim.
    AnswerClaim(ClaimAnswer),
    /// Answer an operator's call.
    AnswerCall {
        /// The call.
        ticket: Ticket,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// This configuration is committed from now on.
    ConfigurationCommitted(CommittedConfiguration),
    /// This replica counts in another voting set from now on.
    VotingSetAdopted(VotingSet),
    /// A line for the log.
    Log(LogEvent),
}
