//! What may happen next in a world, each a move of its own.

use rushcourse_types::NodeId;

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// The oldest message from one to the other arrives.
    Deliver(NodeId, NodeId),
    /// The oldest batch of a disk is synced, and the program is told.
    Sync(NodeId),
    /// Ends with what was not synced lost; ends with all written; ends and comes back with an empty disk.
    Power(NodeId),
    Kill(NodeId),
    Wipe(NodeId),
    Start(NodeId),
    /// It ends with what was not synced lost, and never comes back.
    Lose(NodeId),
    /// It ends, and comes back with the disk that it had at the start of this world.
    OldDisk(NodeId),
    /// It is told to end, and goes on until a spare has its place.
    Leave(NodeId),
    /// The session of two core directors breaks and stands anew: what was on the way is lost.
    Cut(NodeId, NodeId),
    /// It is cut off from all other core directors, until it is joined again. Claimants still reach it.
    Part(NodeId),
    Join(NodeId),
    /// Its process is held: it takes nothing in and no time passes for it, until it goes on.
    Freeze(NodeId),
    Thaw(NodeId),
    Begin(NodeId),
    /// The request leaves, however long after its claim was won.
    Send(NodeId),
    Put(u64),
    Get(NodeId),
    Wait,
    /// All messages of core directors arrive and all disks sync, until nothing is under way: for openings of scenes.
    Settle,
}

impl Move {
    /// Whether it carries on what is under way, and is no fault, no new call and no passing of time.
    pub fn is_work(&self) -> bool {
        matches!(
            self,
            Move::Deliver(..) | Move::Sync(_) | Move::Start(_) | Move::Join(_) | Move::Thaw(_)
        )
    }
}
