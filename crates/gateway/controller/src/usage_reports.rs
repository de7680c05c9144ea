//! Usage reports: feeds the reporting duty's state machine and carries out its effects.

use crate::control_request::ControlEvent;
use crate::controller::Controller;
use crate::platform_client::{FinishedDelivery, post_usage};
use crate::usage_state::FenceSince;
use rushcourse_consensus as consensus;
use rushcourse_messages::{DutyState, Message, UsageCounts};
use rushcourse_usage::{ConnectedController, Effect, PostCall, Surroundings};

impl Controller {
    /// Performs the work of the reporting duty that is due.
    pub(crate) fn step_usage_reports(&mut self) {
        if self.usage_reports.is_none() {
            return;
        }
        let surroundings = Surroundings {
            has_quorum_contact: self.contact.is_current(),
            connected: &self.connected_controllers(),
            is_shutting_down: self.shutdown.has_begun(),
        };
        let (now, wall_time) = (self.clock.now(), self.clock.wall_time());
        let Some(reports) = &mut self.usage_reports else {
            return;
        };
        for effect in reports.reporter.step(now, wall_time, surroundings) {
            self.apply_usage_effect(effect);
        }
    }

    /// Whether this controller holds the duty and is connected to one that can take it.
    pub(crate) fn has_duty_to_hand_over(&self) -> bool {
        let reports = self.usage_reports.as_ref();
        let is_holder = reports.is_some_and(|reports| reports.reporter.is_holder());
        let mut connected = self.connected_controllers().into_iter();
        is_holder && connected.any(|other| !other.is_shutting_down)
    }

    fn connected_controllers(&self) -> Vec<ConnectedController> {
        let sessions = self.sessions.connected_controllers();
        let connected = sessions.map(|session| ConnectedController {
            node: session.peer.node,
            name: session.peer.name.clone(),
            is_shutting_down: self.consensus.is_shutting_down(session.peer.node),
        });
        connected.collect()
    }

    fn apply_usage_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Propose(state) => self.step_consensus(consensus::Input::ProposeDuty(state)),
            Effect::Post(call) => self.post_usage_report(call),
            Effect::Relay(counts) => {
                let message = Message::UsageCounts(counts);
                self.sessions.send_to_controllers(&message);
            }
        }
    }

    /// Sends a report in a task of its own, which reports the outcome to the event loop.
    fn post_usage_report(&self, call: PostCall) {
        let Some(reports) = &self.usage_reports else {
            return;
        };
        let (platform, events, clock) = (reports.platform, reports.events.clone(), self.clock);
        tokio::task::spawn_local(async move {
            let finished = post_usage(platform, call, clock).await;
            let _ = events.send(ControlEvent::DeliveryFinished(finished));
        });
    }

    /// Records the outcome of a call to the platform.
    pub(crate) fn finish_usage_delivery(&mut self, delivery: FinishedDelivery) {
        let FinishedDelivery {
            fence,
            window,
            outcome,
        } = delivery;
        log::info!("event=usage_report_sent window={window} fence={fence} outcome={outcome:?}");
        let now = self.clock.now();
        if let Some(reports) = &mut self.usage_reports {
            reports
                .reporter
                .finish_delivery(now, fence, window, outcome);
        }
        self.step_usage_reports();
    }

    /// Records usage counts of a gateway.
    pub(crate) fn record_usage_counts(&mut self, counts: UsageCounts) {
        let wall_time = self.clock.wall_time();
        if let Some(reports) = &mut self.usage_reports {
            reports.reporter.record_counts(wall_time, counts);
        }
    }

    /// Records a newly agreed state of the reporting duty.
    pub(crate) fn usage_duty_committed(&mut self, duty: DutyState) {
        log::info!(
            "event=duty_committed sequence={} holder={} fence={} undelivered={}",
            duty.sequence,
            duty.holder_name,
            duty.fence,
            duty.undelivered.len()
        );
        let now = self.clock.now();
        let Some(reports) = &mut self.usage_reports else {
            return;
        };
        let (fence, known) = (duty.fence, reports.fence_since);
        if known.is_none_or(|known| known.fence < fence) {
            reports.fence_since = Some(FenceSince { fence, since: now });
        }
        reports.reporter.duty_committed(duty);
    }
}
