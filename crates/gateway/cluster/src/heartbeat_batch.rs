//! Heartbeats that change nothing are sent to the other controllers in batches.

use rushcourse_messages::{Heartbeat, Message};
use rushcourse_types::{CallSequence, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Heartbeats that this controller received since the last batch: the newest of each host.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatBatch {
    sequences: BTreeMap<Arc<str>, CallSequence>,
    sent_at: Timestamp,
}

impl HeartbeatBatch {
    pub(crate) fn add(&mut self, host: Arc<str>, sequence: CallSequence) {
        self.sequences.insert(host, sequence);
    }

    /// The batch for the other controllers, if it is due and not empty.
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
