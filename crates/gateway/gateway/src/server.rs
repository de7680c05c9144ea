//! The gateway process: listening sockets, the event loop for session events, ticks and signals, and draining on
//! SIGTERM.

use crate::downstream::{DownstreamConnections, accept_connections};
use crate::drain::DrainSchedule;
use crate::peer_sessions::PeerSessions;
use crate::readiness::{Readiness, serve_readiness};
use crate::state::GatewayState;
use error_stack::{Report, ResultExt};
use rushcourse_config::NodeSettings;
use rushcourse_messages::Role;
use rushcourse_transport::startup::{
    listen, listen_for_sessions, local_handshake, reload_settings, required_address,
    run_on_current_thread, seed_nodes,
};
use rushcourse_transport::{
    Clock, Dialer, SessionContext, SessionEvent, StartError, accept_sessions, logging,
};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior, sleep_until};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Session events handled per iteration of the event loop.
const MAX_EVENT_BATCH: usize = 128;
/// File descriptors set aside for upstream connections, files and listening sockets.
const RESERVED_DESCRIPTORS: usize = 264;
/// Lower bound of the descriptors available for sessions and clients when the limit is small.
const MIN_DESCRIPTORS: usize = 32;
/// Sessions with other nodes may use an eighth of the unreserved descriptors.
const SESSION_DESCRIPTORS_DIVISOR: usize = 8;
/// Client connections may use half of the unreserved descriptors.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;

/// Runs a gateway until it has drained after SIGTERM. `settings_path` is read again on SIGHUP.
///
/// # Errors
/// A listen address is missing or can't be bound, the peer keys can't be loaded, or signal handlers can't be installed.
pub fn serve(settings_path: &Path, settings: NodeSettings) -> Result<(), Report<StartError>> {
    logging::init(&settings.log_level, &settings.node.name);
    run_on_current_thread(run(settings_path.to_path_buf(), settings))
}

async fn run(settings_path: PathBuf, settings: NodeSettings) -> Result<(), Report<StartError>> {
    let listeners = Listeners::bind(&settings).await?;
    let clock = Clock::start();
    let handshake = local_handshake(&settings, Role::Gateway);
    let incarnation = handshake.incarnation;
    let (event_sender, events) = unbounded_channel();
    let session_context = SessionContext::new(handshake, event_sender);
    session_context
        .set_keys(settings.peers.keys.as_ref())
        .change_context(StartError::Keys)?;
    let dialer = Dialer::new(session_context.clone(), settings.peers.ports.first);
    let peers = PeerSessions::new(dialer);
    let gateway = Rc::new(GatewayState::new(&settings, clock, incarnation, peers));
    gateway.add_controllers(seed_nodes(&settings));
    log::info!("event=start incarnation={incarnation}");
    let server = Server {
        settings_path,
        gateway,
        session_context,
        connections: Rc::default(),
        readiness: Readiness::default(),
        grace_period: settings.bounds.grace_period,
    };
    server.start_listening(listeners, settings.limits.file_descriptors);
    server.run(events, Signals::register()?).await;
    Ok(())
}

/// Listening sockets, one for each kind of connection.
struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
    sessions: TcpListener,
}

impl Listeners {
    async fn bind(settings: &NodeSettings) -> Result<Listeners, Report<StartError>> {
        let addresses = &settings.listen_addresses;
        let clients = required_address(addresses.front_http, "listen_addresses.front_http")?;
        let clients = listen(clients).await?;
        let readiness = required_address(addresses.readiness, "listen_addresses.readiness")?;
        Ok(Listeners {
            clients,
            readiness: listen(readiness).await?,
            sessions: listen_for_sessions(settings).await?,
        })
    }
}

/// Streams of the Unix signals that the process handles.
struct Signals {
    /// SIGTERM: drain, then exit.
    terminate: Signal,
    /// SIGHUP: reload the settings file.
    hangup: Signal,
}

impl Signals {
    fn register() -> Result<Signals, Report<StartError>> {
        let register = |kind| signal(kind).change_context(StartError::Signals);
        Ok(Signals {
            terminate: register(SignalKind::terminate())?,
            hangup: register(SignalKind::hangup())?,
        })
    }
}

struct Server {
    settings_path: PathBuf,
    gateway: Rc<GatewayState>,
    session_context: SessionContext,
    connections: Rc<DownstreamConnections>,
    readiness: Readiness,
    /// Time from SIGTERM until the platform kills the process.
    grace_period: Duration,
}

impl Server {
    fn start_listening(&self, listeners: Listeners, descriptors: usize) {
        let descriptors = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_DESCRIPTORS);
        tokio::task::spawn_local(accept_sessions(
            listeners.sessions,
            descriptors / SESSION_DESCRIPTORS_DIVISOR,
            self.session_context.clone(),
        ));
        tokio::task::spawn_local(serve_readiness(listeners.readiness, self.readiness.clone()));
        tokio::task::spawn_local(accept_connections(
            listeners.clients,
            descriptors / CLIENT_DESCRIPTORS_DIVISOR,
            self.gateway.clone(),
            self.connections.clone(),
        ));
    }

    /// Runs the event loop until the process has drained.
    async fn run(self, mut events: UnboundedReceiver<SessionEvent>, mut signals: Signals) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                _ = events.recv_many(&mut batch, MAX_EVENT_BATCH) => self.handle_events(&mut batch),
                _ = ticks.tick() => {
                    self.tick();
                    if self.is_drained() {
                        break;
                    }
                }
                () = self.drain_timeout() => break,
                _ = signals.terminate.recv() => self.start_draining(),
                _ = signals.hangup.recv() => self.reload_settings(),
            }
        }
        self.log_exit();
    }

    /// Logs what the exit leaves without a response, and the requests that were answered because the drain ended.
    fn log_exit(&self) {
        let open = self.connections.open_requests();
        let running = self.gateway.running_operations();
        let ended = self.gateway.ended_requests();
        log::info!("event=stopped why=sigterm {open} running_operations={running} {ended}");
    }

    fn handle_events(&self, batch: &mut Vec<SessionEvent>) {
        for event in batch.drain(..) {
            self.gateway.handle_session_event(event);
        }
        self.readiness.set(self.gateway.is_ready());
    }

    fn tick(&self) {
        let now = self.gateway.now();
        self.gateway.tick(now);
        if let Some(line) = self.session_context.take_rejections_line(now) {
            log::warn!("{line}");
        }
        self.readiness.set(self.gateway.is_ready());
        self.connections.close_timed_out(now, self.gateway.limits());
        if let Some(schedule) = self.gateway.drain_schedule() {
            self.close_connections(&schedule);
        }
    }

    fn close_connections(&self, schedule: &DrainSchedule) {
        let now = Instant::now();
        if now >= schedule.connections_close_at {
            self.connections.close_all();
        }
        if now >= schedule.responses_due_at {
            self.connections.close_unused();
        }
    }

    /// Whether the drain has ended before its time is over: all connections are closed, no operation is running, and the
    /// responses of those that ran are stored at controllers.
    fn is_drained(&self) -> bool {
        let schedule = self.gateway.drain_schedule();
        schedule.is_some_and(|schedule| Instant::now() >= schedule.connections_close_at)
            && self.gateway.running_operations() == 0
            && self.connections.is_empty()
            && self.gateway.is_replicated()
    }

    /// Waits until the time of the drain is over. Never returns before SIGTERM.
    async fn drain_timeout(&self) {
        match self.gateway.drain_schedule() {
            Some(schedule) => sleep_until(schedule.exits_at).await,
            None => std::future::pending().await,
        }
    }

    fn start_draining(&self) {
        log::info!("event=draining");
        let schedule = DrainSchedule::new(Instant::now(), self.grace_period);
        self.gateway.start_draining(schedule);
        self.readiness.set(false);
    }

    fn reload_settings(&self) {
        if let Some(settings) = reload_settings(&self.settings_path, &self.session_context) {
            self.gateway.add_controllers(seed_nodes(&settings));
        }
    }
}
