//! Streams are opened, identify themselves, send requests, and close.

use super::open_streams::{OpenStream, StreamUse};
use super::state::Streams;
use crate::discovery::{DiscoveryStream, Outcome};
use crate::interface::{ConnectionId, Effect, Input, StatusCode, StreamId, StreamKind};
use crate::messages::{CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, Request};
use crate::outbox::Severity;
use crate::registry::ProxyIdentity;
use rushcourse_policy::interface::{Channel, Event, Ms, ProxyId};

/// Requests a second that a proxy is taken to serve where its node names no rate.
const DEFAULT_RATE: f64 = 1.0;
/// The highest rate that is believed.
const MAX_RATE: f64 = 1e6;
/// The status message of streams that end with the process.
const SHUTTING_DOWN: &str = "this director is about to end";

impl Streams {
    /// Takes what was read; what comes of it waits in the outbox.
    pub fn step(&mut self, now: Ms, input: Input) {
        match input {
            Input::StreamOpened {
                stream,
                connection,
                kind,
                peer,
            } => self.on_opened(now, stream, OpenStream::new(now, kind, connection, peer)),
            Input::RequestReceived { stream, request } => self.on_request(now, stream, request),
            Input::ResponseAccepted { stream } => {
                if let Some(discovery) = self.open.discovery_mut(stream) {
                    discovery.on_response_accepted();
                    self.open.touch(stream);
                }
            }
            Input::StreamClosed { stream, reason } => self.on_closed(now, stream, &reason),
            Input::ReportStreamOpened { host, dial } => {
                self.report_streams.opened(now, &host, dial);
            }
            Input::ReportReceived { host, dial, report } => {
                self.report_streams
                    .report(now, &host, dial, &report, &mut self.outbox);
            }
            Input::ReportStreamClosed { host, dial, reason } => {
                self.report_streams
                    .closed(now, &host, dial, &reason, &mut self.outbox);
            }
        }
    }

    /// A stream was opened. Where too many have not identified themselves, the oldest of them ends; where there are too
    /// many streams in all, the new one does: proxies that have joined are served on.
    fn on_opened(&mut self, now: Ms, stream: StreamId, open: OpenStream) {
        self.outbox.count("streams_opened", 1);
        self.open.insert(stream, open);
        self.open.schedule(stream, now + self.config.join_timeout);
        if self.is_shutting_down {
            return self.end(now, stream, StatusCode::Unavailable, SHUTTING_DOWN);
        }
        let limits = self.config.limits;
        if let Some(oldest) = self.oldest_unidentified_beyond(limits.max_unidentified) {
            self.outbox.count("streams_crowded", 1);
            let message = "too many that don't say who they are";
            self.end(now, oldest, StatusCode::ResourceExhausted, message);
        }
        if self.open.len() > limits.max_streams {
            self.outbox.count("streams_crowded", 1);
            self.end(
                now,
                stream,
                StatusCode::ResourceExhausted,
                "too many streams",
            );
        }
    }

    /// The oldest stream that has not identified itself, where there are more than `max` such streams.
    fn oldest_unidentified_beyond(&self, max: usize) -> Option<StreamId> {
        let mut unidentified = self
            .open
            .iter()
            .filter(|(_, open)| open.is_unidentified())
            .map(|(stream, _)| stream);
        let oldest = unidentified.next()?;
        let count = 1 + unidentified.count();
        (count > max).then_some(oldest)
    }

    fn on_closed(&mut self, now: Ms, stream: StreamId, reason: &str) {
        let Some(open) = self.remove(now, stream) else {
            return;
        };
        if !reason.is_empty() {
            self.outbox.count("streams_broken", 1);
            self.outbox.log(
                Severity::Info,
                "stream ended",
                format!("{}: {reason}", open.peer),
            );
        }
    }

    /// The proxy has joined by the platform's relay: its stream is not its any more.
    pub fn supersede(&mut self, now: Ms, proxy: ProxyId) {
        if let Some(stream) = self.registry.stream(proxy) {
            self.registry.release(now, proxy, stream);
            self.cache.forget(proxy);
            self.outbox.count("streams_superseded", 1);
            self.end(
                now,
                stream,
                StatusCode::Aborted,
                "this relay has joined another way",
            );
        }
    }

    /// The director is about to end, or to serve no streams: all of them end, and none is accepted.
    pub fn shut_down(&mut self, now: Ms) {
        self.is_shutting_down = true;
        let all: Vec<StreamId> = self.open.iter().map(|(stream, _)| stream).collect();
        for stream in all {
            self.end(now, stream, StatusCode::Unavailable, SHUTTING_DOWN);
        }
    }

    /// A request: the first one identifies the stream.
    fn on_request(&mut self, now: Ms, stream: StreamId, request: Request) {
        let Some(open) = self.open.get(stream) else {
            return;
        };
        if open.is_unidentified() {
            let (kind, connection) = (open.kind, open.connection);
            if !self.identify(now, stream, kind, connection, &request) {
                return;
            }
        }
        self.open.touch(stream);
        self.dispatch(now, stream, &request);
    }

    /// Identifies a stream by its first request. Returns whether it may be served.
    fn identify(
        &mut self,
        now: Ms,
        stream: StreamId,
        kind: StreamKind,
        connection: ConnectionId,
        request: &Request,
    ) -> bool {
        let identity = match self.registry.identify(request.node()) {
            Ok(identity) => identity,
            Err(rejection) => {
                self.reject(now, stream, &rejection);
                return false;
            }
        };
        if kind == StreamKind::LoadReporting {
            self.start_reporting(now, stream, identity);
            return true;
        }
        match self.registry.claim(now, identity.proxy, stream, connection) {
            Ok(replaced) => {
                if let Some(replaced) = replaced {
                    self.outbox.count("streams_replaced", 1);
                    let message = "its relay has opened a newer stream";
                    self.end(now, replaced, StatusCode::Aborted, message);
                }
                self.join(stream, kind, identity, request);
                true
            }
            Err(rejection) => {
                self.reject(now, stream, &rejection);
                false
            }
        }
    }

    /// A proxy joins by a stream.
    fn join(
        &mut self,
        stream: StreamId,
        kind: StreamKind,
        identity: ProxyIdentity,
        request: &Request,
    ) {
        let proxy = identity.proxy;
        // The policy binds it anew, whatever it held: nothing is sent before that.
        self.cache.forget(proxy);
        let rate = request.node().and_then(|node| node.rate);
        self.outbox.event(Event::ProxyJoined {
            proxy,
            zone: identity.zone,
            rate: rate
                .filter(|rate| rate.is_finite() && *rate > 0.0 && *rate <= MAX_RATE)
                .unwrap_or(DEFAULT_RATE),
            is_fresh: holds_nothing(request),
            channel: Channel::Dedicated,
        });
        if let Some(open) = self.open.get_mut(stream) {
            let discovery = DiscoveryStream::new(
                kind == StreamKind::StateOfTheWorld,
                self.config.incarnation,
                self.settings.channel.max_messages,
                self.settings.channel.message_window,
            );
            open.used_for = StreamUse::Discovery(identity, Box::new(discovery));
            let text = format!("{} is relay {proxy}", open.peer);
            self.outbox.log(Severity::Info, "relay", text);
        }
    }

    /// A request on a stream that has identified itself.
    fn dispatch(&mut self, now: Ms, stream: StreamId, request: &Request) {
        let Some(open) = self.open.get_mut(stream) else {
            return;
        };
        match (&mut open.used_for, request) {
            (StreamUse::Discovery(identity, discovery), Request::Discovery(request))
                if open.kind == StreamKind::StateOfTheWorld =>
            {
                let proxy = identity.proxy;
                let outcome =
                    is_served(&request.type_url).then(|| discovery.on_request(now, request));
                self.on_outcome(now, stream, proxy, outcome);
            }
            (StreamUse::Discovery(identity, discovery), Request::Delta(request))
                if open.kind == StreamKind::Delta =>
            {
                let proxy = identity.proxy;
                let outcome = is_served(&request.type_url)
                    .then(|| discovery.on_delta_request(now, request, &self.cache));
                self.on_outcome(now, stream, proxy, outcome);
            }
            (StreamUse::LoadReporting(identity, _), Request::LoadStats(request)) => {
                let reporter = *identity;
                self.on_load_report(now, stream, reporter, request);
            }
            _ => self
                .outbox
                .violated("a stream bears messages of its service"),
        }
    }

    /// Does what came of a discovery request; nothing came of it where its type of resource is not served.
    fn on_outcome(&mut self, now: Ms, stream: StreamId, proxy: ProxyId, outcome: Option<Outcome>) {
        self.registry.record_activity(now, proxy);
        match outcome {
            Some(outcome) => self.carry_out(stream, proxy, outcome),
            // Types of resources that are not served here are never answered, as the protocol has it.
            None => self.outbox.count("types_unserved", 1),
        }
        let discovery = self.open.discovery_mut(stream);
        if discovery.is_some_and(|discovery| discovery.has_too_many_names()) {
            self.outbox.count("streams_refused", 1);
            self.end(
                now,
                stream,
                StatusCode::ResourceExhausted,
                "it asks for more names than there may be",
            );
        }
    }

    /// Counters, log entries, events and the response that came of one look at a discovery stream.
    pub(super) fn carry_out(&mut self, stream: StreamId, proxy: ProxyId, outcome: Outcome) {
        for counter in outcome.increments {
            self.outbox.count(counter, 1);
        }
        if let Some(error) = outcome.nack {
            let text = format!("relay {proxy} does not take its tables: {error}");
            self.outbox.log(Severity::Warning, "tables refused", text);
        }
        if let Some(acknowledged) = outcome.acknowledged {
            self.outbox.event(Event::Acknowledged {
                ack_number: acknowledged.ack_number,
                proxy,
                elapsed: acknowledged.elapsed,
                channel: Channel::Dedicated,
            });
        }
        if let Some(not_applied) = outcome.not_applied {
            self.outbox.event(Event::NotApplied {
                proxy,
                ack_number: not_applied.ack_number,
                is_resent: not_applied.is_resent,
            });
        }
        if let Some(response) = outcome.response {
            self.outbox.count("tables_sent", 1);
            self.outbox
                .effect(Effect::SendResponse { stream, response });
        }
    }
}

fn is_served(type_url: &str) -> bool {
    type_url == CLUSTER_LOAD_ASSIGNMENT_TYPE_URL
}

/// Whether a proxy holds no table from an earlier stream, by its first request.
fn holds_nothing(request: &Request) -> bool {
    match request {
        Request::Discovery(request) => request.version_info.is_empty(),
        Request::Delta(request) => request.initial_resource_versions.is_empty(),
        Request::LoadStats(_) => true,
    }
}
