//! Timers of streams: timeouts, and responses and reports that become due.

use super::open_streams::StreamRole;
use super::state::Streams;
use crate::interface::{StatusCode, StreamId};
use rushcourse_policy::interface::{Ms, ProxyId};

impl Streams {
    /// Runs all timers that have expired. Returns the time of the next one.
    pub fn advance(&mut self, now: Ms) -> Ms {
        for stream in self.open_streams.take_ready(now) {
            self.advance_stream(now, stream);
        }
        let report_streams_due_at = self.report_streams.advance(now, &mut self.outbox);
        report_streams_due_at.min(self.open_streams.next_due_at())
    }

    fn advance_stream(&mut self, now: Ms, stream: StreamId) {
        let Some(open) = self.open_streams.get(stream) else {
            return;
        };
        match &open.role {
            StreamRole::Unidentified => {
                let deadline = open.opened_at + self.config.join_timeout;
                self.advance_unidentified(now, stream, deadline);
            }
            StreamRole::Discovery(identity, _) => {
                let proxy = identity.proxy;
                self.advance_discovery(now, stream, proxy);
            }
            StreamRole::LoadReporting(..) => self.advance_reporting(now, stream),
        }
    }

    fn advance_unidentified(&mut self, now: Ms, stream: StreamId, deadline: Ms) {
        if now < deadline {
            return self.open_streams.schedule(stream, deadline);
        }
        self.outbox.count("streams_silent", 1);
        self.end(
            now,
            stream,
            StatusCode::DeadlineExceeded,
            "it has not said who it is in time",
        );
    }

    fn advance_discovery(&mut self, now: Ms, stream: StreamId, proxy: ProxyId) {
        let accept_timeout = self.config.accept_timeout;
        let Some(discovery) = self.open_streams.discovery_mut(stream) else {
            return;
        };
        let is_stalled = discovery
            .accepting_since()
            .is_some_and(|since| now - since >= accept_timeout);
        if is_stalled {
            self.outbox.count("streams_untaken", 1);
            return self.end(
                now,
                stream,
                StatusCode::Unavailable,
                "it does not read what it is sent",
            );
        }
        let outcome = discovery.advance(now, proxy, &mut self.cache);
        let accept_deadline = discovery
            .accepting_since()
            .map_or(f64::INFINITY, |since| since + accept_timeout);
        let due_at = discovery.due_at(now).min(accept_deadline);
        self.apply_outcome(stream, proxy, outcome);
        self.open_streams.schedule(stream, due_at);
    }

    fn advance_reporting(&mut self, now: Ms, stream: StreamId) {
        let Some(filter) = self.open_streams.burst_filter_mut(stream) else {
            return;
        };
        if now >= filter.stalled_at() {
            self.outbox.count("loads_stalled", 1);
            return self.end(
                now,
                stream,
                StatusCode::DeadlineExceeded,
                "it has not reported for too long",
            );
        }
        let (events, due_at) = (filter.release(now), filter.due_at());
        if !events.is_empty() {
            self.outbox.count("loads_taken", 1);
            self.outbox.events.extend(events);
        }
        self.open_streams.schedule(stream, due_at);
    }
}
