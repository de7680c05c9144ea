//! State that all parts of a session use during a step: the time, the event queue, effects, counters and the log.

use crate::counter::{Counter, Counters};
use crate::effect::{Effect, Severity};
use crate::event_queue::EventQueue;
use crate::log_limiter::LogLimiter;
use crate::time::millis;
use rushcourse_policy::interface::{AckNumber, Event, Ms};
use std::time::Duration;

#[derive(Default)]
pub(crate) struct StepContext {
    /// Time of the current step; never decreases.
    pub(crate) now: Ms,
    pub(crate) events: EventQueue,
    effects: Vec<Effect>,
    /// Numbers of calls that a proxy acknowledged in this step, which proves that the relay executed them.
    acknowledged: Vec<AckNumber>,
    pub(crate) counters: Counters,
    log_limiter: LogLimiter,
}

impl StepContext {
    /// Timestamp at a delay after the current step.
    pub(crate) fn after(&self, delay: Duration) -> Ms {
        self.now + millis(delay)
    }

    /// Queues an event for the next policy batch. A report that exceeds the queue limit is dropped and counted.
    pub(crate) fn emit(&mut self, event: Event) {
        if self.events.push(self.now, event).is_err() {
            self.count(Counter::ReportsDropped);
        }
    }

    /// Adds an effect to those returned by the current step.
    pub(crate) fn request(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Removes and returns the effects requested since the last call, in order.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Records that a proxy acknowledged a call, for the call sender to process in the same step.
    pub(crate) fn acknowledge(&mut self, ack_number: AckNumber) {
        self.acknowledged.push(ack_number);
    }

    pub(crate) fn take_acknowledged(&mut self) -> Vec<AckNumber> {
        std::mem::take(&mut self.acknowledged)
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.counters.add(counter, 1);
    }

    /// Logs a line prefixed with its kind, unless too many lines of this kind were logged within a second.
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

    /// Checks an invariant: a violation panics in debug builds, and is counted and logged in release builds.
    pub(crate) fn check_invariant(&mut self, holds: bool, invariant: &'static str) {
        debug_assert!(holds, "{invariant}");
        if !holds {
            self.count(Counter::InvariantFailures);
            self.log(Severity::Error, "invariant", || invariant.into());
        }
    }
}
