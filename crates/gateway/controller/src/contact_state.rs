//! What is known of this controller's contact with a majority.

use crate::probes::PendingProbes;
use rushcourse_cluster::QuorumContact;
use rushcourse_types::Timestamp;

/// The contact with a majority, and the probes that confirm it.
pub(crate) struct ContactState {
    quorum: QuorumContact,
    /// What the cluster was told last.
    reported_contact: bool,
    /// All of the system starts for the first time: no voting set can be known yet.
    is_first_start: bool,
    pub(crate) probes: PendingProbes,
}

impl ContactState {
    /// The state of a process that has no session yet.
    pub(crate) fn new(is_first_start: bool) -> ContactState {
        ContactState {
            quorum: QuorumContact::default(),
            reported_contact: false,
            is_first_start,
            probes: PendingProbes::default(),
        }
    }

    /// A turn of the event loop, before anything that waited is handled. True if the process stood still since the last
    /// one: a majority has to be asked anew.
    pub(crate) fn record_iteration(&mut self, now: Timestamp) -> bool {
        self.quorum.record_iteration(now)
    }

    /// Whether sessions with a majority of the voting set are open. True if that has changed.
    pub(crate) fn record_contact(&mut self, has_contact: bool) -> bool {
        self.quorum.record_quorum_sessions(has_contact);
        let has_changed = has_contact != self.reported_contact;
        self.reported_contact = has_contact;
        has_changed
    }

    /// A majority has answered a question of that time.
    pub(crate) fn confirm(&mut self, probed_at: Timestamp) {
        self.quorum.confirm(probed_at);
    }

    /// Whether a majority has yet to answer a question since the last stall.
    pub(crate) fn needs_confirmation(&self) -> bool {
        self.quorum.needs_confirmation()
    }

    /// Whether what this controller says now may count as current.
    pub(crate) fn is_current(&self) -> bool {
        self.quorum.is_current()
    }

    /// Whether all of the system starts for the first time.
    pub(crate) fn is_first_start(&self) -> bool {
        self.is_first_start
    }
}
