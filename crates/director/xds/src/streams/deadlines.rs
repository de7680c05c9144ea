//! What is due by time.

use super::state::{Streams, Use, micros};
use crate::interface::{StatusCode, StreamId};
use rushcourse_policy::interface::*;

impl Streams {
    /// Does all that is due; answers when there is something to do next.
    pub fn advance(&mut self, now: Ms) -> Ms {
        while let Some((at, stream)) = self
            .due
            .first()
            .copied()
            .filter(|(at, _)| *at <= micros(now))
        {
            self.due.remove(&(at, stream));
            self.open
                .get_mut(&stream)
                .into_iter()
                .for_each(|o| o.next = u64::MAX);
            self.touched.insert(stream);
        }
        for stream in std::mem::take(&mut self.touched) {
            self.look(now, stream);
        }
        let hosts = self.nodes.advance(now, &mut self.out);
        let next = self
            .due
            .first()
            .map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0);
        hosts.min(next)
    }

    /// Does what is due on one stream.
    fn look(&mut self, now: Ms, stream: StreamId) {
        let Some(open) = self.open.get_mut(&stream) else {
            return;
        };
        let take_within = self.rules.accept_timeout;
        match &mut open.is {
            Use::Stranger => {
                let by = open.since + self.rules.join_timeout;
                if now >= by {
                    self.out.count("streams_silent", 1);
                    self.end(
                        now,
                        stream,
                        StatusCode::DeadlineExceeded,
                        "it has not said who it is in time",
                    );
                } else {
                    self.schedule(stream, by);
                }
            }
            Use::Tables(who, ads) => {
                let proxy = who.proxy;
                if ads.taking().is_some_and(|since| now - since >= take_within) {
                    self.out.count("streams_untaken", 1);
                    return self.end(
                        now,
                        stream,
                        StatusCode::Unavailable,
                        "it does not read what it is sent",
                    );
                }
                let came = ads.advance(now, proxy, &mut self.cache);
                let deadline = ads
                    .taking()
                    .map_or(f64::INFINITY, |since| since + take_within);
                let next = ads.next(now).min(deadline);
                self.carry(stream, proxy, came);
                self.schedule(stream, next);
            }
            Use::Loads(_, loads) => {
                if now >= loads.silent_at() {
                    self.out.count("loads_stalled", 1);
                    return self.end(
                        now,
                        stream,
                        StatusCode::DeadlineExceeded,
                        "it has not reported for too long",
                    );
                }
                let (events, next) = (loads.released(now), loads.due());
                if !events.is_empty() {
                    self.out.count("loads_taken", 1);
                    self.out.events.extend(events);
                }
                self.schedule(stream, next);
            }
        }
    }
}
