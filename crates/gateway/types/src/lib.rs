//! Values that the gateway's packages share. Each is a type of its own, so that an epoch is not taken for a version or
//! a session for a ticket.
//!
//! * [`identity`]: nodes, incarnations of their processes, claims of operation keys.
//! * [`sequence`]: epochs, versions and other numbers that only rise.
//! * [`time`]: the steady clock, the time of day, and spans as they go over the wire.
//! * [`hash`]: hashes that are the same in every process and release.
//!
//! Types that derive `Serialize` are written as the number that they hold: the wire and the state file know no
//! newtypes.

pub mod hash;
pub mod identity;
pub mod sequence;
pub mod time;

pub use identity::{ClaimId, Incarnation, KeyDigest, NodeId};
pub use sequence::{
    CallSequence, ConfigurationVersion, Epoch, Generation, RequestToken, SessionId, Ticket,
};
pub use time::{Millis, Timestamp, WallTime};
