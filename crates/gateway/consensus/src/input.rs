//! The inputs of a node.

use crate::durable_state::BatchId;
use rushcourse_messages::Message;
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, KeyDigest, NodeId, SessionId, Ticket,
};
use std::sync::Arc;

/// A gateway's claim of an operation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The session that it came by; the answer goes there.
    pub session: SessionId,
    /// The voting set that it is asked for under.
    pub epoch: Epoch,
    /// The operation key.
    pub key: KeyDigest,
    /// The claim of it.
    pub claim: ClaimId,
}

/// What a node is to handle in one step.
#[derive(Clone, Debug)]
pub enum Input {
    /// A session with another controller stands.
    PeerConnected {
        /// The other controller.
        peer: NodeId,
        /// The zone of its machine.
        zone: Arc<str>,
    },
    /// The session with another controller broke.
    PeerDisconnected(NodeId),
    /// A message of another controller.
    MessageReceived {
        /// Who sent it.
        from: NodeId,
        /// What it sent.
        message: Message,
    },
    /// The disk holds a batch.
    BatchSynced(BatchId),
    /// The disk refused a batch: none of it is written.
    BatchRefused(BatchId),
    /// An operator's new configuration; it was checked before.
    PutConfiguration {
        /// The call, for its answer.
        ticket: Ticket,
        /// The number that the operator gave it.
        version: ConfigurationVersion,
        /// Its whole text.
        text: Arc<[u8]>,
    },
    /// An operator asks for the committed configuration.
    GetConfiguration {
        /// The call, for its answer.
        ticket: Ticket,
    },
    /// A gateway claims an operation key.
    Claim(ClaimRequest),
    /// A gateway withdraws its claim: it sent no request under it, and will not.
    WithdrawClaim {
        /// The operation key.
        key: KeyDigest,
        /// The claim that ends.
        claim: ClaimId,
    },
    /// The process is to end: a standby may take its place in the voting set.
    ShutDown,
    /// Time passes. Comes about every 50 ms.
    Tick,
}
