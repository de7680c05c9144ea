//! What a step leaves behind: events for the module, effects, notes for the log, counts.

use crate::boundary::Effect;
use rushcourse_policy::interface::Event;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grade {
    Info,
    Warning,
    Error,
}

/// A line for the log; those of a kind are limited by whoever writes them.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    pub grade: Grade,
    pub kind: &'static str,
    pub text: String,
}

#[derive(Debug, Default)]
pub struct Outbox {
    pub events: Vec<Event>,
    pub effects: Vec<Effect>,
    pub notes: Vec<Note>,
    /// Names of counts and by how much they rise.
    pub counts: Vec<(&'static str, u64)>,
    /// What must hold and did not.
    pub broken: Vec<&'static str>,
}

impl Outbox {
    pub fn event(&mut self, event: Event) {
        self.events.push(event);
    }

    pub fn ask(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub fn add(&mut self, name: &'static str, n: u64) {
        self.counts.push((name, n));
    }

    pub fn note(&mut self, grade: Grade, kind: &'static str, text: String) {
        self.notes.push(Note { grade, kind, text });
    }

    pub fn must(&mut self, holds: bool, what: &'static str) {
        if !holds {
            self.broken.push(what);
        }
    }
}
