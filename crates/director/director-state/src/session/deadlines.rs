//! Handling of expired deadlines and scheduling of the next wake-up.

use super::{Phase, Session};
use crate::effect::Effect;
use crate::time::millis;
use rushcourse_policy::interface::{Event, Ms};
use std::time::Duration;

/// Interval between status lines in the log.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

impl Session {
    pub(super) fn next_status(&self) -> Ms {
        self.context.now + millis(STATUS_INTERVAL)
    }

    /// Handles all expired deadlines and schedules the next wake-up. Does nothing before the session is started.
    pub(super) fn advance(&mut self) {
        if matches!(self.phase, Phase::Created { .. }) {
            return;
        }
        self.fire_timers();
        let status = self.advance_status();
        // Events are held back while the call queue is full, unless the event queue is full as well: not all kinds of
        // events may be dropped.
        let may_run_batch = self
            .relay
            .calls
            .has_room(self.context.events.has_streamed_proxies())
            || self.context.events.is_full();
        if may_run_batch
            && self
                .batch_deadline()
                .is_some_and(|at| self.context.now >= at)
        {
            self.run_batch();
        }
        let streams = self.advance_streams();
        let timer = self.timers.next_deadline();
        let relay = self.advance_relay();
        let due = [
            relay,
            streams,
            Some(self.discovery.advance(&mut self.context)),
            self.inbound.advance(&mut self.context),
            self.reload.advance(&mut self.context),
            // Evaluated last, because the calls above may have queued events.
            self.batch_deadline().filter(|_| may_run_batch),
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

    /// Logs the status line if it is due; returns the time of the next one.
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

    /// Time at which the policy is run on the queued events; `None` if there are none.
    fn batch_deadline(&self) -> Option<Ms> {
        let first_at = self.context.events.first_at()?;
        Some(first_at + self.config.batch_interval)
    }

    fn advance_streams(&mut self) -> Option<Ms> {
        let now = self.context.now;
        let next = self.streams.as_mut().map(|streams| streams.advance(now));
        self.reconcile_channels();
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
