//! The state of one stream. State of the world (`DiscoveryRequest`) and delta (`DeltaDiscoveryRequest`)
//! share the state and differ in what a response holds and in what an answer proves (xDS REST and gRPC protocol,
//! "ACK/NACK and resource type instance version").

use super::ack_numbers::{UnsentAcks, join};
use super::pending::{Acknowledged, PendingResponses, Versions};
use super::rejections::Rejections;
use super::subscription::{ClaimedVersions, Subscription};
use crate::messages::Response;
use crate::rate_limiter::RateLimiter;
use rushcourse_policy::interface::Ms;

/// ms between two reports to the policy of what is not applied.
const NOT_APPLIED_INTERVAL: Ms = 1000.0;

/// The proxy does not hold what the policy asked for under a number and those after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NotApplied {
    /// The first number that nothing proves.
    pub(crate) ack_number: u16,
    /// One more message to the proxy leaves now.
    pub(crate) is_resent: bool,
}

/// What came of a request, or of time.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    /// What an ACK proves.
    pub(crate) acknowledged: Option<Acknowledged>,
    /// What the policy is told of a proxy that is late.
    pub(crate) not_applied: Option<NotApplied>,
    /// A response to hand to the transport.
    pub(crate) response: Option<Response>,
    /// Counters that rise by one.
    pub(crate) increments: Vec<&'static str>,
    /// The text of a NACK.
    pub(crate) nack: Option<String>,
}

/// A stream of aggregated discovery.
#[derive(Debug)]
pub(crate) struct DiscoveryStream {
    pub(super) is_state_of_the_world: bool,
    pub(super) incarnation: u64,
    pub(super) subscription: Subscription,
    pub(super) claimed: ClaimedVersions,
    /// By class: the version last sent, or claimed and right.
    pub(super) sent: Versions,
    pub(super) rejections: Rejections,
    pub(super) pending: PendingResponses,
    pub(super) unsent_acks: UnsentAcks,
    /// Since when the transport holds a response that it has not accepted.
    pub(super) accepting_since: Option<Ms>,
    /// When the policy may next be told what is not applied.
    pub(super) next_not_applied_at: Ms,
    pub(super) limiter: RateLimiter,
}

impl DiscoveryStream {
    /// A stream before its first request. Its proxy gets at most `update_cap` messages within `window` ms; half of them
    /// are left for what the policy orders.
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
            claimed: ClaimedVersions::default(),
            sent: Versions::new(),
            rejections: Rejections::default(),
            pending: PendingResponses::default(),
            unsent_acks: UnsentAcks::default(),
            accepting_since: None,
            next_not_applied_at: 0.0,
            limiter: RateLimiter::new(update_cap / 2, window),
        }
    }

    /// How many responses no ACK or NACK has answered.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Since when the transport holds a response that it has not accepted.
    pub(crate) fn accepting_since(&self) -> Option<Ms> {
        self.accepting_since
    }

    /// Whether it names more resources than a stream may.
    pub(crate) fn has_too_many_names(&self) -> bool {
        self.subscription.is_too_large() || self.claimed.is_too_large()
    }

    /// A batch of the policy under this number concerns the proxy.
    pub(crate) fn add_ack_number(&mut self, now: Ms, ack_number: u16) {
        self.unsent_acks.add(now, ack_number);
    }

    /// The transport has accepted the last response.
    pub(crate) fn on_response_accepted(&mut self) {
        self.accepting_since = None;
    }

    /// The policy is told what is not applied, and for a while not again.
    pub(super) fn report_not_applied(&mut self, now: Ms, is_resent: bool) -> Option<NotApplied> {
        self.next_not_applied_at = now + NOT_APPLIED_INTERVAL;
        let first_unproved = join(self.pending.first_acks(), self.unsent_acks.range())?;
        Some(NotApplied {
            ack_number: first_unproved.first,
            is_resent,
        })
    }
}
