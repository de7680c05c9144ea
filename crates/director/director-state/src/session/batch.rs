//! Runs of the policy on batches of events, and the execution of its actions.

use super::Session;
use crate::call_queue::Batch;
use crate::counter::Counter;
use crate::effect::Severity;
use crate::log_limiter::POLICY_LOG_KIND;
use rushcourse_director_protocol::relay::Order;
use rushcourse_policy::interface::{Action, HostId, Ms};

impl Session {
    /// Runs the policy on all queued events and executes the resulting actions.
    pub(super) fn run_batch(&mut self) {
        let now = self.context.now;
        let (events, first_at) = self.context.events.take();
        self.context.count(Counter::PolicyBatches);
        self.context
            .counters
            .add(Counter::PolicyEvents, events.len() as u64);
        let actions = self.policy.handle(now, events);
        if let Some(streams) = &mut self.streams {
            streams.apply_actions(now, &actions);
        }
        let mut batch = Batch {
            orders: Vec::new(),
            ack_number: None,
            triggered_at: first_at.unwrap_or(now),
        };
        for action in actions {
            let order = Order::encode(&action, &self.config.names.classes);
            batch.orders.extend(order);
            self.apply_action(action, &mut batch);
        }
        self.send_batch(batch);
    }

    /// Executes the part of an action that does not consist of sending an order to the relay.
    fn apply_action(&mut self, action: Action, batch: &mut Batch) {
        match action {
            Action::RequestAck { ack_number } => batch.ack_number = Some(ack_number),
            Action::StartTimer { token, at } => self.start_timer(at, token),
            Action::CheckHealth { host } => self.check_health(host),
            Action::SubscribeToHosts => self.discovery.request_full_list(),
            Action::BroadcastToPeers { .. } => self.context.count(Counter::PeerMessagesNotSent),
            Action::Log { text } => self.context.log(Severity::Info, POLICY_LOG_KIND, || text),
            Action::SetEndpoint { .. }
            | Action::ClearTable { .. }
            | Action::BindProxy { .. }
            | Action::SetWithdrawn { .. }
            | Action::SetAdmission { .. } => {}
        }
    }

    /// Queues a batch for the relay, if it affects any proxy there.
    fn send_batch(&mut self, batch: Batch) {
        // An acknowledgement proves that all orders of a call were executed only if its request is the last order.
        let is_complete =
            batch.ack_number.is_none() || batch.orders.last().is_some_and(Order::is_ack_request);
        self.context.check_invariant(
            is_complete,
            "an acknowledgement request is the last order of its batch",
        );
        if self.config.has_relay && batch.reaches_proxies() {
            self.relay.calls.push(&mut self.context, batch);
        }
    }

    fn start_timer(&mut self, at: Ms, token: String) {
        self.timers.start(at, token);
        let is_within_limit = self.timers.is_within_limit();
        self.context.check_invariant(
            is_within_limit,
            "the number of pending policy timers is within its limit",
        );
    }

    fn check_health(&mut self, host: HostId) {
        let address = self.discovery.table().address(&host);
        let settings = &self.config.settings;
        let not_sent = self.health_checks.request(settings, host.clone(), address);
        if let Some(event) = not_sent {
            self.context.count(Counter::HealthChecksNotSent);
            self.context.log(Severity::Warning, "probe", || {
                format!("health check of {host} not sent")
            });
            self.context.emit(event);
        }
        self.start_health_checks();
    }

    /// Starts waiting health checks up to the limit of checks in flight.
    pub(super) fn start_health_checks(&mut self) {
        while let Some(effect) = self.health_checks.start_next(&self.config.settings) {
            self.context.count(Counter::HealthChecksSent);
            self.context.request(effect);
        }
    }
}
