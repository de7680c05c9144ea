//! The controller's record of its quorum contact.

use crate::probes::PendingProbes;
use rushcourse_cluster::QuorumContact;
use rushcourse_types::Timestamp;

/// Quorum contact of this controller, and the pending probes that confirm it.
pub(crate) struct ContactState {
    quorum: QuorumContact,
    /// The quorum contact last reported to the cluster state machine.
    reported_contact: bool,
    /// Whether the settings declare the first start of the whole system, when no voting set exists yet.
    is_first_start: bool,
    pub(crate) probes: PendingProbes,
}

impl ContactState {
    /// Creates the state of a process without open sessions, which has no quorum contact.
    pub(crate) fn new(is_first_start: bool) -> ContactState {
        ContactState {
            quorum: QuorumContact::default(),
            reported_contact: false,
            is_first_start,
            probes: PendingProbes::default(),
        }
    }

    /// Records an iteration of the event loop, before any event is handled. Returns true if the process stalled since
    /// the last iteration, in which case quorum contact has to be confirmed by a probe.
    pub(crate) fn record_iteration(&mut self, now: Timestamp) -> bool {
        self.quorum.record_iteration(now)
    }

    /// Records whether sessions with a majority of the voting set are open. Returns true if that has changed.
    pub(crate) fn record_contact(&mut self, has_contact: bool) -> bool {
        self.quorum.record_quorum_sessions(has_contact);
        let has_changed = has_contact != self.reported_contact;
        self.reported_contact = has_contact;
        has_changed
    }

    /// Records that a majority responded to a probe sent at `probed_at`. Probes sent before the last stall are ignored.
    pub(crate) fn confirm(&mut self, probed_at: Timestamp) {
        self.quorum.confirm(probed_at);
    }

    /// Whether no probe sent after the last stall has been confirmed yet.
    pub(crate) fn needs_confirmation(&self) -> bool {
        self.quorum.needs_confirmation()
    }

    /// Whether this controller has quorum contact that needs no confirmation, so that its state counts as current.
    pub(crate) fn is_current(&self) -> bool {
        self.quorum.is_current()
    }

    /// Whether the settings declare the first start of the whole system.
    pub(crate) fn is_first_start(&self) -> bool {
        self.is_first_start
    }
}
