//! The state of all streams as a whole, and how a stream is ended.

use super::open_streams::{OpenStream, OpenStreams, StreamUse};
use crate::config::StreamConfig;
use crate::interface::{Effect, StatusCode, StreamId};
use crate::outbox::{Outbox, Severity};
use crate::registry::{ProxyRegistry, Rejection};
use crate::report_streams::ReportStreams;
use crate::resources::ResourceCache;
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::{Channel, Event, Ms, Settings};

/// The shortest interval between load reports that is asked for, in ms.
const MIN_REPORT_INTERVAL: Ms = 100.0;

/// All streams of this director. `step` takes what was read, `advance` does what is due; events for the policy,
/// effects, log entries and counters wait in the outbox.
#[derive(Debug)]
pub struct Streams {
    pub(super) config: StreamConfig,
    pub(super) settings: Settings,
    pub(super) cache: ResourceCache,
    pub(super) registry: ProxyRegistry,
    pub(super) report_streams: ReportStreams,
    pub(super) open: OpenStreams,
    /// No stream is accepted any more.
    pub(super) is_shutting_down: bool,
    pub(super) outbox: Outbox,
}

/// ms between two load reports of a proxy or host.
pub(super) fn report_interval(settings: &Settings) -> Ms {
    settings.report_interval.max(MIN_REPORT_INTERVAL)
}

fn max_report_streams(config: &StreamConfig) -> usize {
    if config.request_host_reports {
        config.limits.max_report_streams
    } else {
        0
    }
}

impl Streams {
    /// No stream yet.
    pub fn new(config: StreamConfig, settings: &Settings, names: &Names) -> Streams {
        Streams {
            cache: ResourceCache::new(settings, names, config.incarnation),
            registry: ProxyRegistry::new(
                config.identities.clone(),
                names.zones.clone(),
                settings.fleet.proxies,
            ),
            report_streams: ReportStreams::new(
                report_interval(settings),
                max_report_streams(&config),
                config.incarnation,
            ),
            settings: settings.clone(),
            config,
            open: OpenStreams::default(),
            is_shutting_down: false,
            outbox: Outbox::default(),
        }
    }

    /// Follows another configuration from now on. The incarnation stays, as it is this run's; who has joined stays,
    /// whatever its name.
    pub fn set_config(&mut self, config: StreamConfig) {
        self.registry.set_identities(config.identities.clone());
        self.report_streams
            .set_max_streams(max_report_streams(&config));
        self.config = StreamConfig {
            incarnation: self.config.incarnation,
            ..config
        };
    }

    /// Hands over all that the steps so far have brought about.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.outbox)
    }

    /// Forgets a stream and all that rests on it.
    pub(super) fn remove(&mut self, now: Ms, stream: StreamId) -> Option<OpenStream> {
        let open = self.open.remove(stream)?;
        if let StreamUse::Discovery(identity, _) = &open.used_for
            && self.registry.release(now, identity.proxy, stream)
        {
            self.cache.forget(identity.proxy);
            self.outbox.event(Event::ProxyLeft {
                proxy: identity.proxy,
                channel: Channel::Dedicated,
            });
        }
        Some(open)
    }

    /// Ends a stream with a status.
    pub(super) fn end(&mut self, now: Ms, stream: StreamId, status: StatusCode, message: &str) {
        if let Some(open) = self.remove(now, stream) {
            self.outbox.count("streams_ended", 1);
            self.outbox.log(
                Severity::Warning,
                "stream closed",
                format!("{}: {message}", open.peer),
            );
            self.outbox.effect(Effect::EndStream {
                stream,
                status,
                message: message.into(),
            });
        }
    }

    /// Ends a stream that may not be served, and counts why.
    pub(super) fn reject(&mut self, now: Ms, stream: StreamId, rejection: &Rejection) {
        self.outbox.count("streams_refused", 1);
        self.outbox.count(rejection.counter(), 1);
        self.end(now, stream, rejection.status(), &rejection.to_string());
    }
}
