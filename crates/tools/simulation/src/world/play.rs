//! Event loop over the fake clock.

use super::deliveries::KEEPALIVE_INTERVAL;
use super::outcome::{Outcome, Tables};
use super::queue::Pending;
use super::state::World;
use super::times::START_TIME;
use crate::script::{FINAL_RESTART, RUN_LENGTH};
use rushcourse_director_state::Input;
use rushcourse_policy::interface::Ms;

/// Interval of the checks of all rules, in ms.
const CHECK_INTERVAL: Ms = 100.0;
/// Number of steps after which a run is considered an endless loop.
const MAX_STEPS: u64 = 2_000_000;

impl World<'_> {
    /// Runs the script to its end.
    ///
    /// # Panics
    ///
    /// Panics if the run exceeds two million steps, which indicates an endless loop.
    pub fn play(mut self) -> Outcome {
        for (index, timed) in self.script.events.iter().enumerate() {
            self.schedule_after(timed.at, Pending::Event(index));
        }
        self.schedule_after(KEEPALIVE_INTERVAL, Pending::Keepalive);
        self.report_hosts_to_checker();
        self.start_director();
        let tables_before_restart = self.play_events();
        Outcome {
            tables_before_restart,
            tables_after_restart: self.all_tables(),
            invariant_failures: self.director.session.counters().get("invariant_failures"),
            violations: self.checker.violations,
            checks: self.checker.checks,
            messages: self.messages,
        }
    }

    /// Advances the clock until the end of the run. Returns the tables just before the director's final restart.
    fn play_events(&mut self) -> Tables {
        let (mut next_check, mut tables, mut steps) = (CHECK_INTERVAL, None, 0);
        while self.now < RUN_LENGTH {
            let next = self.queue.next_due();
            let wake = self.director.wake_at - START_TIME;
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
            assert!(
                steps < MAX_STEPS,
                "run with seed {} does not end",
                self.script.seed
            );
        }
        tables.unwrap_or_default()
    }

    /// Wakes the director if the next delivery, due at `next`, is later than now. Otherwise, handles the delivery.
    fn step(&mut self, next: Ms) {
        if next > self.now {
            self.director.wake_at = f64::INFINITY;
            self.handle_input(Input::Wake);
        } else if let Some(pending) = self.queue.pop() {
            self.deliver(pending);
        }
    }

    /// Passes the listed hosts to the checker, with start times relative to the start of the run.
    pub(super) fn report_hosts_to_checker(&mut self) {
        for (host, listed) in self.script.hosts.iter().zip(&self.list.hosts) {
            if let Some(listed) = listed {
                let is_old = listed.started_at <= 0.0;
                let started_at = if is_old {
                    f64::NEG_INFINITY
                } else {
                    listed.started_at - START_TIME
                };
                self.checker
                    .host_listed(self.now, &host.id, listed.phase, started_at);
            }
        }
    }
}
