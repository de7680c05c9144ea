//! The results of steps: events for the policy, effects, log entries and counter increments.

use crate::interface::Effect;
use rushcourse_policy::interface::Event;

/// Severity of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Expected in normal operation.
    Info,
    /// Needs an operator's attention.
    Warning,
}

/// A log entry. The writer rate-limits entries of the same kind.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Severity that the line is written with.
    pub severity: Severity,
    /// Rate-limiting key; also the first words of the line.
    pub kind: &'static str,
    /// The rest of the line, after the kind.
    pub text: String,
}

/// Results that the caller has not taken yet, each list in order of occurrence.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Events for the policy.
    pub events: Vec<Event>,
    /// Operations for the transport.
    pub effects: Vec<Effect>,
    /// Lines for the log.
    pub log_entries: Vec<LogEntry>,
    /// Names of counters (see `COUNTERS`), each with the amount to add.
    pub increments: Vec<(&'static str, u64)>,
    /// Descriptions of invariants that did not hold.
    pub violations: Vec<&'static str>,
}

impl Outbox {
    pub(crate) fn event(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(crate) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn count(&mut self, counter: &'static str, by: u64) {
        self.increments.push((counter, by));
    }

    pub(crate) fn log(&mut self, severity: Severity, kind: &'static str, text: String) {
        self.log_entries.push(LogEntry {
            severity,
            kind,
            text,
        });
    }

    pub(crate) fn record_violation(&mut self, invariant: &'static str) {
        self.violations.push(invariant);
    }
}
