//! Load reports of relays.

use super::state::{Open, Streams, Use, report_interval};
use crate::interface::{Effect, StatusCode, StreamId};
use crate::loads::{self, Loads};
use crate::members::Who;
use crate::messages::{LoadStatsRequest, LoadStatsResponse, Response};
use crate::outbox::Severity;
use rushcourse_policy::interface::*;

impl Streams {
    /// The stream is a proxy's report stream from now on.
    pub(super) fn reports(&mut self, now: Ms, stream: StreamId, who: Who) {
        let every = report_interval(&self.settings);
        // A relay reports on one stream: an earlier one is of before.
        let is_old = |o: &Open| matches!(&o.is, Use::Loads(w, _) if w.proxy == who.proxy);
        let old = self
            .open
            .iter()
            .find(|(_, o)| is_old(o))
            .map(|(stream, _)| *stream);
        old.into_iter().for_each(|old| {
            self.end(
                now,
                old,
                StatusCode::Aborted,
                "its relay reports on a newer stream",
            )
        });
        if let Some(open) = self.open.get_mut(&stream) {
            open.is = Use::Loads(who, Loads::new(now, every));
            self.out.effect(Effect::SendResponse {
                stream,
                response: Response::LoadStats(LoadStatsResponse {
                    load_reporting_interval: every,
                }),
            });
        }
    }

    /// One message with load reports.
    pub(super) fn loads(&mut self, now: Ms, stream: StreamId, who: Who, stats: &LoadStatsRequest) {
        self.members.heard(now, who.proxy);
        // The first message only names the node.
        if stats.cluster_stats.is_empty() {
            return;
        }
        let load_of = |host: &HostId| self.nodes.load(now, host);
        match loads::read(
            stats,
            who.proxy,
            who.zone,
            &self.settings,
            &self.cache,
            load_of,
        ) {
            Ok((events, unlisted)) => {
                if unlisted > 0 {
                    self.out.count("loads_unlisted", unlisted);
                }
                if let Some(Open {
                    is: Use::Loads(_, loads),
                    ..
                }) = self.open.get_mut(&stream)
                {
                    let (events, count) = loads.take(now, events);
                    count.into_iter().for_each(|name| self.out.count(name, 1));
                    self.out.events.extend(events);
                }
            }
            Err((count, why)) => {
                self.out.count(count, 1);
                self.out.log(
                    Severity::Info,
                    "load report skipped",
                    format!("relay {}: {why}", who.proxy),
                );
            }
        }
    }
}
