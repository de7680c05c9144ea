//! Inputs of a [`crate::ConsensusNode`].

use crate::durable_state::BatchId;
use rushcourse_messages::{DutyState, Message};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, KeyDigest, NodeId, OperationKeys, SessionId, Ticket,
};
use std::sync::Arc;

/// A gateway's request to claim an operation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Session on which the request arrived, and which receives the answer.
    pub session: SessionId,
    /// Epoch of the voting set that the gateway counts grants in.
    pub epoch: Epoch,
    /// The digests of the operation.
    pub keys: OperationKeys,
    /// Identifies the claim; a retry carries the same value.
    pub claim: ClaimId,
}

/// An event that a node handles in one step.
#[derive(Clone, Debug)]
pub enum Input {
    /// A session with another controller is established.
    PeerConnected {
        /// Address of the other controller.
        peer: NodeId,
        /// Zone of the other controller's machine.
        zone: Arc<str>,
    },
    /// The session with another controller was lost.
    PeerDisconnected(NodeId),
    /// A message from another controller.
    MessageReceived {
        /// Sender of the message.
        from: NodeId,
        /// Content of the message; kinds that don't concern consensus are ignored.
        message: Message,
    },
    /// The disk has synced this batch and all earlier ones that it did not refuse.
    BatchSynced(BatchId),
    /// The disk refused this batch; none of it is written.
    BatchRefused(BatchId),
    /// An operator submits a new configuration, which the caller has validated.
    PutConfiguration {
        /// Identifies the call in [`crate::Effect::AnswerCall`].
        ticket: Ticket,
        /// Version assigned by the operator.
        version: ConfigurationVersion,
        /// Complete text of the configuration.
        text: Arc<[u8]>,
    },
    /// An operator requests the committed configuration.
    GetConfiguration {
        /// Identifies the call in [`crate::Effect::AnswerCall`].
        ticket: Ticket,
    },
    /// A gateway claims an operation key.
    Claim(ClaimRequest),
    /// A gateway withdraws a claim under which it has sent no request and will send none.
    WithdrawClaim {
        /// Digest of the operation key.
        key: KeyDigest,
        /// The claim to withdraw; ignored unless it holds the key.
        claim: ClaimId,
    },
    /// Proposes the next state of the usage duty. Ignored unless its position follows that of the newest state known
    /// here, and without contact to a majority. [`crate::Effect::DutyCommitted`] tells which state was chosen for the
    /// position. Until then, or for the timeout of the proposal, another state for the same position is ignored, and
    /// even later the first one may still be chosen.
    ProposeDuty(DutyState),
    /// The process is about to exit; a standby may replace it in the voting set.
    ShutDown,
    /// Periodic timer event, about every 50 ms; drives timeouts and retries.
    Tick,
}
