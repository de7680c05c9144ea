//! A session driven with a fake clock, a fake relay and a fake discovery service.

use super::discovery::{FakeDiscovery, Fetch};
use super::platform::{addresses, all_members, last_ack_number, list, member, settings};
use super::relay::{Connection, FakeRelay};
use bytes::Bytes;
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{
    Effect, InboundId, Input, ProcessLimits, RelayConnectionId, RelayLink, ReloadedConfig,
    ServiceAddresses, Session, SessionConfig, SessionLimits,
};
use rushcourse_xds::{NodeIdentities, StreamConfig, StreamLimits};
use std::collections::VecDeque;

/// Initial time of the fake clock in milliseconds.
pub const START_TIME: f64 = 1_700_000_000_000.0;
/// Number of wake-ups in one [`Harness::run_for`] that indicates an endless loop.
const MAX_WAKE_UPS: usize = 200_000;

/// Effects of the session on connections at the director's listening address.
#[derive(Default)]
pub struct InboundRecord {
    pub sent: Vec<(InboundId, Bytes)>,
    pub closed: Vec<InboundId>,
    /// Connections closed with a final message that states the reason.
    pub rejected: Vec<InboundId>,
}

/// A session with its fake environment and the effects recorded from it.
pub struct Harness {
    pub session: Session,
    pub now: f64,
    wake_at: f64,
    pub relay: FakeRelay,
    pub discovery: FakeDiscovery,
    pub inbound: InboundRecord,
    pub log: Vec<String>,
    /// Addresses, or the error, returned by the next configuration reload.
    pub config_file: Result<ServiceAddresses, String>,
    /// Stream configuration returned by the next configuration reload.
    pub stream_config: Option<StreamConfig>,
    /// Stream effects that were requested and not removed by the test yet.
    pub stream_effects: Vec<rushcourse_xds::Effect>,
    pub has_exited: bool,
}

/// Limits of a session in a process with 32 MiB of memory and 256 descriptors.
pub fn session_limits() -> SessionLimits {
    let process = ProcessLimits {
        memory_mb: 32.0,
        descriptors: 256,
    };
    process.session_limits()
}

/// Stream configuration with low limits and without load report streams.
pub fn stream_config() -> StreamConfig {
    StreamConfig {
        identities: NodeIdentities::default(),
        incarnation: 1,
        limits: StreamLimits {
            max_streams: 16,
            max_unidentified: 4,
            max_report_streams: 0,
        },
        join_timeout: 1200.0,
        accept_timeout: 10_000.0,
        request_host_reports: false,
    }
}

impl Harness {
    /// Creates a session with default settings and without streams; it is not started.
    pub fn new() -> Harness {
        Harness::with(settings(), None)
    }

    /// Creates a session with the given settings and streams; it is not started.
    pub fn with(settings: DeploymentSettings, streams: Option<StreamConfig>) -> Harness {
        let session = Session::new(SessionConfig {
            names: Names::from(&settings),
            batch_interval: settings.batch_interval(),
            settings: settings.to_policy(),
            addresses: addresses(0),
            limits: session_limits(),
            has_relay: true,
            streams,
            cached_endpoints: list(5, true, &all_members()).into(),
        });
        Harness {
            session,
            now: START_TIME,
            wake_at: f64::INFINITY,
            relay: FakeRelay::new(),
            discovery: FakeDiscovery::new(list(5, true, &all_members())),
            inbound: InboundRecord::default(),
            log: Vec::new(),
            config_file: Ok(addresses(0)),
            stream_config: None,
            stream_effects: Vec::new(),
            has_exited: false,
        }
    }

    /// Creates a session and runs it for its first second.
    pub fn started() -> Harness {
        let mut harness = Harness::new();
        harness.start();
        harness
    }

    /// Starts the session and runs it for a second.
    pub fn start(&mut self) {
        self.handle(Input::Start);
        self.run_for(1000.0);
    }

    /// Creates a started session with one bound proxy in each zone, see [`Harness::join_two_proxies`].
    pub fn with_bound_proxies() -> Harness {
        let mut harness = Harness::started();
        harness.join_two_proxies();
        harness
    }

    /// Lets proxy 1 join in zone `east` and proxy 2 in `west`, and acknowledges the call that binds them.
    pub fn join_two_proxies(&mut self) {
        self.relay.joined = vec![
            "* joined 1 east 5.0 1".into(),
            "* joined 2 west 5.0 1".into(),
        ];
        for line in self.relay.joined.clone() {
            self.notify(&line);
        }
        self.run_for(300.0);
        self.acknowledge(&[1, 2]);
        self.run_for(300.0);
    }

    /// Passes an input to the session and executes its effects, including the inputs that follow from them.
    pub fn handle(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        loop {
            while let Some(input) = inputs.pop_front() {
                self.step(input, &mut inputs);
            }
            self.step(Input::Wake, &mut inputs);
            if inputs.is_empty() {
                return;
            }
        }
    }

    fn step(&mut self, input: Input, inputs: &mut VecDeque<Input>) {
        for effect in self.session.step(self.now, input) {
            self.execute(effect, inputs);
        }
    }

    fn execute(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::SendInbound { inbound, frame } => self.inbound.sent.push((inbound, frame)),
            Effect::CloseInbound {
                inbound,
                last_frame,
            } => {
                self.inbound.closed.push(inbound);
                self.inbound.rejected.extend(last_frame.map(|_| inbound));
            }
            Effect::ConnectRelay {
                connection: id,
                address,
            } => self.relay.connect(Connection { id, address }, inputs),
            Effect::SendRelay { connection, line } => match connection.link {
                RelayLink::Watch => self.relay.watch(connection, &line, inputs),
                RelayLink::Calls => self.relay.call(connection, &line, inputs),
            },
            Effect::DisconnectRelay { connection } => self.relay.disconnect(connection),
            Effect::FetchEndpoints {
                request,
                address,
                path,
                timeout,
            } => {
                let fetch = Fetch {
                    request,
                    address,
                    path,
                };
                self.discovery.fetch(fetch, timeout, inputs);
            }
            Effect::ScheduleWake { at } => self.wake_at = at,
            Effect::Log { text, .. } => self.log.push(text),
            Effect::ReloadConfig => inputs.push_back(self.reload_config()),
            Effect::Stream(effect) => self.stream_effects.push(effect),
            Effect::CheckHealth { .. } => {}
            Effect::Exit => self.has_exited = true,
        }
    }

    fn reload_config(&self) -> Input {
        match self.config_file.clone() {
            Ok(addresses) => Input::Reloaded(ReloadedConfig {
                addresses,
                streams: self.stream_config.clone(),
                needs_restart: Vec::new(),
            }),
            Err(reason) => Input::ReloadFailed { reason },
        }
    }

    /// Advances the clock by `ms`, waking the session at the times that it scheduled.
    pub fn run_for(&mut self, ms: f64) {
        let end = self.now + ms;
        let mut wake_ups = 0;
        while self.wake_at <= end {
            self.now = self.now.max(self.wake_at);
            self.wake_at = f64::INFINITY;
            self.handle(Input::Wake);
            wake_ups += 1;
            assert!(
                wake_ups < MAX_WAKE_UPS,
                "the session wakes itself in an endless loop"
            );
        }
        self.now = end;
        self.handle(Input::Wake);
    }

    /// Delivers a notification line on the latest watch.
    pub fn notify(&mut self, line: &str) {
        self.notify_by(self.relay.current(RelayLink::Watch), line);
    }

    /// Delivers a notification line on the given watch connection.
    pub fn notify_by(&mut self, connection: RelayConnectionId, line: &str) {
        self.handle(Input::RelayLine {
            connection,
            line: line.into(),
        });
    }

    /// Breaks the latest connection of a link.
    pub fn disconnect(&mut self, link: RelayLink) {
        self.handle(Input::RelayDisconnected {
            connection: self.relay.current(link),
            reason: "reset".into(),
        });
    }

    /// Delivers a reply to the call in flight.
    pub fn reply(&mut self, line: &str) {
        self.relay.is_call_open = false;
        self.handle(Input::RelayLine {
            connection: self.relay.current(RelayLink::Calls),
            line: line.into(),
        });
    }

    /// Accepts all orders of the call in flight, whose index is `call`.
    pub fn accept(&mut self, call: usize) {
        let orders = self.relay.calls[call].split(';').count();
        self.reply(&format!("OK {orders}"));
    }

    /// Number of the latest acknowledgement request.
    pub fn ack_number(&self) -> u16 {
        last_ack_number(&self.relay.calls).expect("an acknowledgement was requested")
    }

    /// Acknowledges the latest acknowledgement request on behalf of the given proxies.
    pub fn acknowledge(&mut self, proxies: &[u32]) {
        let ack_number = self.ack_number();
        for proxy in proxies {
            self.notify(&format!("* applied {proxy} {ack_number} 250.0"));
        }
    }

    /// Answers the latest request to the discovery service.
    pub fn answer_fetch(&mut self, body: &str) {
        self.handle(Input::EndpointsFetched {
            request: self.discovery.latest().request,
            body: body.to_string().into(),
        });
    }

    /// Fails the latest request to the discovery service.
    pub fn fail_fetch(&mut self, reason: &str) {
        self.handle(Input::FetchFailed {
            request: self.discovery.latest().request,
            reason: reason.into(),
        });
    }

    /// Answers the pending watch with a delta.
    pub fn change_list(&mut self, revision: u64, members: &[String]) {
        self.answer_fetch(&list(revision, false, members));
    }

    /// Answers the pending watch with a delta in which a host terminates.
    pub fn drain_host(&mut self, revision: u64, id: &str, zone: &str) {
        self.change_list(revision, &[member(id, zone, "Terminating", 0.0)]);
    }

    /// Opens a connection to the director's listening address.
    pub fn open_inbound(&mut self, inbound: u64) {
        self.handle(Input::InboundOpened {
            inbound: InboundId(inbound),
            peer: format!("127.0.0.1:{inbound}"),
        });
    }

    /// Delivers a message on a connection to the director's listening address.
    pub fn receive(&mut self, inbound: u64, json: &str) {
        self.handle(Input::InboundMessage {
            inbound: InboundId(inbound),
            message: Bytes::copy_from_slice(json.as_bytes()),
        });
    }

    /// Opens a connection and registers it as a collector of a zone.
    pub fn open_collector(&mut self, inbound: u64, zone: &str) {
        self.open_inbound(inbound);
        self.receive(
            inbound,
            &format!(r#"{{"@type":"collector","az":"{zone}"}}"#),
        );
    }

    pub fn counter(&self, name: &str) -> u64 {
        self.session.counters().get(name)
    }

    pub fn gauge(&self, name: &str) -> f64 {
        let gauges = self.session.gauges();
        let gauge = gauges.iter().find(|gauge| gauge.name == name);
        gauge.expect("gauge exists").value
    }

    /// Whether a log line contains all of these parts.
    pub fn has_logged(&self, parts: &[&str]) -> bool {
        self.log
            .iter()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    }
}
