//! Streams come, say who they are, and go.

use super::state::{Open, Streams, Use};
use crate::ads::Ads;
use crate::interface::{ConnectionId, Input, StatusCode, StreamId, StreamKind};
use crate::members::Who;
use crate::messages::{CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, Request};
use crate::outbox::Severity;
use rushcourse_policy::interface::*;

/// Requests a second that a relay is taken to bring where its node says nothing.
const USUAL_RATE: f64 = 1.0;
/// No relay brings more.
const RATE_MOST: f64 = 1e6;

impl Streams {
    /// Takes what was read; what comes of it waits in the outbox.
    pub fn step(&mut self, now: Ms, input: Input) {
        match input {
            Input::StreamOpened {
                stream,
                connection,
                kind,
                peer,
            } => self.opened(now, stream, connection, kind, peer),
            Input::RequestReceived { stream, request } => self.said(now, stream, request),
            Input::ResponseAccepted { stream } => {
                if let Some(Open {
                    is: Use::Tables(_, ads),
                    ..
                }) = self.open.get_mut(&stream)
                {
                    ads.taken();
                    self.touched.insert(stream);
                }
            }
            Input::StreamClosed { stream, reason } => {
                if let Some(open) = self.remove(now, stream).filter(|_| !reason.is_empty()) {
                    self.out.count("streams_broken", 1);
                    self.out.log(
                        Severity::Info,
                        "stream ended",
                        format!("{}: {reason}", open.peer),
                    );
                }
            }
            Input::ReportStreamOpened { host, dial } => self.nodes.up(now, &host, dial),
            Input::ReportReceived { host, dial, report } => {
                self.nodes.said(now, &host, dial, &report, &mut self.out)
            }
            Input::ReportStreamClosed { host, dial, reason } => {
                self.nodes.down(now, &host, dial, &reason, &mut self.out)
            }
        }
    }

    /// Somebody opened a stream. Where there are too many strangers, who came first of them goes; where there are
    /// too many streams in all, the newcomer does: who is joined is served.
    fn opened(
        &mut self,
        now: Ms,
        stream: StreamId,
        connection: ConnectionId,
        service: StreamKind,
        peer: String,
    ) {
        self.out.count("streams_opened", 1);
        let is = Use::Stranger;
        self.open.insert(
            stream,
            Open {
                service,
                connection,
                peer,
                since: now,
                is,
                next: u64::MAX,
            },
        );
        self.schedule(stream, now + self.rules.join_timeout);
        if self.closing {
            return self.end(
                now,
                stream,
                StatusCode::Unavailable,
                "this director is about to end",
            );
        }
        let strangers = || {
            self.open
                .iter()
                .filter(|(_, o)| matches!(o.is, Use::Stranger))
        };
        if strangers().count() > self.rules.limits.max_unidentified {
            let first = strangers().next().map(|(stream, _)| *stream);
            self.out.count("streams_crowded", 1);
            self.end(
                now,
                first.unwrap_or(stream),
                StatusCode::ResourceExhausted,
                "too many that don't say who they are",
            );
        }
        if self.open.len() > self.rules.limits.max_streams {
            self.out.count("streams_crowded", 1);
            self.end(
                now,
                stream,
                StatusCode::ResourceExhausted,
                "too many streams",
            );
        }
    }

    /// The proxy has joined another way: its stream is not its any more.
    pub fn supersede(&mut self, now: Ms, proxy: ProxyId) {
        if let Some(stream) = self.members.stream(proxy) {
            self.members.ended(now, proxy, stream);
            self.cache.forget(proxy);
            self.out.count("streams_superseded", 1);
            self.end(
                now,
                stream,
                StatusCode::Aborted,
                "this relay has joined another way",
            );
        }
    }

    /// The director is about to end: all streams go, and none is taken.
    pub fn shut_down(&mut self, now: Ms) {
        self.closing = true;
        for stream in self.open.keys().copied().collect::<Vec<_>>() {
            self.end(
                now,
                stream,
                StatusCode::Unavailable,
                "this director is about to end",
            );
        }
    }

    /// A stream says something: who it is first, then what its service is for.
    fn said(&mut self, now: Ms, stream: StreamId, said: Request) {
        let Some(open) = self.open.get_mut(&stream) else {
            return;
        };
        if matches!(open.is, Use::Stranger) {
            let node = said.node();
            let (rate, service) = (node.and_then(|n| n.rate), open.service);
            match self.members.who(node) {
                Err(refusal) => return self.refuse(now, stream, refusal),
                Ok(who) if service == StreamKind::LoadReporting => self.reports(now, stream, who),
                Ok(who) => {
                    let fresh = match &said {
                        Request::Discovery(ask) => ask.version_info.is_empty(),
                        Request::Delta(ask) => ask.initial_resource_versions.is_empty(),
                        Request::LoadStats(_) => true,
                    };
                    if !self.join(now, stream, who, rate, fresh) {
                        return;
                    }
                }
            }
        }
        self.touched.insert(stream);
        let Some(open) = self.open.get_mut(&stream) else {
            return;
        };
        match (&mut open.is, said) {
            (Use::Tables(who, ads), Request::Discovery(ask))
                if open.service == StreamKind::StateOfTheWorld =>
            {
                let who = *who;
                let came = if ask.type_url == CLUSTER_LOAD_ASSIGNMENT_TYPE_URL {
                    Some(ads.asked(now, &ask))
                } else {
                    None
                };
                self.came(now, stream, who, came);
            }
            (Use::Tables(who, ads), Request::Delta(ask)) if open.service == StreamKind::Delta => {
                let who = *who;
                let ours = ask.type_url == CLUSTER_LOAD_ASSIGNMENT_TYPE_URL;
                let came = if ours {
                    Some(ads.delta_asked(now, &ask, &self.cache))
                } else {
                    None
                };
                self.came(now, stream, who, came);
            }
            (Use::Loads(who, _), Request::LoadStats(stats)) => {
                let who = *who;
                self.loads(now, stream, who, &stats);
            }
            _ => self.out.violated("a stream bears messages of its service"),
        }
    }

    /// The stream is a proxy's from now on, if it may be. Answers whether it is.
    fn join(
        &mut self,
        now: Ms,
        stream: StreamId,
        who: Who,
        rate: Option<f64>,
        fresh: bool,
    ) -> bool {
        let (proxy, zone) = (who.proxy, who.zone);
        let connection = self
            .open
            .get(&stream)
            .map_or(ConnectionId(0), |o| o.connection);
        match self.members.claim(now, proxy, stream, connection) {
            Err(refusal) => {
                self.refuse(now, stream, refusal);
                return false;
            }
            Ok(Some(old)) => {
                self.out.count("streams_replaced", 1);
                self.end(
                    now,
                    old,
                    StatusCode::Aborted,
                    "its relay has opened a newer stream",
                );
            }
            Ok(None) => {}
        }
        // Bound anew by the module, whatever it held: nothing is sent before that.
        self.cache.forget(proxy);
        let rate = rate
            .filter(|r| r.is_finite() && *r > 0.0 && *r <= RATE_MOST)
            .unwrap_or(USUAL_RATE);
        self.out.event(Event::ProxyJoined {
            proxy,
            zone,
            rate,
            is_fresh: fresh,
            channel: Channel::Dedicated,
        });
        let channel = &self.settings.channel;
        let (cap, over) = (channel.max_messages, channel.message_window);
        if let Some(open) = self.open.get_mut(&stream) {
            let ads = Ads::new(
                open.service == StreamKind::StateOfTheWorld,
                self.rules.incarnation,
                cap,
                over,
            );
            open.is = Use::Tables(who, Box::new(ads));
            self.out.log(
                Severity::Info,
                "relay",
                format!("{} is relay {proxy}", open.peer),
            );
        }
        true
    }
}
