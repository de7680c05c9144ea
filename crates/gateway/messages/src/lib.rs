//! The protocol between the nodes of the gateway (controllers and gateways): message types, their encoding, and the
//! rules for which role may send which message. The crate holds no protocol logic and does no I/O.
//!
//! * [`message`]: all messages, including the handshake that opens a session.
//! * [`ballots`], [`voting_set`], [`snapshot`]: the data of consensus and of state transfer to lagging replicas.
//! * [`duty`]: the replicated state of the duty to report usage to the platform.
//! * [`hosts`]: host records, heartbeats and endpoint table entries.
//! * [`operations`]: verdicts on claims of operation keys, and the states of operations.
//! * [`stored_response`]: responses of completed operations, whole and in parts.
//! * [`usage`]: counts of executed requests per tenant.
//! * [`frames`]: encoding and decoding of messages.
//! * [`authorization`]: checks of handshakes and of the sender of each message.
//!
//! Messages are encoded with postcard, which encodes by position: the order of fields and variants is part of the wire
//! format, their names are not. `tests/fixtures.rs` compares the encoding with frames recorded from earlier builds.

pub mod authorization;
pub mod ballots;
pub mod duty;
pub mod frames;
pub mod hosts;
pub mod message;
pub mod operations;
pub mod snapshot;
pub mod stored_response;
pub mod usage;
pub mod voting_set;

pub use authorization::{CertifiedIdentity, PeerIdentity, PeerRejection};
pub use ballots::{AcceptorRecord, Ballot, DurableVote, Proposal, Slot, SlotRecord};
pub use duty::{DutyState, InvalidReport, MAX_UNDELIVERED_REPORTS, UsageReport};
pub use frames::{FrameError, MAX_FRAME_BYTES, decode, encode, frame_length};
pub use hosts::{EndpointWeight, Heartbeat, HostRecord, HostState};
pub use message::{Handshake, Message, PROTOCOL_VERSION, Role};
pub use operations::{ClaimVerdict, KeyHolder, OperationState};
pub use snapshot::{ClaimRecord, RecoveryPoint, SnapshotChunk, SnapshotCursor, SnapshotTrailer};
pub use stored_response::{
    InvalidStoredResponse, MAX_PART_BYTES, PartialResponse, ResponseHead, ResponsePart, ShardPart,
    StoredResponse,
};
pub use usage::{TenantCount, UsageCounts};
pub use voting_set::VotingSet;

pub use rushcourse_types::{ClaimId, Incarnation, NodeId};
