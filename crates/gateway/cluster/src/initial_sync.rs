//! Whether a controller that has started knows all hosts. Until it does, no gateway may take its tables from it.

use crate::host_registry::heartbeat_span;
use rushcourse_types::Timestamp;
use std::time::Duration;

/// Heartbeat intervals after which a controller that gets no hosts from others knows all of them.
const LONE_START_HEARTBEATS: f64 = 1.6;

/// The initial synchronization. It is done once a synchronized controller has sent all its hosts, if the disk held some
/// hosts, or after all hosts had time to send a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct InitialSync {
    lone_start_delay: Duration,
    started_at: Option<Timestamp>,
    is_done: bool,
}

impl InitialSync {
    pub(crate) fn new(heartbeat_interval: Duration) -> InitialSync {
        InitialSync {
            lone_start_delay: heartbeat_span(heartbeat_interval, LONE_START_HEARTBEATS),
            started_at: None,
            is_done: false,
        }
    }

    /// Counts the time from the first step on.
    pub(crate) fn start(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
    }

    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    pub(crate) fn set_done(&mut self, is_done: bool) {
        self.is_done = is_done;
    }

    /// Ends the wait for heartbeats. True if it ended now.
    pub(crate) fn end_wait(&mut self, now: Timestamp) -> bool {
        let had_time = self
            .started_at
            .is_some_and(|started_at| now >= started_at + self.lone_start_delay);
        let ends_now = had_time && !self.is_done;
        self.is_done |= ends_now;
        ends_now
    }
}
