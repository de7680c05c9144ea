//! The loop: what was read goes through the session's step, and the effects that it asks for are carried out.

use crate::clock::Clock;
use crate::config::{self, Config};
use crate::events::{LoopEvent, LoopSender, Out};
use crate::failure::Failure;
use crate::fronts::Place;
use crate::log;
use crate::net::{admin, discovery, listener, probe, relay};
use rushcourse_director_state::{
    Effect, InboundId, Input, RelayConnectionId, ReloadedConfig, Session, Severity,
};
use rushcourse_grpc::{Front, Serving};
use slog::{Logger, error, info, warn};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Inputs that may wait for the loop; readers wait beyond that. And how many it takes at a time.
const INPUTS_MOST: usize = 1024;
const BATCH: usize = 256;
/// How long relays may take to hear that their connections end.
const GOODBYE: Duration = Duration::from_millis(400);
/// How long the log may take for its last lines.
const LAST_LINES: Duration = Duration::from_millis(30);

struct Runner {
    to: LoopSender,
    log: Logger,
    kept: config::Kept,
    discovery: discovery::Client,
    probe: probe::Client,
    /// gRPC, where it is served.
    front: Option<Front>,
    links: BTreeMap<RelayConnectionId, (mpsc::Sender<String>, AbortHandle)>,
    peers: BTreeMap<InboundId, (mpsc::Sender<Out>, AbortHandle)>,
    wake: f64,
    read_again: bool,
    exit: bool,
}

impl Runner {
    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SendInbound { inbound, frame } => {
                let full = self
                    .peers
                    .get(&inbound)
                    .is_some_and(|(out, _)| out.try_send(Out::Answer(frame)).is_err());
                if full {
                    // It does not read what it asked for.
                    self.close(inbound);
                    let error = Some("it does not read its answers".into());
                    _ = self
                        .to
                        .try_send(LoopEvent::Input(Input::InboundClosed { inbound, error }));
                }
            }
            Effect::CloseInbound {
                inbound,
                last_frame: None,
            } => self.close(inbound),
            Effect::CloseInbound {
                inbound,
                last_frame: Some(bytes),
            } => {
                // It ends by itself with its last word; if there is no room for that, at once.
                if let Some((out, task)) = self.peers.remove(&inbound)
                    && out.try_send(Out::Last(bytes)).is_err()
                {
                    task.abort();
                }
            }
            Effect::ConnectRelay {
                connection,
                address,
            } => {
                let link = relay::connect(address, connection, self.to.clone());
                self.links.insert(connection, link);
            }
            Effect::SendRelay { connection, line } => {
                let sent = self
                    .links
                    .get(&connection)
                    .map(|(out, _)| out.try_send(line));
                if sent.is_none_or(|s| s.is_err()) {
                    let reason = "it takes nothing".into();
                    _ = self.to.try_send(LoopEvent::Input(Input::RelayDisconnected {
                        connection,
                        reason,
                    }));
                }
            }
            Effect::DisconnectRelay { connection } => {
                self.links
                    .remove(&connection)
                    .into_iter()
                    .for_each(|(_, task)| task.abort());
            }
            Effect::FetchEndpoints {
                request,
                address,
                path,
                timeout,
            } => self
                .discovery
                .ask(request, address, path, timeout, self.to.clone()),
            Effect::CheckHealth {
                host,
                address,
                path,
                timeout,
            } => self
                .probe
                .ask(host, address, path, timeout, self.to.clone()),
            Effect::Stream(effect) => {
                if let Some(front) = &mut self.front {
                    front.carry_out(effect);
                }
            }
            Effect::ReloadConfig => self.read_again = true,
            Effect::ScheduleWake { at } => self.wake = at,
            Effect::Log {
                severity: Severity::Info,
                text,
            } => info!(self.log, "{}", text),
            Effect::Log {
                severity: Severity::Warning,
                text,
            } => warn!(self.log, "{}", text),
            Effect::Log {
                severity: Severity::Error,
                text,
            } => error!(self.log, "{}", text),
            Effect::Exit => self.exit = true,
        }
    }

    /// Serves gRPC as these options say; what was served before goes on until nobody is on it.
    async fn serve_grpc(&mut self, options: &Serving) -> Result<(), String> {
        let front = self
            .front
            .get_or_insert_with(|| Front::new(&self.kept.name));
        let at = front
            .listen(options)
            .await
            .map_err(|e| format!("grpc: {e}"))?;
        let greeted = if options.tls.is_some() { ", TLS" } else { "" };
        info!(
            self.log,
            "gRPC on {}{}, {} connections at most", at, greeted, options.connections
        );
        Ok(())
    }

    /// Reads the configuration again. An address that can't be bound is a file that can't be used.
    async fn read_again(&mut self) -> Result<ReloadedConfig, String> {
        let (reread, grpc) = self.kept.read_again()?;
        match grpc {
            Some(options) => self.serve_grpc(&options).await?,
            None => self.front.iter_mut().for_each(Front::stop),
        }
        Ok(reread)
    }

    fn close(&mut self, inbound: InboundId) {
        self.peers
            .remove(&inbound)
            .into_iter()
            .for_each(|(_, task)| task.abort());
    }
}

/// What gRPC has to say next; never, where it is not served.
async fn next(front: &mut Option<Front>) -> rushcourse_xds::Input {
    if let Some(front) = front
        && let Some(input) = front.next().await
    {
        return input;
    }
    std::future::pending().await
}

/// What the process is told from outside.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> Input {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Input::Stop,
            _ = self.interrupt.recv() => Input::Stop,
            _ = self.hangup.recv() => Input::ReloadRequested,
        }
    }
}

/// Serves until SIGTERM. From its first moment on, a signal that asks for a reload does not end it.
pub fn serve(fronts: &Place) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| Failure::Other(format!("no runtime: {e}")))?;
    let signals = {
        let _inside = runtime.enter();
        Signals::new().map_err(|e| Failure::Other(format!("no signals: {e}")))?
    };
    let config = config::from_environment(fronts)?;
    let (log, dropped) = log::start(&config.name);
    let done = runtime
        .block_on(run(config, signals, log.clone(), dropped))
        .map_err(Failure::Other);
    // Nobody waits for a look-up, a peer or a reader of the log that hangs: the last lines get a moment.
    runtime.shutdown_background();
    std::thread::sleep(LAST_LINES);
    std::mem::forget(log);
    done
}

async fn run(
    config: Config,
    mut signals: Signals,
    log: Logger,
    dropped: Arc<AtomicU64>,
) -> Result<(), String> {
    let (to, mut events) = mpsc::channel(INPUTS_MOST);
    listener::start(config.listen, config.setup.limits, to.clone())
        .await
        .map_err(|e| format!("listen: {} can't be bound: {e}", config.listen))?;
    let addresses = config.setup.addresses;
    info!(
        log,
        "listening on {}; relay {}, discovery {}",
        config.listen,
        addresses.relay,
        addresses.discovery
    );
    config
        .differs
        .iter()
        .for_each(|text| warn!(log, "{}", text));
    let mut runner = Runner {
        to,
        log: log.clone(),
        kept: config.kept,
        discovery: discovery::Client::new(config.setup.limits.max_list_bytes),
        probe: probe::Client::new(),
        front: None,
        links: BTreeMap::new(),
        peers: BTreeMap::new(),
        wake: f64::INFINITY,
        read_again: false,
        exit: false,
    };
    if let Some(options) = &config.grpc {
        runner.serve_grpc(options).await?;
    }
    let clock = Clock::start();
    let mut session = Session::new(config.setup);
    let mut batch: Vec<LoopEvent> = vec![LoopEvent::Input(Input::Start)];
    while !runner.exit {
        let now = clock.now();
        for event in batch.drain(..) {
            let mut asks = None;
            let input = match event {
                LoopEvent::Input(input) => input,
                LoopEvent::Frame {
                    inbound,
                    message,
                    verdict,
                    ..
                } => {
                    asks = verdict.map(|verdict| (inbound, verdict));
                    Input::InboundMessage { inbound, message }
                }
                LoopEvent::Accepted {
                    inbound,
                    peer,
                    out,
                    task,
                } => {
                    runner.peers.insert(inbound, (out, task));
                    Input::InboundOpened { inbound, peer }
                }
                LoopEvent::Page { what, to } => {
                    _ = to.send(admin::render(
                        what,
                        &session,
                        dropped.load(Ordering::Relaxed),
                    ));
                    continue;
                }
            };
            match &input {
                Input::InboundClosed { inbound, .. } => _ = runner.peers.remove(inbound),
                Input::RelayDisconnected { connection, .. } => _ = runner.links.remove(connection),
                _ => {}
            }
            session
                .step(now, input)
                .into_iter()
                .for_each(|effect| runner.carry_out(effect));
            if let Some((inbound, verdict)) = asks {
                _ = verdict.send(session.is_collector(inbound));
            }
        }
        session
            .step(now, Input::Wake)
            .into_iter()
            .for_each(|effect| runner.carry_out(effect));
        if runner.exit {
            break;
        }
        if std::mem::take(&mut runner.read_again) {
            let reread = runner.read_again().await;
            let input = match reread {
                Ok(reloaded) => Input::Reloaded(reloaded),
                Err(reason) => Input::ReloadFailed { reason },
            };
            batch.push(LoopEvent::Input(input));
            continue;
        }
        let wake = tokio::time::Instant::from_std(clock.instant(runner.wake));
        tokio::select! {
            biased;
            input = signals.next() => batch.push(LoopEvent::Input(input)),
            _ = events.recv_many(&mut batch, BATCH) => {}
            input = next(&mut runner.front) => batch.push(LoopEvent::Input(Input::Stream(input))),
            _ = tokio::time::sleep_until(wake) => {
                // What has come while this process did not run is read before anything counts as missing.
                for _ in 0..2 {
                    tokio::task::yield_now().await;
                }
                while batch.len() < BATCH && let Ok(more) = events.try_recv() {
                    batch.push(more);
                }
            }
        }
        // What streams have to say is taken along, as many as the rest: neither holds up the other.
        let streams = batch.len() + BATCH;
        while batch.len() < streams
            && let Some(input) = runner.front.as_mut().and_then(Front::try_next)
        {
            batch.push(LoopEvent::Input(Input::Stream(input)));
        }
    }
    if let Some(front) = runner.front.take() {
        front.close(GOODBYE).await;
    }
    info!(
        log,
        "told to end: {} calls made",
        session.counters().get("calls_sent")
    );
    Ok(())
}
