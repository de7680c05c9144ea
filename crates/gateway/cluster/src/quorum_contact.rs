//! Determines whether a controller's state is current: it has sessions with a majority of the voting set, and its
//! process has not stalled since a majority last confirmed contact.
//!
//! A partitioned controller detects the partition when its sessions time out. A controller whose process was suspended
//! does not: after resuming, its sessions still look open until their closure has been read. Its state may then be as
//! old as the suspension, so it is not current until a majority has responded to a probe ([`crate::contact_probes`])
//! that was sent afterwards.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// Time between two iterations of the event loop from which on the process counts as stalled. The loop runs at least
/// every 50 ms. The threshold is below the session timeout of 1,600 ms, so peers keep their sessions during a shorter
/// pause.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(600);

/// Tracks this controller's contact with a majority of the voting set.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    last_iteration_at: Option<Timestamp>,
    has_quorum_sessions: bool,
    /// When the last stall was detected, or `None` if a majority has responded to a later probe.
    stalled_at: Option<Timestamp>,
}

impl QuorumContact {
    /// Records the start of an event loop iteration. Must be called before pending events are handled. Returns `true`
    /// if the process stalled since the previous iteration; the caller must then start a new probe.
    pub fn record_iteration(&mut self, now: Timestamp) -> bool {
        let last_iteration_at = self.last_iteration_at.replace(now);
        let has_stalled = last_iteration_at.is_some_and(|last| now >= last + STALL_THRESHOLD);
        if has_stalled {
            self.stalled_at = Some(now);
        }
        has_stalled
    }

    /// Records whether this controller and the peers with open sessions form a majority of the voting set.
    pub fn record_quorum_sessions(&mut self, has_quorum_sessions: bool) {
        self.has_quorum_sessions = has_quorum_sessions;
    }

    /// Records that a majority responded to a probe sent at `probed_at`. Ignored if the probe was sent before the last
    /// stall.
    pub fn confirm(&mut self, probed_at: Timestamp) {
        if self
            .stalled_at
            .is_some_and(|stalled_at| probed_at >= stalled_at)
        {
            self.stalled_at = None;
        }
    }

    /// Whether the process has stalled and no majority has responded to a later probe yet.
    pub fn needs_confirmation(&self) -> bool {
        self.stalled_at.is_some()
    }

    /// Whether this controller has quorum contact, so that other nodes may rely on its state.
    pub fn is_current(&self) -> bool {
        self.has_quorum_sessions && !self.needs_confirmation()
    }
}
