//! What each input changes.

use super::{ActiveConfig, Phase, Session};
use crate::config::{ReloadedConfig, ServiceAddresses};
use crate::effect::{Effect, Severity};
use crate::identifiers::{FetchId, InboundId};
use crate::input::Input;
use crate::report_validation::ReportValidator;
use crate::stream_outbox;
use bytes::Bytes;
use rushcourse_director_protocol::discovery;
use rushcourse_xds::{StreamConfig, Streams};

impl Session {
    pub(super) fn handle(&mut self, input: Input) {
        let context = &mut self.context;
        let zones = &self.config.names.zones;
        match input {
            Input::Start => self.start(),
            Input::InboundOpened { inbound, peer } => self.inbound.opened(context, inbound, peer),
            Input::InboundMessage { inbound, message } => self.inbound_message(inbound, &message),
            Input::InboundHttp { inbound } => self.inbound.page_requested(context, inbound),
            Input::InboundClosed { inbound, error } => {
                self.inbound.closed(context, inbound, error.as_deref());
            }
            Input::RelayConnected { connection } => self.relay.connected(context, connection),
            Input::RelayLine { connection, line } => {
                self.relay.line_received(context, connection, &line, zones);
            }
            Input::RelayWritten { connection } => self.relay.written(context, connection),
            Input::RelayDisconnected { connection, reason } => {
                self.relay.disconnected(context, connection, &reason);
            }
            Input::EndpointsFetched { request, body } => self.endpoints_fetched(request, &body),
            Input::FetchFailed { request, reason } => {
                self.discovery.fetch_failed(context, request, &reason);
            }
            Input::HealthChecked {
                host,
                elapsed,
                status,
                body,
            } => {
                let event = self.health_checks.complete(host, elapsed, status, &body);
                event.into_iter().for_each(|event| context.emit(event));
                self.start_health_checks();
            }
            Input::Stream(input) => {
                if let Some(streams) = &mut self.streams {
                    streams.step(context.now, input);
                }
            }
            Input::ReloadRequested => self.reload.requested(context),
            Input::Reloaded(reloaded) => self.reloaded(reloaded),
            Input::ReloadFailed { reason } => self.reload.failed(context, &reason),
            Input::Wake => self.advance(),
            Input::Stop => self.stop(),
        }
    }

    fn start(&mut self) {
        let next_status = self.next_status();
        let running = Phase::Running { next_status };
        if let Phase::Created { cached_endpoints } = std::mem::replace(&mut self.phase, running) {
            self.load_cached_endpoints(&cached_endpoints);
        }
        self.update_stream_hosts();
    }

    fn load_cached_endpoints(&mut self, list: &[u8]) {
        let zones = &self.config.names.zones;
        match discovery::decode(list) {
            Ok(list) => self.discovery.load_cached(&mut self.context, &list, zones),
            Err(error) => self.context.log(Severity::Warning, "cached list", || {
                format!("can't be read ({error})")
            }),
        }
    }

    fn stop(&mut self) {
        self.phase = Phase::Stopped;
        self.shut_down_streams();
        self.context.request(Effect::Exit);
    }

    fn inbound_message(&mut self, inbound: InboundId, message: &Bytes) {
        let validator = ReportValidator {
            names: &self.config.names,
            settings: &self.config.settings,
            hosts: self.discovery.table(),
        };
        self.inbound
            .message_received(&mut self.context, inbound, message, &validator);
    }

    fn endpoints_fetched(&mut self, request: FetchId, body: &[u8]) {
        let zones = &self.config.names.zones;
        self.discovery
            .fetched(&mut self.context, request, body, zones);
        self.update_stream_hosts();
    }

    /// The list of hosts may have changed: streams learn where hosts are.
    fn update_stream_hosts(&mut self) {
        if let Some(streams) = &mut self.streams {
            streams.update_hosts(self.context.now, self.discovery.table().iter());
        }
    }

    fn reloaded(&mut self, reloaded: ReloadedConfig) {
        let current = self.config.addresses;
        self.reload.succeeded(&mut self.context, current, &reloaded);
        self.move_to(reloaded.addresses);
        self.serve_streams(reloaded.streams);
    }

    /// Services are at these addresses from now on. What stands is kept until its successor does.
    fn move_to(&mut self, addresses: ServiceAddresses) {
        let current = std::mem::replace(&mut self.config.addresses, addresses);
        if addresses.relay != current.relay {
            self.relay.move_to(addresses.relay);
        }
        if addresses.discovery != current.discovery {
            self.discovery.move_to(&self.context, addresses.discovery);
        }
    }

    /// Streams are served like this from now on, or not any more.
    fn serve_streams(&mut self, config: Option<StreamConfig>) {
        match (&mut self.streams, config) {
            (Some(streams), Some(config)) => streams.set_config(config),
            (Some(_), None) => {
                self.shut_down_streams();
                self.streams = None;
            }
            (none, Some(config)) => {
                let ActiveConfig {
                    settings, names, ..
                } = &self.config;
                *none = Some(Streams::new(config, settings, names));
            }
            (None, None) => {}
        }
        self.update_stream_hosts();
    }

    fn shut_down_streams(&mut self) {
        if let Some(streams) = &mut self.streams {
            streams.shut_down(self.context.now);
        }
        self.settle_channels();
    }

    /// Proxies may change the channel by which they are reached: the newest joining counts, and one that has left a stream
    /// is reached by the relay if it still stands there.
    pub(super) fn settle_channels(&mut self) {
        let Some(streams) = &mut self.streams else {
            return;
        };
        for proxy in self.context.events.take_superseded() {
            streams.supersede(self.context.now, proxy);
        }
        for proxy in stream_outbox::hand_over(streams, &mut self.context) {
            self.relay.watch.rejoin(&mut self.context, proxy);
        }
    }
}
