//! The published messages, as far as they are used: made by the build from `proto/`.

#![allow(clippy::all, missing_docs)]

/// Descriptors of all of them, for reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/messages.bin"));

include!(concat!(env!("OUT_DIR"), "/messages.rs"));
