//! From when on the silence of a host counts against it.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// How long silence does not count after contact with a majority came back, or after a stall: the hosts that others
/// have heard come right after their sessions (ours).
const GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Whether this controller hears what a majority hears. Otherwise silence of a host proves nothing: it may call others.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetection {
    has_quorum_contact: bool,
    counts_from: Timestamp,
}

impl FailureDetection {
    pub(crate) fn has_quorum_contact(&self) -> bool {
        self.has_quorum_contact
    }

    pub(crate) fn set_quorum_contact(&mut self, now: Timestamp, has_quorum_contact: bool) {
        if has_quorum_contact && !self.has_quorum_contact {
            self.defer(now);
        }
        self.has_quorum_contact = has_quorum_contact;
    }

    /// Lets silence not count for the grace period.
    pub(crate) fn defer(&mut self, now: Timestamp) {
        self.counts_from = now + GRACE_PERIOD;
    }

    /// Whether silence counts.
    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.has_quorum_contact && now >= self.counts_from
    }
}
