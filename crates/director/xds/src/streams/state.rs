//! The state of all streams, and how a stream is ended.

use super::open_streams::{OpenStream, OpenStreams, StreamRole};
use crate::config::StreamConfig;
use crate::interface::{Effect, StatusCode, StreamId};
use crate::outbox::{Outbox, Severity};
use crate::registry::{ProxyRegistry, Rejection};
use crate::report_streams::ReportStreams;
use crate::resources::ResourceCache;
use rushcourse_director_settings::Names;
use rushcourse_policy::interface::{Channel, Event, Ms, Settings};

/// Lower bound on the configured report interval, in ms.
const MIN_REPORT_INTERVAL: Ms = 100.0;

/// All streams of the director. Results of `step` and `advance` are collected in the outbox.
#[derive(Debug)]
pub struct Streams {
    pub(super) config: StreamConfig,
    pub(super) settings: Settings,
    pub(super) cache: ResourceCache,
    pub(super) registry: ProxyRegistry,
    pub(super) report_streams: ReportStreams,
    pub(super) open_streams: OpenStreams,
    /// Set by `shut_down`; new streams are rejected from then on.
    pub(super) is_shutting_down: bool,
    pub(super) outbox: Outbox,
}

/// Interval between two load reports of a proxy or host, in ms.
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
    /// Creates the state without any stream.
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
            open_streams: OpenStreams::default(),
            is_shutting_down: false,
            outbox: Outbox::default(),
        }
    }

    /// Replaces the configuration, except for the incarnation. Proxies that have joined keep their streams even if
    /// their node ids no longer resolve.
    pub fn set_config(&mut self, config: StreamConfig) {
        self.registry.set_identities(config.identities.clone());
        self.report_streams
            .set_max_streams(max_report_streams(&config));
        self.config = StreamConfig {
            incarnation: self.config.incarnation,
            ..config
        };
    }

    /// Returns the results collected since the previous call.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.outbox)
    }

    /// Removes a stream; if it was a proxy's discovery stream, the proxy leaves.
    pub(super) fn remove(&mut self, now: Ms, stream: StreamId) -> Option<OpenStream> {
        let open = self.open_streams.remove(stream)?;
        if let StreamRole::Discovery(identity, _) = &open.role
            && self.registry.release(now, identity.proxy, stream)
        {
            self.cache.remove_proxy(identity.proxy);
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

    /// Ends a stream that is rejected, and counts the reason.
    pub(super) fn reject(&mut self, now: Ms, stream: StreamId, rejection: &Rejection) {
        self.outbox.count("streams_refused", 1);
        self.outbox.count(rejection.counter(), 1);
        self.end(now, stream, rejection.status(), &rejection.to_string());
    }
}
