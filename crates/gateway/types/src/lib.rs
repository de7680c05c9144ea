//! Types shared by the gateway crates. Most are newtypes, so that the compiler rejects an epoch where a version is
//! expected.
//!
//! * [`identity`]: node ids, process incarnations and claim ids.
//! * [`sequence`]: epochs, versions and other monotonically increasing numbers.
//! * [`time`]: monotonic timestamps, wall-clock time and durations in messages.
//! * [`operation_keys`]: the digests by which an operation is claimed.
//! * [`preference`]: the order in which a node chooses among others.
//! * [`hash`]: hash functions whose results are stable across processes and releases.
//!
//! The newtypes that derive `Serialize` are encoded as the number they wrap, both on the wire and in the state file.

pub mod hash;
pub mod identity;
pub mod operation_keys;
pub mod preference;
pub mod sequence;
pub mod time;

pub use identity::{ClaimId, Incarnation, KeyDigest, NodeId, ResponseStoreId};
pub use operation_keys::{KeyAlias, OperationKeys};
pub use preference::Preference;
pub use sequence::{
    CallSequence, ConfigurationVersion, DutySequence, Epoch, Fence, Generation, ReplicaSequence,
    RequestToken, SessionId, Ticket, WindowNumber,
};
pub use time::{Millis, Timestamp, WallTime};
