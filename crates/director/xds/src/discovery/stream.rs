//! State of one discovery stream. State-of-the-world and delta streams share it, and differ in the content of a
//! response and in what an ACK confirms (xDS REST and gRPC protocol, "ACK/NACK and resource type instance version").

use super::ack_numbers::{UnsentAcks, join};
use super::pending::{Acknowledged, PendingResponses, Versions};
use super::rejections::Rejections;
use super::subscription::{InitialVersions, Subscription};
use crate::messages::Response;
use crate::rate_limiter::RateLimiter;
use rushcourse_policy::interface::Ms;

/// Minimum interval between two `NotApplied` reports to the policy, in ms.
const NOT_APPLIED_INTERVAL: Ms = 1000.0;

/// Reports to the policy that a proxy has not applied the batches from an ack number on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NotApplied {
    /// The first number that is not confirmed.
    pub(crate) ack_number: u16,
    /// Whether a message to the proxy is sent now, which counts against its message limit.
    pub(crate) is_resent: bool,
}

/// Result of handling a request or of `advance`.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct DiscoveryOutcome {
    /// Ack numbers that the proxy has confirmed.
    pub(crate) acknowledged: Option<Acknowledged>,
    /// Ack numbers that the proxy has failed to confirm in time.
    pub(crate) not_applied: Option<NotApplied>,
    /// Response to hand to the transport.
    pub(crate) response: Option<Response>,
    /// Counters to increment by one.
    pub(crate) increments: Vec<&'static str>,
    /// Error message of a NACK, truncated.
    pub(crate) nack: Option<String>,
}

/// An aggregated discovery stream.
#[derive(Debug)]
pub(crate) struct DiscoveryStream {
    pub(super) is_state_of_the_world: bool,
    pub(super) incarnation: u64,
    pub(super) subscription: Subscription,
    pub(super) initial_versions: InitialVersions,
    /// By class: the last version sent, or a current version that the proxy held from an earlier stream.
    pub(super) sent_versions: Versions,
    pub(super) rejections: Rejections,
    pub(super) pending: PendingResponses,
    pub(super) unsent_acks: UnsentAcks,
    /// When the response that the transport has not accepted yet was sent; `None` if there is none.
    pub(super) accepting_since: Option<Ms>,
    /// Earliest time of the next `NotApplied` report.
    pub(super) next_not_applied_at: Ms,
    pub(super) limiter: RateLimiter,
}

impl DiscoveryStream {
    /// Creates the state of a stream before its first request. The proxy's limit is `update_cap` messages within
    /// `window` ms; half of them are reserved for the policy's actions.
    pub(crate) fn new(
        is_state_of_the_world: bool,
        incarnation: u64,
        update_cap: usize,
        window: Ms,
    ) -> DiscoveryStream {
        DiscoveryStream {
            is_state_of_the_world,
            incarnation,
            subscription: Subscription::default(),
            initial_versions: InitialVersions::default(),
            sent_versions: Versions::new(),
            rejections: Rejections::default(),
            pending: PendingResponses::default(),
            unsent_acks: UnsentAcks::default(),
            accepting_since: None,
            next_not_applied_at: 0.0,
            limiter: RateLimiter::new(update_cap / 2, window),
        }
    }

    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn accepting_since(&self) -> Option<Ms> {
        self.accepting_since
    }

    /// Whether the stream exceeds the limit on resource names.
    pub(crate) fn has_too_many_names(&self) -> bool {
        self.subscription.is_too_large() || self.initial_versions.is_too_large()
    }

    /// Records the ack number of a batch of actions that concerns the proxy.
    pub(crate) fn add_ack_number(&mut self, now: Ms, ack_number: u16) {
        self.unsent_acks.add(now, ack_number);
    }

    pub(crate) fn on_response_accepted(&mut self) {
        self.accepting_since = None;
    }

    /// Builds the report of unconfirmed ack numbers, if there are any, and restarts `NOT_APPLIED_INTERVAL`.
    pub(super) fn report_not_applied(&mut self, now: Ms, is_resent: bool) -> Option<NotApplied> {
        self.next_not_applied_at = now + NOT_APPLIED_INTERVAL;
        let first_unacknowledged = join(self.pending.oldest_acks(), self.unsent_acks.range())?;
        Some(NotApplied {
            ack_number: first_unacknowledged.first,
            is_resent,
        })
    }
}
