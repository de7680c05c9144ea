//! The streams that are open, their schedule, and how one ends.

use crate::ads::Ads;
use crate::config::StreamConfig;
use crate::interface::{ConnectionId, Effect, StatusCode, StreamId, StreamKind};
use crate::loads::Loads;
use crate::members::{Members, Refusal, Who};
use crate::nodes::Nodes;
use crate::outbox::{Outbox, Severity};
use crate::resources::ResourceCache;
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// The shortest pause between load reports that is asked for, in ms.
const REPORT_LEAST: Ms = 100.0;

/// What a stream is used for, once it has said who it is.
#[derive(Debug)]
pub(super) enum Use {
    Stranger,
    Tables(Who, Box<Ads>),
    Loads(Who, Loads),
}

/// A stream that is open.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) service: StreamKind,
    pub(super) connection: ConnectionId,
    pub(super) peer: String,
    pub(super) since: Ms,
    pub(super) is: Use,
    /// When it is looked at next.
    pub(super) next: u64,
}

/// All streams of this director, by their numbers.
#[derive(Debug)]
pub struct Streams {
    pub(super) rules: StreamConfig,
    pub(super) settings: Settings,
    pub(super) cache: ResourceCache,
    pub(super) members: Members,
    pub(super) nodes: Nodes,
    pub(super) open: BTreeMap<StreamId, Open>,
    /// Streams that something has touched, and when the others are due, in µs.
    pub(super) touched: BTreeSet<StreamId>,
    pub(super) due: BTreeSet<(u64, StreamId)>,
    /// No stream is taken any more.
    pub(super) closing: bool,
    pub(super) out: Outbox,
}

/// A time as whole µs; what is never due is the largest number.
pub(super) fn micros(at: Ms) -> u64 {
    if at.is_finite() {
        (at.max(0.0) * 1000.0).ceil() as u64
    } else {
        u64::MAX
    }
}

/// ms between two load reports of a relay or host.
pub(super) fn report_interval(settings: &Settings) -> Ms {
    settings.report_interval.max(REPORT_LEAST)
}

impl Streams {
    /// No stream yet, under these rules.
    pub fn new(rules: StreamConfig, settings: &Settings, names: &Names) -> Streams {
        let every = report_interval(settings);
        Streams {
            cache: ResourceCache::new(settings, names, rules.incarnation),
            members: Members::new(
                rules.identities.clone(),
                names.zones.clone(),
                settings.fleet.proxies,
            ),
            nodes: Nodes::new(
                every,
                if rules.request_host_reports {
                    rules.limits.max_report_streams
                } else {
                    0
                },
                rules.incarnation,
            ),
            settings: settings.clone(),
            rules,
            open: BTreeMap::new(),
            touched: BTreeSet::new(),
            due: BTreeSet::new(),
            closing: false,
            out: Outbox::default(),
        }
    }

    /// These rules hold from now on. The epoch stays: it is this life's. Who is joined stays, whatever its name.
    pub fn set_config(&mut self, rules: StreamConfig) {
        self.members.identities_are(rules.identities.clone());
        self.nodes.most_is(if rules.request_host_reports {
            rules.limits.max_report_streams
        } else {
            0
        });
        self.rules = StreamConfig {
            incarnation: self.rules.incarnation,
            ..rules
        };
    }

    /// Hands over all that came of the steps so far.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.out)
    }

    /// Current sizes: name, help, value.
    pub fn gauges(&self) -> Vec<(&'static str, &'static str, f64)> {
        let of = |service: StreamKind| {
            self.open.values().filter(|o| o.service == service).count() as f64
        };
        let strangers = self
            .open
            .values()
            .filter(|o| matches!(o.is, Use::Stranger))
            .count();
        let ads = || {
            self.open.values().filter_map(|o| match &o.is {
                Use::Tables(_, ads) => Some(&**ads),
                _ => None,
            })
        };
        let unanswered: usize = ads().map(Ads::unanswered).sum();
        let stalled = ads().filter(|a| a.taking().is_some()).count();
        vec![
            (
                "streams_whole",
                "Streams of relays for tables, state of the world.",
                of(StreamKind::StateOfTheWorld),
            ),
            (
                "streams_delta",
                "Streams of relays for tables, incremental.",
                of(StreamKind::Delta),
            ),
            (
                "streams_load",
                "Streams of relays for load reports.",
                of(StreamKind::LoadReporting),
            ),
            (
                "streams_strange",
                "Streams that have not said who they are.",
                strangers as f64,
            ),
            (
                "streams_joined",
                "Proxies that are joined by a stream.",
                self.members.count() as f64,
            ),
            (
                "streams_unanswered",
                "Responses with tables that no answer has come to.",
                unanswered as f64,
            ),
            (
                "streams_stalled",
                "Streams whose transport has not taken the last response.",
                stalled as f64,
            ),
            (
                "streams_entries",
                "What is remembered of tables for streams.",
                self.cache.kept() as f64,
            ),
            (
                "streams_lines_lost",
                "Lines left out of tables as their host had no address.",
                self.cache.lost() as f64,
            ),
            (
                "nodes_asked",
                "Hosts that are asked for their load.",
                self.nodes.count() as f64,
            ),
            (
                "nodes_live",
                "Hosts whose report stream stands.",
                self.nodes.live() as f64,
            ),
            (
                "nodes_beyond",
                "Hosts that are not asked as there are too many.",
                self.nodes.beyond() as f64,
            ),
        ]
    }

    /// Looks at a stream at this time next.
    pub(super) fn schedule(&mut self, stream: StreamId, at: Ms) {
        let Some(open) = self.open.get_mut(&stream) else {
            return;
        };
        let next = micros(at);
        if open.next != next {
            self.due.remove(&(open.next, stream));
            open.next = next;
            if next != u64::MAX {
                self.due.insert((next, stream));
            }
        }
    }

    /// Forgets a stream and all that rests on it.
    pub(super) fn remove(&mut self, now: Ms, stream: StreamId) -> Option<Open> {
        let open = self.open.remove(&stream)?;
        self.due.remove(&(open.next, stream));
        self.touched.remove(&stream);
        if let Use::Tables(who, _) = &open.is
            && self.members.ended(now, who.proxy, stream)
        {
            self.cache.forget(who.proxy);
            self.out.event(Event::ProxyLeft {
                proxy: who.proxy,
                channel: Channel::Dedicated,
            });
        }
        Some(open)
    }

    /// Ends a stream with a status.
    pub(super) fn end(&mut self, now: Ms, stream: StreamId, code: StatusCode, why: &str) {
        if let Some(open) = self.remove(now, stream) {
            self.out.count("streams_ended", 1);
            self.out.log(
                Severity::Warning,
                "stream closed",
                format!("{}: {why}", open.peer),
            );
            self.out.effect(Effect::EndStream {
                stream,
                status: code,
                message: why.into(),
            });
        }
    }

    /// Ends a stream that may not be served, and counts why.
    pub(super) fn refuse(&mut self, now: Ms, stream: StreamId, refusal: Refusal) {
        self.out.count("streams_refused", 1);
        self.out.count(refusal.count, 1);
        self.end(now, stream, refusal.code, &refusal.why);
    }
}
