//! The kinds of messages, each by its name. A kind that is missing here does not compile, so that tests over all kinds
//! leave none out.

use rushcourse_messages::Message;

macro_rules! kinds {
    ($($name:ident),* $(,)?) => {
        /// All kinds, in the order of the messages.
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
);
