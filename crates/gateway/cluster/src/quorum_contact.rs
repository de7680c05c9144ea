//! Whether a controller may act on what it knows: it is in session with a majority of the voting set, and its own
//! process has not stalled meanwhile.
//!
//! Sessions end after a time-out that is measured by a steady clock, so a controller that is partitioned learns it from
//! them. A process that was frozen does not: when it runs again, its sessions look alive until their ends are read. What
//! it knows is then as old as the freeze, so nothing counts until a majority has answered a probe
//! ([`crate::contact_probes`]) that was sent after the freeze.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// The time between two turns of a controller's loop from which on it counts as stalled. The loop turns every 50 ms;
/// sessions time out after 1,600 ms, so nobody has taken a controller that stood still for less than this for dead.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(600);

/// A controller's view of its own contact with a majority of the voting set.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    last_turn_at: Option<Timestamp>,
    has_quorum_sessions: bool,
    /// When the process was found to have stalled, until a majority has answered a later probe.
    stalled_at: Option<Timestamp>,
}

impl QuorumContact {
    /// Records a turn of the loop, before anything that waited is handled. True if the process stalled since the last
    /// one: a majority has to be probed anew.
    pub fn record_iteration(&mut self, now: Timestamp) -> bool {
        let last_turn_at = self.last_turn_at.replace(now);
        let has_stalled = last_turn_at.is_some_and(|last| now >= last + STALL_THRESHOLD);
        if has_stalled {
            self.stalled_at = Some(now);
        }
        has_stalled
    }

    /// Records whether sessions with a majority of the voting set stand, this controller included.
    pub fn record_quorum_sessions(&mut self, has_quorum_sessions: bool) {
        self.has_quorum_sessions = has_quorum_sessions;
    }

    /// Records that a majority has answered a probe that was sent at `probed_at`. One that was sent before the last
    /// stall proves nothing.
    pub fn confirm(&mut self, probed_at: Timestamp) {
        if self
            .stalled_at
            .is_some_and(|stalled_at| probed_at >= stalled_at)
        {
            self.stalled_at = None;
        }
    }

    /// Whether a majority has yet to answer a probe that was sent after the last stall.
    pub fn needs_confirmation(&self) -> bool {
        self.stalled_at.is_some()
    }

    /// Whether what this controller says now may count as current.
    pub fn is_current(&self) -> bool {
        self.has_quorum_sessions && !self.needs_confirmation()
    }
}
