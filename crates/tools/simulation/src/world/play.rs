//! The loop over the fake clock.

use super::deliveries::KEEPALIVE;
use super::outcome::Outcome;
use super::state::{Pending, World};
use super::times::START;
use crate::check::Checker;
use crate::script::{ANEW, At, LASTS};
use rushcourse_director_state::{InboundId, Input};
use serde_json::json;

/// ms between two looks of the checker.
const CHECK_INTERVAL: At = 100.0;
/// Steps that no run comes near: it would not end.
const STEPS_MOST: u64 = 2_000_000;
/// The collector's connection.
pub(super) const COLLECTOR: InboundId = InboundId(1);

impl World<'_> {
    /// Plays the script to its end.
    pub fn play(mut self) -> Outcome {
        for (k, (at, _)) in self.script.events.iter().enumerate() {
            self.after(*at, Pending::Event(k));
        }
        self.after(KEEPALIVE, Pending::Keepalive);
        self.tell_checker_list();
        self.begin();
        let (mut look, mut before) = (CHECK_INTERVAL, None);
        while self.now < LASTS {
            let next = self
                .queue
                .first_key_value()
                .map_or(f64::INFINITY, |(k, _)| k.0 as f64 / 1000.0);
            let wake = self.wake - START;
            self.now = next.min(wake).min(look).max(self.now);
            if self.now >= look {
                self.checker.look(self.now);
                look += CHECK_INTERVAL;
                if look > ANEW && before.is_none() {
                    before = Some(self.all_tables());
                }
                continue;
            }
            if next <= self.now {
                let (_, pending) = self.queue.pop_first().expect("a pending");
                self.deliver(pending);
            } else {
                self.wake = f64::INFINITY;
                self.give(Input::Wake);
            }
            self.steps += 1;
            assert!(
                self.steps < STEPS_MOST,
                "it ends: seed {}",
                self.script.seed
            );
        }
        let (tables, anew) = (before.unwrap_or_default(), self.all_tables());
        let Checker { broken, made, .. } = self.checker;
        let invariants = self.session.counters().get("invariant_failures");
        Outcome {
            broken,
            made,
            tables,
            anew,
            messages: self.messages,
            invariants,
            steps: self.steps,
        }
    }

    /// A director starts: collectors dial in.
    pub(super) fn begin(&mut self) {
        self.give(Input::Start);
        self.give(Input::InboundOpened {
            inbound: COLLECTOR,
            peer: "collector".into(),
        });
        let joins = json!({"@type": "collector", "az": self.script.zones[0]}).to_string();
        self.give(Input::InboundMessage {
            inbound: COLLECTOR,
            message: joins.into(),
        });
    }

    /// Tells the checker where hosts stand in the list.
    pub(super) fn tell_checker_list(&mut self) {
        for (host, listed) in self.script.hosts.iter().zip(&self.hosts) {
            if let Some((phase, up)) = listed {
                let up = if *up > 0.0 {
                    up - START
                } else {
                    f64::NEG_INFINITY
                };
                self.checker.listed(self.now, &host.id, *phase, up);
            }
        }
    }
}
