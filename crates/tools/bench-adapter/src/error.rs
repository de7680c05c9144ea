//! Why the adapter stops.

use serde_json::Value;
use std::fmt;
use std::io;

/// What ends the adapter before its input does.
#[derive(Debug)]
pub enum AdapterError {
    /// A line of the input could not be read.
    Input {
        /// Lines that were read before it.
        batches_read: u64,
        /// What the system said.
        source: io::Error,
    },
    /// A line is no batch.
    Batch {
        /// The number of the line, from 1.
        batch: u64,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// An event of a batch does not name its kind or its instance.
    EventHead {
        /// The batch's own number.
        batch: u64,
        /// The event.
        event: Value,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A field of an event is missing or has a wrong type.
    EventFields {
        /// The batch's own number.
        batch: u64,
        /// The kind of the event.
        kind: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A reply could not be made into a line.
    Encode(serde_json::Error),
    /// A reply could not be written.
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
