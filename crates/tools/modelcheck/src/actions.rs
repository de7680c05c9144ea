//! What may happen next in a world, each a move of its own.
//!
//! Each move has a constructor in snake case, and is printed as its call: a way that the program prints can be pasted
//! into a test.

use crate::submission::Submission;
use rushcourse_types::NodeId;
use std::fmt;

/// What may happen next. Random walks hash moves, so the order of the variants is part of the figures that they give.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The oldest message from one node to the other arrives.
    Deliver {
        /// The sender.
        from: NodeId,
        /// The receiver.
        to: NodeId,
    },
    /// The oldest batch of a disk is synced.
    SyncBatch(NodeId),
    /// A controller ends; what was not synced is lost.
    LosePower(NodeId),
    /// A controller ends; all that it wrote reaches the disk.
    Kill(NodeId),
    /// A controller ends, and comes back with an empty disk.
    WipeDisk(NodeId),
    /// A controller that ended comes back.
    Start(NodeId),
    /// A controller ends with what was not synced lost, and never comes back.
    LoseMachine(NodeId),
    /// A controller ends, and comes back with the disk that it had at the start of this world.
    RestoreOldDisk(NodeId),
    /// A controller gets SIGTERM: it goes on until a standby has its place.
    ShutDown(NodeId),
    /// The session of two controllers breaks and stands anew: what was on the way is lost.
    BreakSession(NodeId, NodeId),
    /// A controller is cut off from all others, until it is reconnected. Gateways still reach it.
    Isolate(NodeId),
    /// A controller that was isolated is in session with the others again.
    Reconnect(NodeId),
    /// A controller's process stands still: it receives nothing and no time passes for it, until it is resumed.
    Pause(NodeId),
    /// A paused process goes on.
    Resume(NodeId),
    /// A gateway claims the key.
    BeginClaim(NodeId),
    /// A gateway sends its request, however long after its claim was won.
    SendRequest(NodeId),
    /// A gateway ends and starts again: it knows nothing of what it did.
    RestartGateway(NodeId),
    /// An operator puts a configuration.
    Put(Submission),
    /// An operator reads the configuration at a controller.
    Get(NodeId),
    /// Time passes.
    Wait,
    /// All messages of controllers arrive and all disks sync, until nothing is under way: for openings of scenes.
    DeliverAll,
}

impl Action {
    /// Whether it continues what is under way: no fault, no new call and no passing of time.
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
        }
    }
}

/// [`Action::Deliver`]
pub const fn deliver(from: u32, to: u32) -> Action {
    Action::Deliver {
        from: NodeId(from),
        to: NodeId(to),
    }
}

/// [`Action::BreakSession`]
pub const fn break_session(one: u32, other: u32) -> Action {
    Action::BreakSession(NodeId(one), NodeId(other))
}

/// [`Action::Put`]
pub const fn put(submission: u64) -> Action {
    Action::Put(Submission(submission))
}

macro_rules! single_node_actions {
    ($($name:ident => $variant:ident),* $(,)?) => {$(
        #[doc = concat!("[`Move::", stringify!($variant), "`]")]
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
}
