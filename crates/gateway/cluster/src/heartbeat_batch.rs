//! Batches heartbeats for the other controllers. A batch contains only heartbeats that changed nothing but the sequence
//! number of a host; other changes are broadcast immediately.

use rushcourse_messages::{Heartbeat, Message};
use rushcourse_types::{CallSequence, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// The newest sequence number of each host that sent a heartbeat to this controller since the last batch.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatBatch {
    sequences: BTreeMap<Arc<str>, CallSequence>,
    sent_at: Timestamp,
}

impl HeartbeatBatch {
    pub(crate) fn add(&mut self, host: Arc<str>, sequence: CallSequence) {
        self.sequences.insert(host, sequence);
    }

    /// Takes the batch as a message for the other controllers, or returns `None` if it is not due or empty.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Option<Message> {
        if now < self.sent_at + BATCH_INTERVAL || self.sequences.is_empty() {
            return None;
        }
        self.sent_at = now;
        let heartbeats = std::mem::take(&mut self.sequences)
            .into_iter()
            .map(|(host, sequence)| Heartbeat { host, sequence });
        Some(Message::Heartbeats(heartbeats.collect()))
    }
}
