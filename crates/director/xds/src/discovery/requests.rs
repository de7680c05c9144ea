//! Requests on a stream: subscriptions, ACKs and NACKs.

use super::pending::Acknowledged;
use super::stream::{DiscoveryStream, Outcome};
use crate::messages::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::resources::ResourceCache;
use rushcourse_policy::interface::Ms;

/// Characters of a NACK's text that are kept.
const MAX_ERROR_DETAIL: usize = 200;

impl DiscoveryStream {
    /// State of the world: the first request, an ACK or NACK, or a changed subscription.
    pub(crate) fn on_request(&mut self, now: Ms, request: &DiscoveryRequest) -> Outcome {
        let mut outcome = Outcome::default();
        let is_first = self.pending.last_nonce() == 0 && !self.subscription.is_unanswered();
        let nonce = &request.response_nonce;
        if !nonce.is_empty() {
            self.on_answer(now, nonce, request.error_detail.as_deref(), &mut outcome);
            // Under a nonce that is not the newest, the names are of before: the protocol has them ignored.
            if *nonce != self.pending.last_nonce().to_string() {
                outcome.increments.push("nonces_stale");
                return outcome;
            }
        } else if is_first && !request.version_info.is_empty() {
            self.claimed.set_combined(&request.version_info);
        }
        self.subscription.replace(&request.resource_names, is_first);
        outcome
    }

    /// Delta: the first request, an ACK or NACK, or a change of the subscription.
    pub(crate) fn on_delta_request(
        &mut self,
        now: Ms,
        request: &DeltaDiscoveryRequest,
        cache: &ResourceCache,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let nonce = &request.response_nonce;
        if !nonce.is_empty() {
            self.on_answer(now, nonce, request.error_detail.as_deref(), &mut outcome);
        }
        if self.pending.last_nonce() == 0 {
            self.claimed.add(&request.initial_resource_versions);
        }
        let change = self.subscription.change(request, cache);
        for class in change.repeated {
            self.sent.remove(&class);
        }
        for _ in 0..change.unknown_count {
            outcome.increments.push("names_unknown");
        }
        let classes = self.subscription.classes(cache);
        self.sent.retain(|class, _| classes.contains(class));
        self.rejections.retain(&classes);
        outcome
    }

    fn on_answer(&mut self, now: Ms, nonce: &str, error: Option<&str>, outcome: &mut Outcome) {
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
            // Where another version was sent since, that one's own answer counts.
            if self.sent.get(&class) == Some(&version) {
                self.rejections.add(class, version);
            }
        }
        if let Some(acks) = rejected.unproved {
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
