//! What one step works on: the time, events for the policy, effects, counters and the log.

use crate::counter::{Counter, Counters};
use crate::effect::{Effect, Severity};
use crate::event_queue::EventQueue;
use crate::log_limiter::LogLimiter;
use crate::time::millis;
use rushcourse_policy::interface::{AckNumber, Event, Ms};
use std::time::Duration;

#[derive(Default)]
pub(crate) struct StepContext {
    /// The time of this step.
    pub(crate) now: Ms,
    pub(crate) events: EventQueue,
    effects: Vec<Effect>,
    /// Calls that proxies have acknowledged in this step: they were carried out.
    acknowledged: Vec<AckNumber>,
    pub(crate) counters: Counters,
    log_limiter: LogLimiter,
}

impl StepContext {
    /// The moment a span after this step.
    pub(crate) fn after(&self, span: Duration) -> Ms {
        self.now + millis(span)
    }

    /// An event for the policy, which is asked later.
    pub(crate) fn emit(&mut self, event: Event) {
        if self.events.push(self.now, event).is_err() {
            self.count(Counter::ReportsDropped);
        }
    }

    /// Asks for something to be done outside.
    pub(crate) fn request(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// All that was asked for since the last call, in order.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// A proxy has acknowledged a call.
    pub(crate) fn acknowledge(&mut self, ack_number: AckNumber) {
        self.acknowledged.push(ack_number);
    }

    pub(crate) fn take_acknowledged(&mut self) -> Vec<AckNumber> {
        std::mem::take(&mut self.acknowledged)
    }

    /// Raises a counter by one.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.counters.add(counter, 1);
    }

    /// Writes a line to the log that begins with its kind. Lines of one kind are limited; the text of one that is left
    /// out is not made.
    pub(crate) fn log(
        &mut self,
        severity: Severity,
        kind: &'static str,
        text: impl FnOnce() -> String,
    ) {
        match self.log_limiter.admit(self.now, kind, text) {
            Some(text) => self.request(Effect::Log { severity, text }),
            None => self.count(Counter::LogLinesLimited),
        }
    }

    /// Checks an invariant: asserted in debug builds, counted and logged in release builds.
    pub(crate) fn check_invariant(&mut self, holds: bool, invariant: &'static str) {
        debug_assert!(holds, "{invariant}");
        if !holds {
            self.count(Counter::InvariantFailures);
            self.log(Severity::Error, "invariant", || invariant.into());
        }
    }
}
