//! Every message between nodes. Durations are in milliseconds. Clocks of two nodes are never compared.

use crate::ballots::{Ballot, DurableVote, Proposal, Slot};
use crate::hosts::{EndpointWeight, Heartbeat, HostRecord};
use crate::operations::{ClaimVerdict, OperationState};
use crate::snapshot::{RecoveryPoint, SnapshotChunk, SnapshotCursor};
use crate::stored_response::ShardPart;
use crate::usage::UsageCounts;
use crate::voting_set::VotingSet;
use rushcourse_types::{
    ClaimId, ConfigurationVersion, DutySequence, Epoch, Generation, Incarnation, KeyDigest, Millis,
    NodeId, OperationKeys, ReplicaSequence, RequestToken, ResponseStoreId, Timestamp,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version of the wire format, incremented with every change to the encoding of a message. The handshake rejects peers
/// with another version.
pub const PROTOCOL_VERSION: u32 = 8;

/// The role of a node, which determines the messages it may send and receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Stores control state on its disk and serves hosts and operators.
    Controller,
    /// Forwards client requests to hosts.
    Gateway,
}

/// The first message that each side of a session sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The [`PROTOCOL_VERSION`] of the sender's build.
    pub protocol_version: u32,
    /// The sender's role; with TLS, its certificate must permit [`Role::Controller`].
    pub role: Role,
    /// The sender's node id, which must match the source address of the connection.
    pub node: NodeId,
    /// Random number drawn at each start of the sender's process; tells two runs of one node apart.
    pub incarnation: Incarnation,
    /// The sender's node name, used in logs and status pages.
    pub name: String,
    /// The zone of the sender's machine.
    pub zone: String,
}

/// A message between two nodes. [`crate::authorization`] defines which role may send which variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of each side of a session; rejected afterwards.
    Handshake(Handshake),
    /// Keeps an idle session alive.
    Ping,

    // Between controllers; some variants also go to gateways.
    /// All controllers known to the sender, itself included. Also sent to gateways.
    Controllers(Vec<NodeId>),
    /// The gateways that have an open session with the sender.
    GatewaySessions(Vec<NodeId>),
    /// Records of new or changed hosts, or all records of the ranges named in a `HostRangeRequest`.
    HostUpdates(Vec<HostRecord>),
    /// Heartbeats that changed nothing but the sequence of their host.
    Heartbeats(Vec<Heartbeat>),
    /// Anti-entropy: one digest for each range of the sender's host registry.
    HostDigests(Vec<u64>),
    /// Requests all host records in the ranges with these indices.
    HostRangeRequest(Vec<u16>),
    /// The newest voting set known to the sender. Also sent to gateways.
    VotingSet(VotingSet),
    /// Paxos phase 1: asks the receiver to promise not to accept proposals under a lower ballot.
    Prepare {
        /// The epoch of the voting set in which the ballot takes place.
        epoch: Epoch,
        /// The slot for which a value is to be chosen.
        slot: Slot,
        /// The ballot under which the sender is going to propose a value.
        ballot: Ballot,
        /// For a slot of a voting set: the member that the proposed set leaves out, if any. For a slot of the usage
        /// duty: the holder that the proposed state replaces, if any.
        removed: Option<NodeId>,
    },
    /// Answers `Prepare` with the promise and the proposal accepted so far.
    Promise {
        /// The epoch of the sender's voting set.
        epoch: Epoch,
        /// The slot named in the `Prepare`.
        slot: Slot,
        /// The ballot named in the `Prepare`.
        ballot: Ballot,
        /// The accepted proposal with the highest ballot, if any. The proposer has to propose its value.
        accepted: Option<Proposal>,
    },
    /// Paxos phase 2: asks for a vote. Also sends a copy of the value to a lagging replica.
    Accept {
        /// The epoch of the voting set in which the ballot takes place.
        epoch: Epoch,
        /// The slot for which the value is proposed.
        slot: Slot,
        /// The proposed value and its ballot.
        proposal: Proposal,
    },
    /// Answers a `Prepare` or `Accept` whose ballot is lower than the one the sender has promised.
    Reject {
        /// The epoch of the sender's voting set.
        epoch: Epoch,
        /// The slot named in the rejected message.
        slot: Slot,
        /// The promised ballot; a new attempt needs a higher one.
        promised: Ballot,
    },
    /// Periodic report of the durable state of a replica. The report echoes the receiver's last timestamp, so that the
    /// receiver can bound the report's age by its own clock.
    ReplicaStatus {
        /// The sender's steady clock, never zero. The receiver echoes it in its next report.
        sent_at: Timestamp,
        /// The last `sent_at` received from the receiver in this session; zero if none was received.
        echoed: Timestamp,
        /// The epoch of the sender's voting set.
        epoch: Epoch,
        /// Whether the sender votes in this epoch. The votes of a non-voter do not count.
        is_voter: bool,
        /// Whether the sender's disk accepts writes. If not, the sender gives no promises, votes or grants.
        is_disk_usable: bool,
        /// The generation of the sender's state file.
        generation: Generation,
        /// What the sender knows of the receiver's disk. Set only while the receiver reports that it does not vote.
        recovery_point: Option<RecoveryPoint>,
        /// The highest version that the sender knows to be committed.
        committed: ConfigurationVersion,
        /// The highest position in the chain of duty states that the sender knows to be chosen.
        duty: DutySequence,
        /// The votes stored on the sender's disk.
        votes: Vec<DurableVote>,
    },
    /// Asks for the receiver's highest accepted version, for a majority read or as a contact probe.
    ReadRequest {
        /// Chosen by the sender; the response carries the same token.
        token: RequestToken,
        /// The epoch of the sender's voting set.
        epoch: Epoch,
    },
    /// Answers `ReadRequest` with the highest version known to the sender.
    ReadResponse {
        /// The token of the request.
        token: RequestToken,
        /// The epoch of the sender's voting set; the requester ignores responses from another epoch.
        epoch: Epoch,
        /// Whether the sender votes in this epoch.
        is_voter: bool,
        /// The highest version that the sender has accepted or knows to be committed.
        highest_accepted: ConfigurationVersion,
    },
    /// Sent by a replica without complete state: asks a voter for a snapshot, full or incremental.
    SnapshotRequest {
        /// The epoch of the sender's voting set.
        epoch: Epoch,
        /// The cursor at the end of the last snapshot received; `None` requests a full snapshot.
        after: Option<SnapshotCursor>,
    },
    /// Part of a snapshot, sent in answer to `SnapshotRequest`.
    SnapshotChunk(SnapshotChunk),
    /// Asks a standby controller to become a learner, the step before it can join the voting set.
    LearnerInvitation {
        /// The epoch of the voting set whose state the learner has to install.
        epoch: Epoch,
    },
    /// Reports that the sender has installed the snapshots it needs to join the voting set.
    LearnerReady {
        /// The epoch of the voting set whose state was installed.
        epoch: Epoch,
    },
    /// Announces that the sender's process is shutting down. A standby may replace it in the voting set at once.
    ShuttingDown,

    // From a gateway to a controller.
    /// Claims an operation key; a majority of grants makes the gateway its holder.
    ClaimRequest {
        /// The epoch of the voting set whose grants are counted.
        epoch: Epoch,
        /// The digests of the operation.
        keys: OperationKeys,
        /// The claim; it must belong to the sender's current incarnation.
        claim: ClaimId,
    },
    /// Withdraws a claim under which no request was or will be sent.
    ClaimWithdrawal {
        /// The digest of the operation key.
        key: KeyDigest,
        /// The withdrawn claim; it must belong to the sender's current incarnation.
        claim: ClaimId,
    },
    /// Requests the text of the committed configuration.
    ConfigurationRequest {
        /// The version that the gateway has. The controller answers only if it knows a higher committed one.
        newer_than: ConfigurationVersion,
    },
    /// Selects (`true`) or deselects (`false`) the receiver as the primary controller, which sends the endpoint tables.
    PrimarySelected(bool),
    /// Acknowledges an endpoint table revision and all earlier revisions for the same service.
    TableApplied {
        /// The service of the table.
        service: Arc<str>,
        /// The revision of the `TableReplacement` or `TableUpdate` that was applied.
        revision: u16,
    },
    /// Load that a gateway observed for one service since its last report.
    LoadReport {
        /// The service that received the attempts.
        service: Arc<str>,
        /// Number of attempts sent to hosts of the service.
        attempts: u32,
        /// Number of those attempts that failed.
        failures: u32,
        /// Length of the reporting interval in milliseconds.
        interval_ms: u32,
    },

    // From a controller to a gateway.
    /// Answers `ClaimRequest` with the verdict of one controller.
    ClaimResponse {
        /// The epoch named in the request.
        epoch: Epoch,
        /// The number of the claim named in the request, which arrived on the same session and thus belongs to the
        /// receiver's current incarnation.
        claim_number: u64,
        /// The decision of this controller; the gateway needs grants from a majority.
        verdict: ClaimVerdict,
    },
    /// Announces a committed version without its text. A gateway gets the text from its primary controller or requests
    /// it with `ConfigurationRequest`.
    CommittedVersion {
        /// A version that a majority of disks holds.
        version: ConfigurationVersion,
    },
    /// A committed configuration with its text.
    Configuration {
        /// A version that a majority of disks holds.
        version: ConfigurationVersion,
        /// The JSON text exactly as the operator submitted it.
        text: Arc<[u8]>,
    },
    /// Whether the sender can serve as a primary controller. Also sent between controllers.
    ControllerStatus {
        /// Whether the sender knows all hosts. Towards gateways it also requires sessions with a majority.
        is_synchronized: bool,
        /// Number of member gateways; always 0 between controllers.
        gateways: u32,
    },
    /// The complete endpoint table of a service; it replaces any earlier table of that service.
    TableReplacement {
        /// The service of the table.
        service: Arc<str>,
        /// The revision to acknowledge with `TableApplied`.
        revision: u16,
        /// All entries of the table.
        endpoints: Vec<EndpointWeight>,
    },
    /// Changes to the receiver's endpoint table of a service.
    TableUpdate {
        /// The service of the table.
        service: Arc<str>,
        /// The revision to acknowledge with `TableApplied`.
        revision: u16,
        /// The changed entries; weight 0 removes an entry.
        endpoints: Vec<EndpointWeight>,
    },
    /// Hosts that are draining, gone or ready again. The states apply immediately and override the endpoint tables.
    HostStates(Vec<HostRecord>),

    // Between gateways, and from a gateway to controllers.
    /// Asks the gateway that holds a claim for the state of its operation, or a controller for its shard of the response.
    OperationQuery {
        /// Chosen by the sender; the reply carries the same token.
        token: RequestToken,
        /// The digest of the operation key.
        key: KeyDigest,
        /// The claim under which the operation ran.
        claim: ClaimId,
        /// The offset of the part of the response, or of the shard, to send, if there is one.
        offset: u32,
    },
    /// Answers `OperationQuery` with the state of the operation and, if it completed, a part of its response or shard.
    OperationReply {
        /// The token of the query.
        token: RequestToken,
        /// The state of the operation at the sender.
        state: OperationState,
    },

    // Leases on the configuration. Last in the enum, so that the encoding of all other messages stays the same.
    /// From a gateway to a controller: asks for the controller's newest confirmation of a configuration version.
    ConfigurationLeaseRequest {
        /// The sender's steady clock; echoed in the response.
        sent_at: Timestamp,
    },
    /// Answers `ConfigurationLeaseRequest`: when a majority read began `age` ago, no configuration above `version` had
    /// been acknowledged. Not sent by a controller that has no confirmation.
    ConfigurationLeaseResponse {
        /// The `sent_at` of the request.
        sent_at: Timestamp,
        /// The confirmed version; zero if no configuration had been acknowledged.
        version: ConfigurationVersion,
        /// Time from the start of the read until the response, by the sender's steady clock.
        age: Millis,
    },

    // Usage reports.
    /// Counts of executed requests, from a gateway to controllers, and passed on between controllers.
    UsageCounts(UsageCounts),

    // Shards of stored responses.
    /// From a controller to a gateway: the controller stores shards of responses, in the file with this identifier.
    ResponseStoreOpened {
        /// Changes when the file is created anew, which loses the shards.
        store: ResponseStoreId,
    },
    /// From a gateway to a controller: parts of shards of responses, to be stored until their key windows end.
    ResponseShards {
        /// Named in `ResponseShardsStored` once all of the parts are on disk.
        sequence: ReplicaSequence,
        /// Parts of shards of operations that the sender's current incarnation ran.
        parts: Vec<ShardPart>,
    },
    /// From a controller to a gateway: the parts of these messages are on disk.
    ResponseShardsStored {
        /// The numbers of the messages, in the order of their arrival.
        sequences: Vec<ReplicaSequence>,
    },

    // States of leaving hosts.
    /// Between controllers: asks the receiver to apply the record of a leaving host, and to confirm it once it is on disk.
    StoreLeavingHost {
        /// Chosen by the sender; the confirmation carries the same token.
        token: RequestToken,
        /// The host that drains or is gone.
        record: HostRecord,
    },
    /// Answers `StoreLeavingHost` once the host is on the sender's disk.
    LeavingHostStored {
        /// The token of the request.
        token: RequestToken,
    },
}
