//! Whether a host that sends no heartbeats may be taken for dead.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// How long no host times out after contact with a majority is back, or after a stall: other controllers send the
/// hosts that they have seen right after their sessions are open (ours).
const GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Whether this controller sees what a majority sees. Otherwise missing heartbeats prove nothing: the host may call others.
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

    /// Lets no host time out for the grace period.
    pub(crate) fn defer(&mut self, now: Timestamp) {
        self.counts_from = now + GRACE_PERIOD;
    }

    /// Whether hosts may time out.
    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.has_quorum_contact && now >= self.counts_from
    }
}
