//! The published messages, as far as they are used: made by the build from `proto/`.

// Generated code: its names, comments and lengths are those of the published files and of the generator.
#![allow(
    clippy::all,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    missing_docs
)]

/// Descriptors of all of them, for reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/messages.bin"));

include!(concat!(env!("OUT_DIR"), "/messages.rs"));
