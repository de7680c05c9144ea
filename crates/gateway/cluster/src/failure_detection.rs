//! Decides whether missing heartbeats may be interpreted as the failure of a host.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// How long detection stays suspended after quorum contact is regained or after a stall, so that other controllers can
/// send the heartbeats that they received in the meantime.
const GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Enables failure detection only while this controller has quorum contact. Without it, a host may be sending its
/// heartbeats to controllers that this one can't reach.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetection {
    has_quorum_contact: bool,
    suspended_until: Timestamp,
}

impl FailureDetection {
    pub(crate) fn has_quorum_contact(&self) -> bool {
        self.has_quorum_contact
    }

    pub(crate) fn set_quorum_contact(&mut self, now: Timestamp, has_quorum_contact: bool) {
        if has_quorum_contact && !self.has_quorum_contact {
            self.suspend(now);
        }
        self.has_quorum_contact = has_quorum_contact;
    }

    /// Suspends failure detection for [`GRACE_PERIOD`].
    pub(crate) fn suspend(&mut self, now: Timestamp) {
        self.suspended_until = now + GRACE_PERIOD;
    }

    /// Whether hosts without recent heartbeats may be marked as timed out.
    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.has_quorum_contact && now >= self.suspended_until
    }
}
