//! The loop over the fake clock.

use super::deliveries::KEEPALIVE_INTERVAL;
use super::outcome::{Outcome, Tables};
use super::queue::Pending;
use super::state::World;
use super::times::START;
use crate::script::{FINAL_RESTART, RUN_LENGTH};
use rushcourse_director_state::Input;
use rushcourse_policy::interface::Ms;

/// ms between two checks of all rules.
const CHECK_INTERVAL: Ms = 100.0;
/// Steps that no run comes near: it would not end.
const MAX_STEPS: u64 = 2_000_000;

impl World<'_> {
    /// Plays the script to its end.
    ///
    /// # Panics
    ///
    /// The run does not end.
    pub fn play(mut self) -> Outcome {
        for (index, timed) in self.script.events.iter().enumerate() {
            self.after(timed.at, Pending::Event(index));
        }
        self.after(KEEPALIVE_INTERVAL, Pending::Keepalive);
        self.show_list_to_checker();
        self.start_director();
        let tables = self.play_events();
        Outcome {
            tables,
            fresh_tables: self.all_tables(),
            invariant_failures: self.director.session.counters().get("invariant_failures"),
            violations: self.checker.violations,
            checks: self.checker.checks,
            messages: self.messages,
        }
    }

    /// Lets time pass; answers what proxies held before the director's last restart.
    fn play_events(&mut self) -> Tables {
        let (mut next_check, mut tables, mut steps) = (CHECK_INTERVAL, None, 0);
        while self.now < RUN_LENGTH {
            let next = self.queue.next_at();
            let wake = self.director.wake_at - START;
            self.now = next.min(wake).min(next_check).max(self.now);
            if self.now >= next_check {
                self.checker.check_all(self.now);
                next_check += CHECK_INTERVAL;
                if next_check > FINAL_RESTART && tables.is_none() {
                    tables = Some(self.all_tables());
                }
                continue;
            }
            self.step(next);
            steps += 1;
            assert!(steps < MAX_STEPS, "it ends: seed {}", self.script.seed);
        }
        tables.unwrap_or_default()
    }

    /// Delivers what is due, or calls the director as it asked; `next`: when the next delivery is due.
    fn step(&mut self, next: Ms) {
        if next > self.now {
            self.director.wake_at = f64::INFINITY;
            self.give(Input::Wake);
        } else if let Some(pending) = self.queue.pop() {
            self.deliver(pending);
        }
    }

    /// The checker learns how hosts stand in the list.
    pub(super) fn show_list_to_checker(&mut self) {
        for (host, listed) in self.script.hosts.iter().zip(&self.list.hosts) {
            if let Some(listed) = listed {
                let is_old = listed.started_at <= 0.0;
                let started_at = if is_old {
                    f64::NEG_INFINITY
                } else {
                    listed.started_at - START
                };
                self.checker
                    .host_listed(self.now, &host.id, listed.phase, started_at);
            }
        }
    }
}
