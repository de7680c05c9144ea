//! What one step works on: the time, the events gathered for the module, and the effects asked for.

use crate::boundary::{Effect, Weight};
use crate::counters::Counters;
use rushcourse_policy::interface::{Channel, Event, Ms, ProxyId};
use std::collections::{BTreeMap, BTreeSet};

/// Events that may wait for a tick; beyond, reports are dropped.
const EVENTS_MOST: usize = 8192;
/// Letters of a log line: what others sent may be long.
const LETTERS_MOST: usize = 400;
/// Lines of one kind in a log within a second; the module speaks of many hosts at once.
const LINES_MOST: u64 = 5;
const MODULE_LINES_MOST: u64 = 50;

/// The kind of the module's own lines.
pub const MODULE: &str = "module";

#[derive(Default)]
pub struct StepContext {
    pub now: Ms,
    pub events: Vec<Event>,
    /// When the first of the events came.
    pub since: Option<Ms>,
    pub effects: Vec<Effect>,
    /// Marks that a proxy has answered: their calls were carried out.
    pub proved: Vec<u16>,
    /// Proxies that are joined by a stream of their own, and those of them that the relay now says are joined there.
    pub streamed: BTreeSet<ProxyId>,
    pub superseded: Vec<ProxyId>,
    pub counters: Counters,
    /// By kind of log line: since when it is counted, lines, and those left out.
    said: BTreeMap<&'static str, (Ms, u64, u64)>,
}

impl StepContext {
    /// An event for the module's next tick.
    pub fn event(&mut self, event: Event) {
        let report = matches!(
            event,
            Event::HostReported { .. } | Event::TrafficReported { .. }
        );
        if report && self.is_full() {
            return self.counters.add("reports_dropped", 1);
        }
        // The newest joining counts, whichever way it came.
        match &event {
            Event::ProxyJoined {
                proxy,
                channel: Channel::Dedicated,
                ..
            } => _ = self.streamed.insert(*proxy),
            Event::ProxyLeft {
                proxy,
                channel: Channel::Dedicated,
            } => _ = self.streamed.remove(proxy),
            Event::ProxyJoined { proxy, .. } if self.streamed.remove(proxy) => {
                self.superseded.push(*proxy)
            }
            _ => {}
        }
        self.since.get_or_insert(self.now);
        self.events.push(event);
    }

    /// Whether as many events wait as may.
    pub fn is_full(&self) -> bool {
        self.events.len() >= EVENTS_MOST
    }

    pub fn ask(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// A log line; those of one kind are limited, and what was left out is said with the next.
    pub fn note(&mut self, weight: Weight, kind: &'static str, text: impl FnOnce() -> String) {
        let now = self.now;
        let (since, lines, left) = self.said.entry(kind).or_insert((now, 0, 0));
        if now - *since >= 1000.0 {
            (*since, *lines) = (now, 0);
        }
        *lines += 1;
        if *lines
            > if kind == MODULE {
                MODULE_LINES_MOST
            } else {
                LINES_MOST
            }
        {
            *left += 1;
            return self.counters.add("log_lines_limited", 1);
        }
        let more = match std::mem::take(left) {
            0 => String::new(),
            n => format!(" ({n} more of this kind were left out)"),
        };
        let text: String = text().chars().take(LETTERS_MOST).collect();
        self.effects.push(Effect::Log {
            weight,
            text: format!("{kind}: {text}{more}"),
        });
    }

    /// What must hold: asserted in debug builds, counted in release builds.
    pub fn must(&mut self, holds: bool, what: &'static str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.counters.add("invariant_failures", 1);
            self.note(Weight::Error, "invariant", || what.into());
        }
    }
}
