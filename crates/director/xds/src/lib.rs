//! Proxies and hosts that are reached over gRPC, as pure state: which stream is which proxy's, what it asked for,
//! what it was sent, what it has answered, and what its load reports are worth. Nothing here does I/O, reads a
//! clock or knows a wire format; `rushcourse-grpc` turns the published messages into these types and back.
//!
//! `Streams::step` takes what was read; events for the module, effects, notes and counts wait in its outbox.

mod ads;
mod boundary;
mod counts;
mod grants;
mod loads;
mod members;
mod nodes;
mod outbox;
mod resources;
mod retry;
mod rules;
mod streams;
mod weights;

pub use boundary::{
    Ask, Assignment, ClusterLoad, Code, DeltaAsk, Effect, Endpoint, HostLoad, Input, LoadStats,
    Locality, Node, NodeReport, Resource, Response, Said, Service, Stream, TABLE_TYPE,
};
pub use counts::COUNTS;
pub use outbox::{Grade, Note, Outbox};
pub use rules::{Identities, Limits, Rules};
pub use streams::Streams;
pub use weights::{SCALE, drop_ppm, scaled};
