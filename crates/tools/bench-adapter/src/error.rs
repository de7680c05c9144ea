//! Errors of the adapter.

use serde_json::Value;
use std::fmt;
use std::io;

/// Error that ends the adapter before the end of its input.
#[derive(Debug)]
pub enum AdapterError {
    /// Reading a line of the input failed.
    Input {
        /// Number of lines that were read before.
        batches_read: u64,
        source: io::Error,
    },
    /// A line is not a valid batch.
    Batch {
        /// Number of the line, counted from 1.
        batch: u64,
        source: serde_json::Error,
    },
    /// The kind or the instance of an event is missing or has a wrong type.
    EventHead {
        /// Number from the batch itself.
        batch: u64,
        event: Value,
        source: serde_json::Error,
    },
    /// A field specific to the event's kind is missing or has a wrong type.
    EventFields {
        /// Number from the batch itself.
        batch: u64,
        kind: String,
        source: serde_json::Error,
    },
    /// Serialization of a reply failed.
    Encode(serde_json::Error),
    /// Writing a reply to standard output failed.
    Output(io::Error),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input {
                batches_read,
                source,
            } => write!(f, "batch {batches_read}: {source}"),
            AdapterError::Batch { batch, source } => write!(f, "batch {batch}: {source}"),
            AdapterError::EventHead {
                batch,
                event,
                source,
            } => write!(f, "batch {batch}: event {event}: {source}"),
            AdapterError::EventFields {
                batch,
                kind,
                source,
            } => write!(f, "batch {batch}: event {kind}: {source}"),
            AdapterError::Encode(source) => source.fmt(f),
            AdapterError::Output(source) => source.fmt(f),
        }
    }
}

impl std::error::Error for AdapterError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(match self {
            AdapterError::Input { source, .. } | AdapterError::Output(source) => source,
            AdapterError::Batch { source, .. }
            | AdapterError::EventHead { source, .. }
            | AdapterError::EventFields { source, .. }
            | AdapterError::Encode(source) => source,
        })
    }
}
