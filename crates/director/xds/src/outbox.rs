//! What a step leaves behind: events for the policy, effects, log entries and counters.

use crate::interface::Effect;
use rushcourse_policy::interface::Event;

/// How much a log entry matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Usual.
    Info,
    /// Somebody should look at it.
    Warning,
}

/// An entry for the log. Whoever writes it limits the entries of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// How much it matters.
    pub severity: Severity,
    /// What is limited together; the words that the line begins with.
    pub kind: &'static str,
    /// The rest of the line.
    pub text: String,
}

/// What steps have brought about and nobody has taken over yet, in the order in which it happened.
#[derive(Debug, Default)]
pub struct Outbox {
    /// For the policy.
    pub events: Vec<Event>,
    /// For the sockets.
    pub effects: Vec<Effect>,
    /// For the log.
    pub log_entries: Vec<LogEntry>,
    /// Names of counters (see `COUNTERS`) and by how much they rise.
    pub increments: Vec<(&'static str, u64)>,
    /// Invariants that did not hold.
    pub violations: Vec<&'static str>,
}

impl Outbox {
    /// Hands an event to the policy.
    pub(crate) fn event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Asks for an effect.
    pub(crate) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Raises a counter.
    pub(crate) fn count(&mut self, counter: &'static str, by: u64) {
        self.increments.push((counter, by));
    }

    /// Writes an entry to the log.
    pub(crate) fn log(&mut self, severity: Severity, kind: &'static str, text: String) {
        self.log_entries.push(LogEntry {
            severity,
            kind,
            text,
        });
    }

    /// Reports an invariant that does not hold.
    pub(crate) fn violated(&mut self, invariant: &'static str) {
        self.violations.push(invariant);
    }
}
