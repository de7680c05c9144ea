//! What may happen next in a world, each a move of its own.

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// The oldest message from one to the other arrives.
    Deliver(u32, u32),
    /// The oldest batch of a disk is synced, and the program is told.
    Sync(u32),
    /// Ends with what was not synced lost; ends with all written; ends and comes back with an empty disk.
    Power(u32),
    Kill(u32),
    Wipe(u32),
    Start(u32),
    /// It ends with what was not synced lost, and never comes back.
    Lose(u32),
    /// It ends, and comes back with the disk that it had at the start of this world.
    OldDisk(u32),
    /// It is told to end, and goes on until a spare has its place.
    Leave(u32),
    /// The session of two core directors breaks and stands anew: what was on the way is lost.
    Cut(u32, u32),
    /// It is cut off from all other core directors, until it is joined again. Claimants still reach it.
    Part(u32),
    Join(u32),
    /// Its process is held: it takes nothing in and no time passes for it, until it goes on.
    Freeze(u32),
    Thaw(u32),
    Begin(u32),
    /// The request leaves, however long after its claim was won.
    Send(u32),
    Put(u64),
    Get(u32),
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
