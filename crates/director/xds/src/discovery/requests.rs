//! Handling of requests: subscriptions, ACKs and NACKs.

use super::pending::Acknowledged;
use super::stream::{DiscoveryOutcome, DiscoveryStream};
use crate::messages::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::resources::ResourceCache;
use rushcourse_policy::interface::Ms;

/// Longest NACK message that is kept for the log, in characters.
const MAX_ERROR_DETAIL: usize = 200;

impl DiscoveryStream {
    /// Handles a request on a state-of-the-world stream: the first one, an ACK, a NACK, or a changed subscription.
    pub(crate) fn on_request(&mut self, now: Ms, request: &DiscoveryRequest) -> DiscoveryOutcome {
        let mut outcome = DiscoveryOutcome::default();
        let is_first = self.pending.last_nonce() == 0 && !self.subscription.is_unanswered();
        let nonce = &request.response_nonce;
        if !nonce.is_empty() {
            self.on_ack_or_nack(now, nonce, request.error_detail.as_deref(), &mut outcome);
            // The protocol has the server ignore the names of a request with a stale nonce.
            if *nonce != self.pending.last_nonce().to_string() {
                outcome.increments.push("nonces_stale");
                return outcome;
            }
        } else if is_first && !request.version_info.is_empty() {
            self.initial_versions.set_combined(&request.version_info);
        }
        self.subscription.replace(&request.resource_names, is_first);
        outcome
    }

    /// Handles a request on a delta stream: the first one, an ACK, a NACK, or a changed subscription.
    pub(crate) fn on_delta_request(
        &mut self,
        now: Ms,
        request: &DeltaDiscoveryRequest,
        cache: &ResourceCache,
    ) -> DiscoveryOutcome {
        let mut outcome = DiscoveryOutcome::default();
        let nonce = &request.response_nonce;
        if !nonce.is_empty() {
            self.on_ack_or_nack(now, nonce, request.error_detail.as_deref(), &mut outcome);
        }
        if self.pending.last_nonce() == 0 {
            self.initial_versions
                .add(&request.initial_resource_versions);
        }
        let change = self.subscription.change(request, cache);
        for class in change.resubscribed {
            self.sent_versions.remove(&class);
        }
        for _ in 0..change.unknown_count {
            outcome.increments.push("names_unknown");
        }
        let classes = self.subscription.classes(cache);
        self.sent_versions
            .retain(|class, _| classes.contains(class));
        self.rejections.retain(&classes);
        outcome
    }

    fn on_ack_or_nack(
        &mut self,
        now: Ms,
        nonce: &str,
        error: Option<&str>,
        outcome: &mut DiscoveryOutcome,
    ) {
        let Some(position) = self.pending.position(nonce) else {
            return outcome.increments.push("nonces_unknown");
        };
        match error {
            Some(error) => {
                outcome.increments.push("tables_refused");
                outcome.nack = Some(error.chars().take(MAX_ERROR_DETAIL).collect());
                self.on_nack(now, position);
                outcome.not_applied = self.report_not_applied(now, false);
            }
            None => {
                outcome.increments.push("tables_acknowledged");
                outcome.acknowledged = self.on_ack(now, position);
            }
        }
    }

    fn on_nack(&mut self, now: Ms, position: usize) {
        let rejected = if self.is_state_of_the_world {
            self.pending.reject_through(position)
        } else {
            self.pending.reject(position)
        };
        for (class, version) in rejected.versions {
            // If a newer version has been sent since, the answer to that one decides.
            if self.sent_versions.get(&class) == Some(&version) {
                self.rejections.add(class, version);
            }
        }
        if let Some(acks) = rejected.unacknowledged {
            self.unsent_acks.restore(now, acks);
        }
        self.rejections.back_off(now);
    }

    fn on_ack(&mut self, now: Ms, position: usize) -> Option<Acknowledged> {
        if self.is_state_of_the_world {
            self.rejections.clear();
            return self.pending.acknowledge_through(now, position);
        }
        for class in self.pending.classes(position) {
            self.rejections.remove(class);
        }
        self.rejections.reset_delay_if_empty();
        self.pending.acknowledge(now, position)
    }
}
