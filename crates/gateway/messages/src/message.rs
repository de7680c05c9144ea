//! Every message between nodes. Spans are in milliseconds; clocks of two nodes are never compared.

use crate::ballots::{Ballot, DurableVote, Proposal, Slot};
use crate::hosts::{EndpointWeight, Heartbeat, HostRecord};
use crate::operations::{ClaimVerdict, OperationState};
use crate::snapshot::{RecoveryPoint, SnapshotChunk, SnapshotCursor};
use crate::voting_set::VotingSet;
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, Generation, Incarnation, KeyDigest, NodeId, RequestToken,
    Timestamp,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Rises when a message changes its form: nodes of another version are refused at the handshake.
pub const PROTOCOL_VERSION: u32 = 4;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Keeps control state on its disk and serves hosts and operators.
    Controller,
    /// Takes clients' requests and forwards them to hosts.
    Gateway,
}

/// The first message of a session, both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol_version: u32,
    /// What the sender does.
    pub role: Role,
    /// Who it is.
    pub node: NodeId,
    /// Drawn at random at the start of its process.
    pub incarnation: Incarnation,
    /// Its machine's name, for logs.
    pub name: String,
    /// Its machine's zone.
    pub zone: String,
}

/// A message between two nodes. [`crate::authorization`] says who may send which.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Opens a session.
    Handshake(Handshake),
    /// Shows that the sender lives.
    Ping,

    // Between controllers, and to gateways where it says so.
    /// Controllers that the sender knows of (to gateways too).
    Controllers(Vec<NodeId>),
    /// Gateways whose session with the sender stands.
    GatewaySessions(Vec<NodeId>),
    /// Hosts that are new or changed, or all hosts of some ranges.
    HostUpdates(Vec<HostRecord>),
    /// Hosts that only sent a heartbeat.
    Heartbeats(Vec<Heartbeat>),
    /// A digest of each range of the sender's host registry (anti-entropy).
    HostDigests(Vec<u64>),
    /// Asks for all hosts of these ranges.
    HostRangeRequest(Vec<u16>),
    /// The newest voting set that the sender knows (to gateways too).
    VotingSet(VotingSet),
    /// Asks for the promise to accept nothing under a lower ballot (phase 1).
    Prepare {
        /// The voting set that the ballot is of.
        epoch: Epoch,
        /// What a value is to be chosen for.
        slot: Slot,
        /// The proposal number.
        ballot: Ballot,
        /// The member that a proposed voting set leaves out.
        removed: Option<NodeId>,
    },
    /// The promise that was asked for, and what was accepted before it.
    Promise {
        /// The voting set that the sender votes in.
        epoch: Epoch,
        /// As in the request.
        slot: Slot,
        /// As in the request.
        ballot: Ballot,
        /// The proposal under the highest ballot that the sender accepted.
        accepted: Option<Proposal>,
    },
    /// Asks for a vote (phase 2); also brings a copy to a replica that lags.
    Accept {
        /// The voting set that the ballot is of.
        epoch: Epoch,
        /// What the value is for.
        slot: Slot,
        /// The value and its ballot.
        proposal: Proposal,
    },
    /// A higher ballot was promised: answers `Prepare` and `Accept`.
    Reject {
        /// The voting set that the sender votes in.
        epoch: Epoch,
        /// As in the request.
        slot: Slot,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// What the sender's disk holds. Each side gives back the other's clock, so each knows by its own clock how old at
    /// most this is.
    ReplicaStatus {
        /// The sender's steady clock; the receiver gives it back.
        sent_at: Timestamp,
        /// The last `sent_at` that the sender got from the receiver in this session; zero: none.
        echoed: Timestamp,
        /// The voting set that the sender knows.
        epoch: Epoch,
        /// Whether the sender votes in that set; otherwise nothing of this counts.
        is_voter: bool,
        /// Whether its disk takes writes; where it does not, the sender gives no vote, promise or grant.
        is_disk_usable: bool,
        /// The generation of its disk.
        generation: Generation,
        /// For a receiver that does not vote: what the sender knows of its disk, if it knows anything.
        recovery_point: Option<RecoveryPoint>,
        /// The version in force at the sender.
        committed: ConfigurationVersion,
        /// Votes that its disk holds.
        votes: Vec<DurableVote>,
    },
    /// Asks what the receiver holds, for a read or as a proof of contact.
    ReadRequest {
        /// Bound to the answer.
        token: RequestToken,
        /// The voting set that the sender knows.
        epoch: Epoch,
    },
    /// Answers `ReadRequest`.
    ReadResponse {
        /// As in the request.
        token: RequestToken,
        /// The voting set that the sender knows.
        epoch: Epoch,
        /// Whether the sender votes in that set.
        is_voter: bool,
        /// The highest version that the sender has accepted.
        highest_accepted: ConfigurationVersion,
    },
    /// A replica without complete state asks a voter for its snapshot, or for what came since the last one.
    SnapshotRequest {
        /// The voting set that the sender knows.
        epoch: Epoch,
        /// Where the last snapshot ended; `None`: all is wanted.
        after: Option<SnapshotCursor>,
    },
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Asks a standby controller to become a learner, so that it can become a member.
    LearnerInvitation {
        /// The voting set that it is to learn from.
        epoch: Epoch,
    },
    /// The sender holds what voters of this set hold.
    LearnerReady {
        /// The voting set that it learned from.
        epoch: Epoch,
    },
    /// The sender is about to end: its place in the voting set may be taken at once.
    ShuttingDown,

    // A gateway to a controller.
    /// Claims an operation key.
    ClaimRequest {
        /// The voting set that grants are counted in.
        epoch: Epoch,
        /// The operation key.
        key: KeyDigest,
        /// Who claims it.
        claim: ClaimId,
    },
    /// Nothing was sent under this claim, and nothing will be.
    ClaimWithdrawal {
        /// The operation key.
        key: KeyDigest,
        /// The claim that ends.
        claim: ClaimId,
    },
    /// Asks for the configuration in force.
    ConfigurationRequest {
        /// Only a version above this one is wanted.
        newer_than: ConfigurationVersion,
    },
    /// Whether the sender takes its tables from the receiver from now on.
    PrimarySelected(bool),
    /// The sender's tables of a service are up to date with this revision, and all before it.
    TableApplied {
        /// The service of the table.
        service: Arc<str>,
        /// Of the table update that is applied.
        revision: u16,
    },
    /// What came to the sender for a service.
    LoadReport {
        /// The service that was asked for.
        service: Arc<str>,
        /// Attempts at its hosts.
        attempts: u32,
        /// Those of them that failed.
        failures: u32,
        /// The span that was counted, ms.
        interval_ms: u32,
    },

    // A controller to a gateway.
    /// Answers `ClaimRequest`.
    ClaimResponse {
        /// As in the request.
        epoch: Epoch,
        /// As in the request.
        key: KeyDigest,
        /// As in the request.
        claim: ClaimId,
        /// Granted or not.
        verdict: ClaimVerdict,
    },
    /// The version in force. Its text comes from the primary controller of the receiver, or is asked for.
    CommittedVersion {
        /// A majority of disks holds it.
        version: ConfigurationVersion,
    },
    /// The configuration in force: a majority of disks holds it.
    Configuration {
        /// Its version.
        version: ConfigurationVersion,
        /// Its whole text, as the operator sent it.
        text: Arc<[u8]>,
    },
    /// Whether the sender can serve as a primary controller, and how many gateways there are.
    ControllerStatus {
        /// It knows the hosts that there are, and is in session with a majority.
        is_synchronized: bool,
        /// Gateways that are members; 0 between controllers.
        gateways: u32,
    },
    /// The whole table of a service that the receiver is bound to from now on.
    TableReplacement {
        /// The service of the table.
        service: Arc<str>,
        /// To be given back in `TableApplied`.
        revision: u16,
        /// All its lines.
        endpoints: Vec<EndpointWeight>,
    },
    /// Changes of the table that the receiver is bound to.
    TableUpdate {
        /// The service of the table.
        service: Arc<str>,
        /// To be given back in `TableApplied`.
        revision: u16,
        /// Lines that change; weight 0 removes one.
        endpoints: Vec<EndpointWeight>,
    },
    /// Hosts that drain or are gone, or are back: these states hold at once, whatever tables say.
    HostStates(Vec<HostRecord>),

    // Between gateways.
    /// Asks a claimant what became of an operation.
    OperationQuery {
        /// Bound to the answer.
        token: RequestToken,
        /// The operation key.
        key: KeyDigest,
        /// The receiver's claim of it.
        claim: ClaimId,
    },
    /// Answers `OperationQuery`.
    OperationReply {
        /// As in the request.
        token: RequestToken,
        /// What the sender knows.
        state: OperationState,
    },
}
