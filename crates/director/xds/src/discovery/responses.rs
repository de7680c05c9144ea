//! Sending of responses: their content and timing.

use super::ack_numbers::MAX_SEND_DELAY;
use super::pending::{Acknowledged, Versions};
use super::stream::{DiscoveryOutcome, DiscoveryStream};
use crate::messages::{DeltaDiscoveryResponse, DiscoveryResponse, Resource, Response};
use crate::resources::{self, ResourceCache};
use rushcourse_policy::interface::{ClassId, Ms, ProxyId};

/// A resource of the subscription, in its current version.
#[derive(Debug)]
struct SubscribedResource {
    class: ClassId,
    resource: Resource,
}

impl DiscoveryStream {
    /// Time from which the policy has to be informed that the proxy hasn't applied its actions: at once after a NACK,
    /// or `MAX_SEND_DELAY` after a response that the transport hasn't accepted.
    fn not_applied_from(&self) -> Ms {
        if !self.rejections.is_empty() {
            return 0.0;
        }
        self.accepting_since
            .map_or(f64::INFINITY, |since| since + MAX_SEND_DELAY)
    }

    /// Sends a response if one is due and the transport has room, and reports actions that aren't applied in time.
    pub(crate) fn advance(
        &mut self,
        now: Ms,
        proxy: ProxyId,
        cache: &mut ResourceCache,
    ) -> DiscoveryOutcome {
        let mut outcome = DiscoveryOutcome::default();
        if self.accepting_since.is_none() {
            self.send(now, proxy, cache, &mut outcome);
        }
        if outcome.not_applied.is_none()
            && now >= self.not_applied_from()
            && now >= self.next_not_applied_at
        {
            outcome.not_applied = self.report_not_applied(now, false);
        }
        outcome
    }

    /// Time of the next `advance`, unless an input comes first.
    pub(crate) fn due_at(&self, now: Ms) -> Ms {
        let report_at = self.not_applied_from().max(self.next_not_applied_at);
        if self.accepting_since.is_some() {
            return report_at;
        }
        // Responses held back by the rate limit are sent once it permits.
        let allowed_at = self.limiter.next_allowed_at(now);
        let mut due_at = report_at;
        if !self.rejections.is_empty() {
            due_at = due_at.min(self.rejections.resend_at().max(allowed_at));
        }
        if allowed_at > now {
            due_at = due_at.min(allowed_at);
        }
        due_at
    }

    fn send(
        &mut self,
        now: Ms,
        proxy: ProxyId,
        cache: &mut ResourceCache,
        outcome: &mut DiscoveryOutcome,
    ) {
        let mut subscribed = self.subscribed(proxy, cache);
        let has_changes = subscribed.iter().any(|entry| self.has_changed(now, entry));
        if !self.is_state_of_the_world {
            subscribed.retain(|entry| self.has_changed(now, entry));
        }
        if !has_changes && !self.owes_response(&subscribed) {
            return self.settle_acks(cache, outcome);
        }
        // The rate limit applies only to responses that the proxy's own requests cause. The policy limits the messages
        // for its actions itself.
        if self.unsent_acks.range().is_none() && self.limiter.next_allowed_at(now) > now {
            return;
        }
        let is_resend = subscribed.iter().any(|entry| {
            self.rejections
                .contains(entry.class, &entry.resource.version)
        });
        if is_resend || self.unsent_acks.is_overdue(now) {
            outcome.not_applied = self.report_not_applied(now, true);
        }
        if is_resend {
            outcome.increments.push("tables_repeated");
        }
        if self.record_sent(now, &subscribed) {
            outcome.increments.push("answers_given_up");
        }
        outcome.response = Some(self.response(subscribed));
    }

    /// Collects the existing resources of the subscription, and compares them with the versions that the proxy holds
    /// from an earlier stream.
    fn subscribed(&mut self, proxy: ProxyId, cache: &mut ResourceCache) -> Vec<SubscribedResource> {
        let mut subscribed = Vec::new();
        for class in self.subscription.classes(cache) {
            if let Some(resource) = cache.resource(proxy, class) {
                subscribed.push(SubscribedResource { class, resource });
            }
        }
        if !subscribed.is_empty() {
            self.match_initial_versions(&subscribed);
        }
        subscribed
    }

    /// Treats a resource as sent if the proxy already holds its current version from an earlier stream.
    fn match_initial_versions(&mut self, subscribed: &[SubscribedResource]) {
        let versions = subscribed
            .iter()
            .map(|entry| entry.resource.version.as_str());
        if self
            .initial_versions
            .take_combined_match(self.incarnation, versions)
        {
            self.sent_versions.extend(versions_by_class(subscribed));
            self.subscription.mark_answered();
        }
        for entry in subscribed {
            if self.initial_versions.take_match(&entry.resource) {
                self.sent_versions
                    .insert(entry.class, entry.resource.version.clone());
            }
        }
    }

    /// Whether the resource needs sending: its version was not sent yet, or was rejected and its resend is due.
    fn has_changed(&self, now: Ms, entry: &SubscribedResource) -> bool {
        let version = &entry.resource.version;
        if self.rejections.has_class(entry.class) {
            return !self.rejections.contains(entry.class, version)
                || now >= self.rejections.resend_at();
        }
        self.sent_versions.get(&entry.class) != Some(version)
    }

    /// Whether a response is required although no resource has changed.
    fn owes_response(&self, subscribed: &[SubscribedResource]) -> bool {
        if self.is_state_of_the_world {
            // Until a subscribed resource exists, the answer is postponed.
            self.subscription.is_unanswered() && !subscribed.is_empty()
        } else {
            self.subscription.has_unknown_names()
        }
    }

    /// Disposes of unsent ack numbers when there is nothing to send: they are attached to the newest pending response,
    /// or confirmed at once if no response is pending.
    fn settle_acks(&mut self, cache: &ResourceCache, outcome: &mut DiscoveryOutcome) {
        if self.rejections.is_empty() && !self.subscription.classes(cache).is_empty() {
            let acks = self.unsent_acks.take();
            outcome.acknowledged = self
                .pending
                .attach_to_newest(acks)
                .map(|acks| Acknowledged {
                    ack_number: acks.last,
                    elapsed: 0.0,
                });
        }
    }

    /// Updates the state for a response that is sent at `now`. Returns whether an old pending response was dropped.
    fn record_sent(&mut self, now: Ms, subscribed: &[SubscribedResource]) -> bool {
        let versions = versions_by_class(subscribed);
        self.sent_versions.extend(versions.clone());
        // A resent class is pending again, not rejected.
        for class in versions.keys() {
            self.rejections.remove(*class);
        }
        // While another class is rejected, an ACK of this response can't confirm any ack number.
        let acks = if self.rejections.is_empty() {
            self.unsent_acks.take()
        } else {
            None
        };
        self.subscription.mark_answered();
        self.accepting_since = Some(now);
        self.limiter.record(now);
        self.pending.push(now, acks, versions)
    }

    fn response(&mut self, subscribed: Vec<SubscribedResource>) -> Response {
        let nonce = self.pending.last_nonce().to_string();
        let versions = subscribed
            .iter()
            .map(|entry| entry.resource.version.as_str());
        let version = resources::combined_version(self.incarnation, versions);
        let resources = subscribed.into_iter().map(|entry| entry.resource).collect();
        if self.is_state_of_the_world {
            Response::Discovery(DiscoveryResponse {
                version_info: version,
                nonce,
                resources,
            })
        } else {
            Response::Delta(DeltaDiscoveryResponse {
                system_version_info: version,
                nonce,
                resources,
                removed_resources: self.subscription.take_unknown_names(),
            })
        }
    }
}

fn versions_by_class(subscribed: &[SubscribedResource]) -> Versions {
    subscribed
        .iter()
        .map(|entry| (entry.class, entry.resource.version.clone()))
        .collect()
}
