//! A toy relay and a toy host over gRPC, to try a director with: no load, no simulation. The messages are those of a
//! library that others wrote from the published protocol.

pub mod around;
pub mod host;
pub mod measure;
pub mod raw;
pub mod relay;
pub mod story;

/// A word for an error, with its cause where it has one.
pub fn told(e: &dyn std::error::Error) -> String {
    e.source()
        .map_or_else(|| e.to_string(), |source| format!("{e}: {source}"))
}
