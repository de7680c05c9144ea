//! Dispatch of inputs to the parts of a session.

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
            Input::InboundOpened { inbound, peer } => self.inbound.on_open(context, inbound, peer),
            Input::InboundMessage { inbound, message } => self.handle_message(inbound, &message),
            Input::InboundHttp { inbound } => self.inbound.on_http_request(context, inbound),
            Input::InboundClosed { inbound, error } => {
                self.inbound.on_closed(context, inbound, error.as_deref());
            }
            Input::RelayConnected { connection } => self.relay.on_connected(context, connection),
            Input::RelayLine { connection, line } => {
                self.relay.on_line(context, connection, &line, zones);
            }
            Input::RelayWritten { connection } => self.relay.on_written(context, connection),
            Input::RelayDisconnected { connection, reason } => {
                self.relay.on_disconnected(context, connection, &reason);
            }
            Input::EndpointsFetched { request, body } => self.on_endpoints_fetched(request, &body),
            Input::FetchFailed { request, reason } => {
                self.discovery.on_fetch_failed(context, request, &reason);
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
            Input::ReloadRequested => self.reload.on_requested(context),
            Input::Reloaded(reloaded) => self.on_reloaded(reloaded),
            Input::ReloadFailed { reason } => self.reload.on_failed(context, &reason),
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

    fn handle_message(&mut self, inbound: InboundId, message: &Bytes) {
        let validator = ReportValidator {
            names: &self.config.names,
            settings: &self.config.settings,
            hosts: self.discovery.table(),
        };
        self.inbound
            .on_message(&mut self.context, inbound, message, &validator);
    }

    fn on_endpoints_fetched(&mut self, request: FetchId, body: &[u8]) {
        let zones = &self.config.names.zones;
        self.discovery
            .on_fetched(&mut self.context, request, body, zones);
        self.update_stream_hosts();
    }

    /// Passes the current list of hosts with their addresses to the streams.
    fn update_stream_hosts(&mut self) {
        if let Some(streams) = &mut self.streams {
            streams.update_hosts(self.context.now, self.discovery.table().iter());
        }
    }

    fn on_reloaded(&mut self, reloaded: ReloadedConfig) {
        let current = self.config.addresses;
        self.reload
            .on_succeeded(&mut self.context, current, &reloaded);
        self.set_addresses(reloaded.addresses);
        self.set_stream_config(reloaded.streams);
    }

    /// Replaces connections to services whose address changed; established ones are kept until then.
    fn set_addresses(&mut self, addresses: ServiceAddresses) {
        let current = std::mem::replace(&mut self.config.addresses, addresses);
        if addresses.relay != current.relay {
            self.relay.set_address(addresses.relay);
        }
        if addresses.discovery != current.discovery {
            self.discovery
                .set_address(&self.context, addresses.discovery);
        }
    }

    /// Starts, reconfigures or ends the xDS streams; `None` ends them.
    fn set_stream_config(&mut self, config: Option<StreamConfig>) {
        match (&mut self.streams, config) {
            (Some(streams), Some(config)) => streams.set_config(config),
            (Some(_), None) => {
                self.shut_down_streams();
                self.streams = None;
            }
            (streams, Some(config)) => {
                let ActiveConfig {
                    settings, names, ..
                } = &self.config;
                *streams = Some(Streams::new(config, settings, names));
            }
            (None, None) => {}
        }
        self.update_stream_hosts();
    }

    fn shut_down_streams(&mut self) {
        if let Some(streams) = &mut self.streams {
            streams.shut_down(self.context.now);
        }
        self.reconcile_channels();
    }

    /// Applies channel changes of proxies. A stream is ended if its proxy joined at the relay later, and a proxy whose
    /// stream ended is reached by the relay if it is still joined there.
    pub(super) fn reconcile_channels(&mut self) {
        let Some(streams) = &mut self.streams else {
            return;
        };
        for proxy in self.context.events.take_superseded() {
            streams.supersede(self.context.now, proxy);
        }
        for proxy in stream_outbox::forward_outbox(streams, &mut self.context) {
            self.relay.watch.rejoin(&mut self.context, proxy);
        }
    }
}
