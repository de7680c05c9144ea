//! Responses on a stream: what is sent, and when.

use super::ack_numbers::SEND_DELAY_TOLERATED;
use super::pending::{Acknowledged, Versions};
use super::stream::{DiscoveryStream, Outcome};
use crate::messages::{DeltaDiscoveryResponse, DiscoveryResponse, Resource, Response};
use crate::resources::{self, ResourceCache};
use rushcourse_policy::interface::{ClassId, Ms, ProxyId};

/// A resource that the proxy is subscribed to.
#[derive(Debug)]
struct Subscribed {
    class: ClassId,
    resource: Resource,
}

impl DiscoveryStream {
    /// From when on the policy has to be told what is not applied: a response has not left, or was rejected.
    fn late_from(&self) -> Ms {
        if !self.rejections.is_empty() {
            return 0.0;
        }
        self.accepting_since
            .map_or(f64::INFINITY, |since| since + SEND_DELAY_TOLERATED)
    }

    /// Sends what is due, if the transport has room, and tells what follows from time alone.
    pub(crate) fn advance(
        &mut self,
        now: Ms,
        proxy: ProxyId,
        cache: &mut ResourceCache,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        if self.accepting_since.is_none() {
            self.send(now, proxy, cache, &mut outcome);
        }
        if outcome.not_applied.is_none()
            && now >= self.late_from()
            && now >= self.next_not_applied_at
        {
            outcome.not_applied = self.report_not_applied(now, false);
        }
        outcome
    }

    /// When there is something to do next, if nothing comes before.
    pub(crate) fn due_at(&self, now: Ms) -> Ms {
        let report_at = self.late_from().max(self.next_not_applied_at);
        if self.accepting_since.is_some() {
            return report_at;
        }
        // What the rate limit holds back goes out once it allows that.
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

    fn send(&mut self, now: Ms, proxy: ProxyId, cache: &mut ResourceCache, outcome: &mut Outcome) {
        let mut subscribed = self.subscribed(proxy, cache);
        let has_changes = subscribed.iter().any(|entry| self.has_changed(now, entry));
        if !self.is_state_of_the_world {
            subscribed.retain(|entry| self.has_changed(now, entry));
        }
        if !has_changes && !self.owes_response(&subscribed) {
            return self.settle_acks(cache, outcome);
        }
        // The rate limit bounds what the proxy itself brings about; what the policy orders is within the cap by its
        // own count.
        if self.unsent_acks.range().is_none() && self.limiter.next_allowed_at(now) > now {
            return;
        }
        let is_repeated = subscribed.iter().any(|entry| {
            self.rejections
                .contains(entry.class, &entry.resource.version)
        });
        if is_repeated || self.unsent_acks.are_late(now) {
            outcome.not_applied = self.report_not_applied(now, true);
        }
        if is_repeated {
            outcome.increments.push("tables_repeated");
        }
        if self.record_sent(now, &subscribed) {
            outcome.increments.push("answers_given_up");
        }
        outcome.response = Some(self.response(subscribed));
    }

    /// The resources of the subscription that exist. Claims of the proxy are compared with them.
    fn subscribed(&mut self, proxy: ProxyId, cache: &mut ResourceCache) -> Vec<Subscribed> {
        let mut subscribed = Vec::new();
        for class in self.subscription.classes(cache) {
            if let Some(resource) = cache.resource(proxy, class) {
                subscribed.push(Subscribed { class, resource });
            }
        }
        if !subscribed.is_empty() {
            self.compare_claims(&subscribed);
        }
        subscribed
    }

    /// What the proxy claims to hold counts as sent, if it is just what it is to hold now.
    fn compare_claims(&mut self, subscribed: &[Subscribed]) {
        let versions = subscribed
            .iter()
            .map(|entry| entry.resource.version.as_str());
        if self.claimed.take_combined_match(self.incarnation, versions) {
            self.sent.extend(versions_by_class(subscribed));
            self.subscription.mark_answered();
        }
        for entry in subscribed {
            if self.claimed.take_match(&entry.resource) {
                self.sent
                    .insert(entry.class, entry.resource.version.clone());
            }
        }
    }

    /// Whether the proxy is to be sent a resource that it was not sent, or that it rejected some time ago.
    fn has_changed(&self, now: Ms, entry: &Subscribed) -> bool {
        let version = &entry.resource.version;
        if self.rejections.has_class(entry.class) {
            return !self.rejections.contains(entry.class, version)
                || now >= self.rejections.resend_at();
        }
        self.sent.get(&entry.class) != Some(version)
    }

    /// Whether a response is owed though no resource has changed.
    fn owes_response(&self, subscribed: &[Subscribed]) -> bool {
        if self.is_state_of_the_world {
            // A subscription is answered once there is something to answer with.
            self.subscription.is_unanswered() && !subscribed.is_empty()
        } else {
            self.subscription.has_unknown_names()
        }
    }

    /// Nothing is to be sent: the proxy holds all this already, or will once it has answered what is on its way.
    fn settle_acks(&mut self, cache: &ResourceCache, outcome: &mut Outcome) {
        if self.rejections.is_empty() && !self.subscription.classes(cache).is_empty() {
            let acks = self.unsent_acks.take();
            outcome.acknowledged = self.pending.add_to_newest(acks).map(|acks| Acknowledged {
                ack_number: acks.last,
                elapsed: 0.0,
            });
        }
    }

    /// Records a response that is sent now. Returns whether an old one was given up for it.
    fn record_sent(&mut self, now: Ms, subscribed: &[Subscribed]) -> bool {
        let versions = versions_by_class(subscribed);
        self.sent.extend(versions.clone());
        // These wait for an answer now, and are no longer known to be rejected.
        for class in versions.keys() {
            self.rejections.remove(*class);
        }
        // While another class is rejected, this response proves nothing.
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

    fn response(&mut self, subscribed: Vec<Subscribed>) -> Response {
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

fn versions_by_class(subscribed: &[Subscribed]) -> Versions {
    subscribed
        .iter()
        .map(|entry| (entry.class, entry.resource.version.clone()))
        .collect()
}
