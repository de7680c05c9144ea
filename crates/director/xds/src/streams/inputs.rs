//! Handling of inputs: opening, identification, requests and end of streams.

use super::open_streams::{OpenStream, StreamRole};
use super::state::Streams;
use crate::discovery::{DiscoveryOutcome, DiscoveryStream};
use crate::interface::{ConnectionId, Effect, Input, StatusCode, StreamId, StreamKind};
use crate::messages::{CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, Request};
use crate::outbox::Severity;
use crate::registry::ProxyIdentity;
use rushcourse_policy::interface::{Channel, Event, Ms, ProxyId};

/// Assumed rate of a proxy whose node states none, in requests per second.
const DEFAULT_RATE: f64 = 1.0;
/// Highest plausible rate, in requests per second. A node's rate above it is ignored.
const MAX_RATE: f64 = 1e6;
/// Status message of streams that are ended by the shutdown of the director.
const SHUTTING_DOWN: &str = "this director is about to end";

impl Streams {
    /// Handles an input; results are appended to the outbox.
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
                if let Some(discovery) = self.open_streams.discovery_mut(stream) {
                    discovery.on_response_accepted();
                    self.open_streams.mark_ready(stream);
                }
            }
            Input::StreamClosed { stream, reason } => self.on_closed(now, stream, &reason),
            Input::ReportStreamOpened { host, dial } => {
                self.report_streams.on_opened(now, &host, dial);
            }
            Input::ReportReceived { host, dial, report } => {
                self.report_streams
                    .on_report(now, &host, dial, &report, &mut self.outbox);
            }
            Input::ReportStreamClosed { host, dial, reason } => {
                self.report_streams
                    .on_closed(now, &host, dial, &reason, &mut self.outbox);
            }
        }
    }

    /// Handles a new stream. Beyond `max_unidentified`, the oldest unidentified stream is ended. Beyond `max_streams`,
    /// the new stream is ended, so that joined proxies keep theirs.
    fn on_opened(&mut self, now: Ms, stream: StreamId, open: OpenStream) {
        self.outbox.count("streams_opened", 1);
        self.open_streams.insert(stream, open);
        self.open_streams
            .schedule(stream, now + self.config.join_timeout);
        if self.is_shutting_down {
            return self.end(now, stream, StatusCode::Unavailable, SHUTTING_DOWN);
        }
        let limits = self.config.limits;
        if let Some(oldest) = self.oldest_unidentified_beyond(limits.max_unidentified) {
            self.outbox.count("streams_crowded", 1);
            let message = "too many that don't say who they are";
            self.end(now, oldest, StatusCode::ResourceExhausted, message);
        }
        if self.open_streams.len() > limits.max_streams {
            self.outbox.count("streams_crowded", 1);
            self.end(
                now,
                stream,
                StatusCode::ResourceExhausted,
                "too many streams",
            );
        }
    }

    /// The oldest unidentified stream, if there are more than `max` of them.
    fn oldest_unidentified_beyond(&self, max: usize) -> Option<StreamId> {
        let mut unidentified = self
            .open_streams
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

    /// Ends a proxy's discovery stream after the proxy has joined through the platform's relay.
    pub fn supersede(&mut self, now: Ms, proxy: ProxyId) {
        if let Some(stream) = self.registry.stream(proxy) {
            self.registry.release(now, proxy, stream);
            self.cache.remove_proxy(proxy);
            self.outbox.count("streams_superseded", 1);
            self.end(
                now,
                stream,
                StatusCode::Aborted,
                "this relay has joined another way",
            );
        }
    }

    /// Ends all streams and rejects new ones; called when the director shuts down or stops serving streams.
    pub fn shut_down(&mut self, now: Ms) {
        self.is_shutting_down = true;
        let all: Vec<StreamId> = self.open_streams.iter().map(|(stream, _)| stream).collect();
        for stream in all {
            self.end(now, stream, StatusCode::Unavailable, SHUTTING_DOWN);
        }
    }

    /// Handles a request; the first one of a stream identifies the proxy.
    fn on_request(&mut self, now: Ms, stream: StreamId, request: Request) {
        let Some(open) = self.open_streams.get(stream) else {
            return;
        };
        if open.is_unidentified() {
            let (kind, connection) = (open.kind, open.connection);
            if !self.identify(now, stream, kind, connection, &request) {
                return;
            }
        }
        self.open_streams.mark_ready(stream);
        self.dispatch(now, stream, &request);
    }

    /// Identifies the proxy of a stream's first request. Returns false if the stream was rejected.
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

    /// Registers a proxy with the policy and sets up its discovery stream.
    fn join(
        &mut self,
        stream: StreamId,
        kind: StreamKind,
        identity: ProxyIdentity,
        request: &Request,
    ) {
        let proxy = identity.proxy;
        // No response may be sent on old bindings: the policy binds the proxy again after it joins.
        self.cache.remove_proxy(proxy);
        let rate = request.node().and_then(|node| node.rate);
        self.outbox.event(Event::ProxyJoined {
            proxy,
            zone: identity.zone,
            rate: rate
                .filter(|rate| rate.is_finite() && *rate > 0.0 && *rate <= MAX_RATE)
                .unwrap_or(DEFAULT_RATE),
            is_fresh: holds_no_resources(request),
            channel: Channel::Dedicated,
        });
        if let Some(open) = self.open_streams.get_mut(stream) {
            let discovery = DiscoveryStream::new(
                kind == StreamKind::StateOfTheWorld,
                self.config.incarnation,
                self.settings.channel.max_messages,
                self.settings.channel.message_window,
            );
            open.role = StreamRole::Discovery(identity, Box::new(discovery));
            let text = format!("{} is relay {proxy}", open.peer);
            self.outbox.log(Severity::Info, "relay", text);
        }
    }

    /// Passes a request of an identified stream to its handler.
    fn dispatch(&mut self, now: Ms, stream: StreamId, request: &Request) {
        let Some(open) = self.open_streams.get_mut(stream) else {
            return;
        };
        match (&mut open.role, request) {
            (StreamRole::Discovery(identity, discovery), Request::Discovery(request))
                if open.kind == StreamKind::StateOfTheWorld =>
            {
                let proxy = identity.proxy;
                let outcome =
                    is_served_type(&request.type_url).then(|| discovery.on_request(now, request));
                self.on_discovery_outcome(now, stream, proxy, outcome);
            }
            (StreamRole::Discovery(identity, discovery), Request::Delta(request))
                if open.kind == StreamKind::Delta =>
            {
                let proxy = identity.proxy;
                let outcome = is_served_type(&request.type_url)
                    .then(|| discovery.on_delta_request(now, request, &self.cache));
                self.on_discovery_outcome(now, stream, proxy, outcome);
            }
            (StreamRole::LoadReporting(identity, _), Request::LoadStats(request)) => {
                let reporter = *identity;
                self.on_load_report(now, stream, reporter, request);
            }
            _ => self
                .outbox
                .record_violation("a stream carries only requests of its own kind"),
        }
    }

    /// Applies the outcome of a discovery request; `None` stands for a request of a resource type that is not served.
    fn on_discovery_outcome(
        &mut self,
        now: Ms,
        stream: StreamId,
        proxy: ProxyId,
        outcome: Option<DiscoveryOutcome>,
    ) {
        self.registry.record_activity(now, proxy);
        match outcome {
            Some(outcome) => self.apply_outcome(stream, proxy, outcome),
            // The protocol has requests for unsupported resource types left unanswered.
            None => self.outbox.count("types_unserved", 1),
        }
        let discovery = self.open_streams.discovery_mut(stream);
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

    /// Passes counters, log entries, events and the response of an outcome to the outbox.
    pub(super) fn apply_outcome(
        &mut self,
        stream: StreamId,
        proxy: ProxyId,
        outcome: DiscoveryOutcome,
    ) {
        for counter in outcome.increments {
            self.outbox.count(counter, 1);
        }
        if let Some(error) = outcome.nack {
            let text = format!("relay {proxy} rejected a response: {error}");
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

fn is_served_type(type_url: &str) -> bool {
    type_url == CLUSTER_LOAD_ASSIGNMENT_TYPE_URL
}

/// Whether the first request shows that the proxy holds no resource from an earlier stream.
fn holds_no_resources(request: &Request) -> bool {
    match request {
        Request::Discovery(request) => request.version_info.is_empty(),
        Request::Delta(request) => request.initial_resource_versions.is_empty(),
        Request::LoadStats(_) => true,
    }
}
