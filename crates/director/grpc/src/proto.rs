//! Messages and services that the build script generates from `proto/`, a subset of the published xDS and ORCA APIs.

// The lints don't apply to generated code.
#![allow(
    clippy::all,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    missing_docs
)]

/// Encoded `FileDescriptorSet` of all files in `proto/`, served by gRPC reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/messages.bin"));

include!(concat!(env!("OUT_DIR"), "/messages.rs"));
