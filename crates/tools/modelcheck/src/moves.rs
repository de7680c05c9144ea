//! What may happen next in a world, each a move of its own.
//!
//! Each move has a constructor in snake case, and is printed as its call: a way that the program prints can be pasted
//! into a test.

use crate::draft::Draft;
use rushcourse_types::NodeId;
use std::fmt;

/// What may happen next. Random walks hash moves, so the order of the variants is part of the figures that they give.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Move {
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
    Put(Draft),
    /// An operator reads the configuration at a controller.
    Get(NodeId),
    /// Time passes.
    Wait,
    /// All messages of controllers arrive and all disks sync, until nothing is under way: for openings of scenes.
    DeliverAll,
}

impl Move {
    /// Whether it continues what is under way: no fault, no new call and no passing of time.
    pub fn is_progress(&self) -> bool {
        matches!(
            self,
            Move::Deliver { .. }
                | Move::SyncBatch(_)
                | Move::Start(_)
                | Move::Reconnect(_)
                | Move::Resume(_)
        )
    }
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Move::Deliver { from, to } => write!(f, "deliver({}, {})", from.0, to.0),
            Move::SyncBatch(node) => write!(f, "sync_batch({})", node.0),
            Move::LosePower(node) => write!(f, "lose_power({})", node.0),
            Move::Kill(node) => write!(f, "kill({})", node.0),
            Move::WipeDisk(node) => write!(f, "wipe_disk({})", node.0),
            Move::Start(node) => write!(f, "start({})", node.0),
            Move::LoseMachine(node) => write!(f, "lose_machine({})", node.0),
            Move::RestoreOldDisk(node) => write!(f, "restore_old_disk({})", node.0),
            Move::ShutDown(node) => write!(f, "shut_down({})", node.0),
            Move::BreakSession(one, other) => write!(f, "break_session({}, {})", one.0, other.0),
            Move::Isolate(node) => write!(f, "isolate({})", node.0),
            Move::Reconnect(node) => write!(f, "reconnect({})", node.0),
            Move::Pause(node) => write!(f, "pause({})", node.0),
            Move::Resume(node) => write!(f, "resume({})", node.0),
            Move::BeginClaim(node) => write!(f, "begin_claim({})", node.0),
            Move::SendRequest(node) => write!(f, "send_request({})", node.0),
            Move::RestartGateway(node) => write!(f, "restart_gateway({})", node.0),
            Move::Put(draft) => write!(f, "put({draft})"),
            Move::Get(node) => write!(f, "get({})", node.0),
            Move::Wait => f.write_str("Wait"),
            Move::DeliverAll => f.write_str("DeliverAll"),
        }
    }
}

/// [`Move::Deliver`]
pub const fn deliver(from: u32, to: u32) -> Move {
    Move::Deliver {
        from: NodeId(from),
        to: NodeId(to),
    }
}

/// [`Move::BreakSession`]
pub const fn break_session(one: u32, other: u32) -> Move {
    Move::BreakSession(NodeId(one), NodeId(other))
}

/// [`Move::Put`]
pub const fn put(draft: u64) -> Move {
    Move::Put(Draft(draft))
}

macro_rules! moves_of_one_node {
    ($($name:ident => $variant:ident),* $(,)?) => {$(
        #[doc = concat!("[`Move::", stringify!($variant), "`]")]
        pub const fn $name(node: u32) -> Move {
            Move::$variant(NodeId(node))
        }
    )*};
}

moves_of_one_node! {
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
