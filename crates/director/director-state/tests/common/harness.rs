//! A session on a fake clock, with a relay and a discovery that do as they are told.

use super::discovery::{DiscoveryStandIn, Fetch};
use super::platform::{addresses, fleet, last_ack_number, list, member, settings};
use super::relay::{Connection, RelayStandIn};
use bytes::Bytes;
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{
    Effect, InboundId, Input, ProcessLimits, RelayConnectionId, RelayLink, ReloadedConfig,
    ServiceAddresses, Session, SessionConfig, SessionLimits,
};
use rushcourse_xds::{NodeIdentities, StreamConfig, StreamLimits};
use std::collections::VecDeque;

/// The time at which tests begin, in ms.
pub const START: f64 = 1_700_000_000_000.0;
/// Wake-ups after which a session is taken to wake itself without end.
const MAX_WAKE_UPS: usize = 200_000;

/// What the session did with connections to the director's address.
#[derive(Default)]
pub struct InboundRecord {
    pub sent: Vec<(InboundId, Bytes)>,
    pub closed: Vec<InboundId>,
    /// Connections that were closed with a last message.
    pub rejected: Vec<InboundId>,
}

/// A session and everything around it.
pub struct Harness {
    pub session: Session,
    pub now: f64,
    wake_at: f64,
    pub relay: RelayStandIn,
    pub discovery: DiscoveryStandIn,
    pub inbound: InboundRecord,
    pub log: Vec<String>,
    /// What the configuration says when it is read again.
    pub config_file: Result<ServiceAddresses, String>,
    /// How streams are served, as the configuration says when it is read again.
    pub stream_config: Option<StreamConfig>,
    /// What is to be done with streams.
    pub stream_effects: Vec<rushcourse_xds::Effect>,
    pub has_exited: bool,
}

/// What the smallest process may hold.
pub fn session_limits() -> SessionLimits {
    let process = ProcessLimits {
        memory_mb: 32.0,
        descriptors: 256,
    };
    process.session_limits()
}

/// How streams are served in these tests.
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
    /// A session that has not started.
    pub fn new() -> Harness {
        Harness::with(settings(), None)
    }

    /// A session that has not started, with these settings and streams.
    pub fn with(settings: DeploymentSettings, streams: Option<StreamConfig>) -> Harness {
        let session = Session::new(SessionConfig {
            names: Names::from(&settings),
            batch_interval: settings.batch_interval(),
            settings: settings.to_policy(),
            addresses: addresses(0),
            limits: session_limits(),
            has_relay: true,
            streams,
            cached_endpoints: list(5, true, &fleet()).into(),
        });
        Harness {
            session,
            now: START,
            wake_at: f64::INFINITY,
            relay: RelayStandIn::new(),
            discovery: DiscoveryStandIn::new(list(5, true, &fleet())),
            inbound: InboundRecord::default(),
            log: Vec::new(),
            config_file: Ok(addresses(0)),
            stream_config: None,
            stream_effects: Vec::new(),
            has_exited: false,
        }
    }

    /// A session that started a second ago.
    pub fn started() -> Harness {
        let mut harness = Harness::new();
        harness.start();
        harness
    }

    /// Starts the session and lets a second pass.
    pub fn start(&mut self) {
        self.handle(Input::Start);
        self.run_for(1000.0);
    }

    /// A session where a proxy of each zone has joined, is bound, and has acknowledged that.
    pub fn with_bound_proxies() -> Harness {
        let mut harness = Harness::started();
        harness.join_two_proxies();
        harness
    }

    /// A proxy of each zone joins, is bound, and acknowledges that.
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

    /// Hands an input over and carries out what comes of it.
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
            self.carry_out(effect, inputs);
        }
    }

    fn carry_out(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
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

    /// Lets ms pass; the session is woken when it asked for it.
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
                "it does not wake itself without end"
            );
        }
        self.now = end;
        self.handle(Input::Wake);
    }

    /// The relay notifies, by the latest watch.
    pub fn notify(&mut self, line: &str) {
        self.notify_by(self.relay.current(RelayLink::Watch), line);
    }

    /// The relay notifies, by one of the watches.
    pub fn notify_by(&mut self, connection: RelayConnectionId, line: &str) {
        self.handle(Input::RelayLine {
            connection,
            line: line.into(),
        });
    }

    /// The latest connection of a link breaks.
    pub fn disconnect(&mut self, link: RelayLink) {
        self.handle(Input::RelayDisconnected {
            connection: self.relay.current(link),
            reason: "reset".into(),
        });
    }

    /// The relay replies to the call that is open.
    pub fn reply(&mut self, line: &str) {
        self.relay.is_call_open = false;
        self.handle(Input::RelayLine {
            connection: self.relay.current(RelayLink::Calls),
            line: line.into(),
        });
    }

    /// The relay accepts all orders of this call, which is open.
    pub fn accept(&mut self, call: usize) {
        let orders = self.relay.calls[call].split(';').count();
        self.reply(&format!("OK {orders}"));
    }

    /// The number of the last acknowledgement that was asked for.
    pub fn ack_number(&self) -> u16 {
        last_ack_number(&self.relay.calls).expect("an acknowledgement was asked for")
    }

    /// Proxies acknowledge the last call that asked for it.
    pub fn acknowledge(&mut self, proxies: &[u32]) {
        let ack_number = self.ack_number();
        for proxy in proxies {
            self.notify(&format!("* applied {proxy} {ack_number} 250.0"));
        }
    }

    /// Discovery answers the latest request.
    pub fn answer_fetch(&mut self, body: &str) {
        self.handle(Input::EndpointsFetched {
            request: self.discovery.latest().request,
            body: body.to_string().into(),
        });
    }

    /// Discovery does not answer the latest request as it should.
    pub fn fail_fetch(&mut self, reason: &str) {
        self.handle(Input::FetchFailed {
            request: self.discovery.latest().request,
            reason: reason.into(),
        });
    }

    /// Discovery answers the watch that is open with changes.
    pub fn change_list(&mut self, revision: u64, members: &[String]) {
        self.answer_fetch(&list(revision, false, members));
    }

    /// Discovery tells that a host terminates.
    pub fn drain_host(&mut self, revision: u64, id: &str, zone: &str) {
        self.change_list(revision, &[member(id, zone, "Terminating", 0.0)]);
    }

    /// Somebody connects to the director's address.
    pub fn open_inbound(&mut self, inbound: u64) {
        self.handle(Input::InboundOpened {
            inbound: InboundId(inbound),
            peer: format!("127.0.0.1:{inbound}"),
        });
    }

    /// A message comes on a connection to the director's address.
    pub fn receive(&mut self, inbound: u64, json: &str) {
        self.handle(Input::InboundMessage {
            inbound: InboundId(inbound),
            message: Bytes::copy_from_slice(json.as_bytes()),
        });
    }

    /// A collector connects and registers for a zone.
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
        gauge.expect("a gauge").value
    }

    /// Whether the log has a line with all of these parts.
    pub fn has_logged(&self, parts: &[&str]) -> bool {
        self.log
            .iter()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    }
}
