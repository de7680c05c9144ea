//! The names of all message kinds (variants of `Message`). The exhaustive match fails to compile if one is missing, so
//! that tests over all kinds stay complete.

use rushcourse_messages::Message;

macro_rules! kinds {
    ($($name:ident),* $(,)?) => {
        /// The names of all kinds, in the order of the variants.
        pub const KINDS: &[&str] = &[$(stringify!($name)),*];

        pub fn kind(message: &Message) -> &'static str {
            match message {
                $(Message::$name { .. } => stringify!($name)),*
            }
        }
    };
}

kinds!(
    Handshake,
    Ping,
    Controllers,
    GatewaySessions,
    HostUpdates,
    Heartbeats,
    HostDigests,
    HostRangeRequest,
    VotingSet,
    Prepare,
    Promise,
    Accept,
    Reject,
    ReplicaStatus,
    ReadRequest,
    ReadResponse,
    SnapshotRequest,
    SnapshotChunk,
    LearnerInvitation,
    LearnerReady,
    ShuttingDown,
    ClaimRequest,
    ClaimWithdrawal,
    ConfigurationRequest,
    PrimarySelected,
    TableApplied,
    LoadReport,
    ClaimResponse,
    CommittedVersion,
    Configuration,
    ControllerStatus,
    TableReplacement,
    TableUpdate,
    HostStates,
    OperationQuery,
    OperationReply,
    ConfigurationLeaseRequest,
    ConfigurationLeaseResponse,
    UsageCounts,
    StoreLeavingHost,
    LeavingHostStored,
    ResponseStoreOpened,
    ResponseShards,
    ResponseShardsStored,
);
