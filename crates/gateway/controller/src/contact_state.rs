//! What is known of this controller's contact with a majority.

use crate::rounds::PendingRounds;
use rushcourse_cluster::Contact;
use rushcourse_types::Timestamp;

/// The contact with a majority, and the rounds that prove it.
pub(crate) struct ContactState {
    quorum: Contact,
    /// What the cluster was told last.
    reported_contact: bool,
    /// All of the system starts for the first time: no voting set can be known yet.
    is_first_start: bool,
    pub(crate) rounds: PendingRounds,
}

impl ContactState {
    /// The state of a process that has no session yet.
    pub(crate) fn new(is_first_start: bool) -> ContactState {
        ContactState {
            quorum: Contact::default(),
            reported_contact: false,
            is_first_start,
            rounds: PendingRounds::default(),
        }
    }

    /// A turn of the event loop, before anything that waited is handled. True if the process stood still since the last
    /// one: a majority has to be asked anew.
    pub(crate) fn record_turn(&mut self, now: Timestamp) -> bool {
        self.quorum.turn(now.as_millis())
    }

    /// Whether sessions with a majority of the voting set are open. True if that has changed.
    pub(crate) fn record_contact(&mut self, has_contact: bool) -> bool {
        self.quorum.majority(has_contact);
        let has_changed = has_contact != self.reported_contact;
        self.reported_contact = has_contact;
        has_changed
    }

    /// A majority has answered a question of that time.
    pub(crate) fn record_proof(&mut self, asked_at: Timestamp) {
        self.quorum.proven(asked_at.as_millis());
    }

    /// Whether a majority has yet to answer a question since the last stall.
    pub(crate) fn needs_proof(&self) -> bool {
        self.quorum.needs_proof()
    }

    /// Whether what this controller says now may count as current.
    pub(crate) fn is_recent(&self) -> bool {
        self.quorum.is_recent()
    }

    /// Whether all of the system starts for the first time.
    pub(crate) fn is_first_start(&self) -> bool {
        self.is_first_start
    }
}
