//! What is due by time.

use super::{Phase, Session};
use crate::effect::Effect;
use crate::time::millis;
use rushcourse_policy::interface::{Event, Ms};
use std::time::Duration;

/// How often the log is told how the session stands.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

impl Session {
    /// The time of the next status line.
    pub(super) fn next_status(&self) -> Ms {
        self.context.now + millis(STATUS_INTERVAL)
    }

    /// Does all that is due, and asks to be woken for what comes next. Before the start nothing is.
    pub(super) fn advance(&mut self) {
        if matches!(self.phase, Phase::Created { .. }) {
            return;
        }
        self.fire_timers();
        let status = self.advance_status();
        // While many calls wait, events wait too; but those that may not be dropped stay bounded as well.
        let may_ask = self
            .relay
            .calls
            .has_room(self.context.events.has_streamed())
            || self.context.events.is_full();
        if may_ask && self.batch_due().is_some_and(|at| self.context.now >= at) {
            self.run_batch();
        }
        let streams = self.advance_streams();
        let timer = self.timers.next();
        let relay = self.advance_relay();
        let due = [
            relay,
            streams,
            Some(self.discovery.advance(&mut self.context)),
            self.inbound.advance(&mut self.context),
            self.reload.advance(&mut self.context),
            // What the parts above had to tell the policy waits for an interval too.
            self.batch_due().filter(|_| may_ask),
            timer,
            status,
        ];
        let at = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
        self.context.request(Effect::ScheduleWake { at });
    }

    fn fire_timers(&mut self) {
        while let Some(token) = self.timers.take_due(self.context.now) {
            self.context.emit(Event::TimerFired { token });
        }
    }

    /// Tells the log how the session stands, if it is time; returns when it is next told.
    fn advance_status(&mut self) -> Option<Ms> {
        let Phase::Running { next_status } = self.phase else {
            return None;
        };
        if self.context.now < next_status {
            return Some(next_status);
        }
        let next_status = self.next_status();
        self.phase = Phase::Running { next_status };
        self.log_status();
        Some(next_status)
    }

    /// When the policy is asked about the events that wait.
    fn batch_due(&self) -> Option<Ms> {
        let first_at = self.context.events.first_at()?;
        Some(first_at + self.config.batch_interval)
    }

    fn advance_streams(&mut self) -> Option<Ms> {
        let now = self.context.now;
        let next = self.streams.as_mut().map(|streams| streams.advance(now));
        self.settle_channels();
        next
    }

    fn advance_relay(&mut self) -> Option<Ms> {
        if !self.config.has_relay {
            return None;
        }
        let now = self.context.now;
        let policy = &self.policy;
        self.relay.advance(&mut self.context, |ack_number| {
            policy.may_resend(ack_number, now)
        })
    }
}
