//! The protocol between the nodes of the gateway (controllers and gateways): typed messages in frames, and who may send
//! which. Nothing here decides or does I/O.
//!
//! * [`message`]: every message, and the handshake that opens a session.
//! * [`ballots`], [`voting_set`], [`snapshot`]: what controllers agree on, and how a replica that lags is brought up.
//! * [`hosts`]: what controllers send to each other and to gateways of hosts.
//! * [`operations`]: claims of operation keys and what became of the operations.
//! * [`frames`]: messages as bytes.
//! * [`authorization`]: which node may send which message.
//!
//! Messages are written by postcard, which goes by position: the order of fields and variants is the wire format, and
//! their names are free. `tests/fixtures.rs` holds frames of an earlier build against this one.

pub mod authorization;
pub mod ballots;
pub mod frames;
pub mod hosts;
pub mod message;
pub mod operations;
pub mod snapshot;
pub mod voting_set;

pub use authorization::{CertifiedIdentity, PeerIdentity, PeerRejection};
pub use ballots::{AcceptorRecord, Ballot, DurableVote, Proposal, Slot, SlotRecord};
pub use frames::{FrameError, MAX_FRAME_BYTES, decode, encode, frame_length};
pub use hosts::{EndpointWeight, Heartbeat, HostRecord, HostState};
pub use message::{Handshake, Message, PROTOCOL_VERSION, Role};
pub use operations::{ClaimVerdict, OperationState, StoredResponse};
pub use snapshot::{ClaimRecord, RecoveryPoint, SnapshotChunk, SnapshotCursor, SnapshotTrailer};
pub use voting_set::VotingSet;

pub use rushcourse_types::{ClaimId, Incarnation, NodeId};
