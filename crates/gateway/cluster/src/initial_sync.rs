//! Tracks whether a controller knows all hosts after its start. Until then it must not become the primary of any
//! gateway.

use crate::host_registry::heartbeat_span;
use rushcourse_types::Timestamp;
use std::time::Duration;

/// Heartbeat intervals after which a controller without synchronized peers has received a heartbeat from every host.
const STANDALONE_SYNC_HEARTBEATS: f64 = 1.6;

/// The initial synchronization. It is done when hosts were restored from the state file, when a synchronized peer has
/// sent all its hosts, or when every host had enough time to send a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct InitialSync {
    standalone_sync_delay: Duration,
    started_at: Option<Timestamp>,
    is_done: bool,
}

impl InitialSync {
    pub(crate) fn new(heartbeat_interval: Duration) -> InitialSync {
        InitialSync {
            standalone_sync_delay: heartbeat_span(heartbeat_interval, STANDALONE_SYNC_HEARTBEATS),
            started_at: None,
            is_done: false,
        }
    }

    /// Starts the wait for heartbeats. Later calls have no effect.
    pub(crate) fn start(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
    }

    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    pub(crate) fn set_done(&mut self, is_done: bool) {
        self.is_done = is_done;
    }

    /// Completes the synchronization if the wait for heartbeats has ended. Returns `true` only for the completing call.
    pub(crate) fn end_wait(&mut self, now: Timestamp) -> bool {
        let has_waited = self
            .started_at
            .is_some_and(|started_at| now >= started_at + self.standalone_sync_delay);
        let ends_now = has_waited && !self.is_done;
        self.is_done |= ends_now;
        ends_now
    }
}
