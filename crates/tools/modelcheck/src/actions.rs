//! Transitions of a world.
//!
//! Each action has a constructor in snake case and is printed as a call of it, so that printed traces can be pasted
//! into tests.

use crate::submission::Submission;
use rushcourse_types::NodeId;
use std::fmt;

/// A transition of a world. Random walks hash actions, so the order of the variants determines their results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Delivers the oldest in-flight packet of a link.
    Deliver {
        /// Node that sent the packet.
        from: NodeId,
        /// Node that receives the packet.
        to: NodeId,
    },
    /// Syncs the oldest unsynced batch of a controller's disk.
    SyncBatch(NodeId),
    /// Stops a controller; unsynced batches are lost.
    LosePower(NodeId),
    /// Stops a controller; unsynced batches reach the disk.
    Kill(NodeId),
    /// Restarts a controller with an empty disk.
    WipeDisk(NodeId),
    /// Starts a stopped controller.
    Start(NodeId),
    /// Stops a controller permanently; unsynced batches are lost.
    LoseMachine(NodeId),
    /// Restarts a controller with the disk contents that it had in the initial state.
    RestoreOldDisk(NodeId),
    /// Sends SIGTERM to a controller, which continues until a standby has replaced it.
    ShutDown(NodeId),
    /// Breaks and reestablishes the session of two controllers; in-flight messages between them are lost.
    BreakSession(NodeId, NodeId),
    /// Disconnects a controller from all other controllers until [`Action::Reconnect`]. Gateways still reach it.
    Isolate(NodeId),
    /// Reconnects an isolated controller to the others.
    Reconnect(NodeId),
    /// Suspends a controller: it receives nothing and handles no timers until [`Action::Resume`].
    Pause(NodeId),
    /// Resumes a paused controller.
    Resume(NodeId),
    /// Starts a claim of the operation key at a gateway.
    BeginClaim(NodeId),
    /// Sends a gateway's request; possible at any time after its claim is won.
    SendRequest(NodeId),
    /// Restarts a gateway, which loses its state except for the voting set.
    RestartGateway(NodeId),
    /// Submits a configuration; the submission determines the controller.
    Put(Submission),
    /// Reads the configuration at a controller.
    Get(NodeId),
    /// Advances the clock by 450 ms, ticks all running controllers that are not paused, and decides claims that have
    /// timed out.
    Wait,
    /// Delivers all messages between controllers and syncs all disks until nothing is pending. For setup actions.
    DeliverAll,
    /// A controller proposes the next state of the usage duty: as the holder it settles a report, else it takes over.
    ProposeDuty(NodeId),
}

impl Action {
    /// Whether the action continues pending work: not a fault, a new call or a wait.
    pub fn is_progress(&self) -> bool {
        matches!(
            self,
            Action::Deliver { .. }
                | Action::SyncBatch(_)
                | Action::Start(_)
                | Action::Reconnect(_)
                | Action::Resume(_)
        )
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Action::Deliver { from, to } => write!(f, "deliver({}, {})", from.0, to.0),
            Action::SyncBatch(node) => write!(f, "sync_batch({})", node.0),
            Action::LosePower(node) => write!(f, "lose_power({})", node.0),
            Action::Kill(node) => write!(f, "kill({})", node.0),
            Action::WipeDisk(node) => write!(f, "wipe_disk({})", node.0),
            Action::Start(node) => write!(f, "start({})", node.0),
            Action::LoseMachine(node) => write!(f, "lose_machine({})", node.0),
            Action::RestoreOldDisk(node) => write!(f, "restore_old_disk({})", node.0),
            Action::ShutDown(node) => write!(f, "shut_down({})", node.0),
            Action::BreakSession(one, other) => write!(f, "break_session({}, {})", one.0, other.0),
            Action::Isolate(node) => write!(f, "isolate({})", node.0),
            Action::Reconnect(node) => write!(f, "reconnect({})", node.0),
            Action::Pause(node) => write!(f, "pause({})", node.0),
            Action::Resume(node) => write!(f, "resume({})", node.0),
            Action::BeginClaim(node) => write!(f, "begin_claim({})", node.0),
            Action::SendRequest(node) => write!(f, "send_request({})", node.0),
            Action::RestartGateway(node) => write!(f, "restart_gateway({})", node.0),
            Action::Put(submission) => write!(f, "put({submission})"),
            Action::Get(node) => write!(f, "get({})", node.0),
            Action::Wait => f.write_str("Wait"),
            Action::DeliverAll => f.write_str("DeliverAll"),
            Action::ProposeDuty(node) => write!(f, "propose_duty({})", node.0),
        }
    }
}

/// Returns [`Action::Deliver`].
pub const fn deliver(from: u32, to: u32) -> Action {
    Action::Deliver {
        from: NodeId(from),
        to: NodeId(to),
    }
}

/// Returns [`Action::BreakSession`].
pub const fn break_session(one: u32, other: u32) -> Action {
    Action::BreakSession(NodeId(one), NodeId(other))
}

/// Returns [`Action::Put`] for the submission with this number.
pub const fn put(submission: u64) -> Action {
    Action::Put(Submission(submission))
}

macro_rules! single_node_actions {
    ($($name:ident => $variant:ident),* $(,)?) => {$(
        #[doc = concat!("Returns [`Action::", stringify!($variant), "`].")]
        pub const fn $name(node: u32) -> Action {
            Action::$variant(NodeId(node))
        }
    )*};
}

single_node_actions! {
    sync_batch => SyncBatch,
    lose_power => LosePower,
    kill => Kill,
    wipe_disk => WipeDisk,
    start => Start,
    lose_machine => LoseMachine,
    restore_old_disk => RestoreOldDisk,
    shut_down => ShutDown,
    isolate => Isolate,
    reconnect => Reconnect,
    pause => Pause,
    resume => Resume,
    begin_claim => BeginClaim,
    send_request => SendRequest,
    restart_gateway => RestartGateway,
    get => Get,
    propose_duty => ProposeDuty,
}
