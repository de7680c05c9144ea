//! The event loop: passes inputs to the session in batches and executes the effects that it returns.

use crate::clock::Clock;
use crate::config::Config;
use crate::effects::EffectRunner;
use crate::error::DirectorError;
use crate::events::LoopEvent;
use crate::fronts::FrontsSource;
use crate::logging::{self, DroppedLines};
use crate::net::{listener, pages};
use crate::signals::Signals;
use rushcourse_director_state::{Input, Session};
use rushcourse_grpc::GrpcTransport;
use slog::{Logger, info, warn};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Capacity of the event queue. Network tasks block while it is full.
const MAX_QUEUED_EVENTS: usize = 1024;
/// Most events from each source that are handled at once.
const MAX_BATCH: usize = 256;
/// Time for gRPC connections to be closed gracefully.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(400);
/// Time for the logging thread to write its queued lines before the process exits.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(30);
/// How often the loop yields to the network tasks before it handles a timeout.
const CATCH_UP_YIELDS: usize = 2;

/// Runs the director until SIGTERM or SIGINT. Signal handlers are installed first, so that an early SIGHUP doesn't
/// terminate the process.
pub(crate) fn serve(fronts: &FrontsSource) -> Result<(), DirectorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DirectorError::Runtime)?;
    let signals = {
        let _context = runtime.enter();
        Signals::new().map_err(DirectorError::Signals)?
    };
    let config = Config::from_environment(fronts)?;
    let (logger, dropped_lines) = logging::start(&config.name);
    let result = runtime.block_on(run(config, signals, logger.clone(), dropped_lines));
    // The exit doesn't wait for tasks or for a blocked standard error; a short delay lets the log flush.
    runtime.shutdown_background();
    std::thread::sleep(LOG_FLUSH_DELAY);
    std::mem::forget(logger);
    result
}

async fn run(
    config: Config,
    signals: Signals,
    logger: Logger,
    dropped_lines: DroppedLines,
) -> Result<(), DirectorError> {
    let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let limits = config.session.limits;
    listener::start(config.listen, limits, sender.clone())
        .await
        .map_err(|source| DirectorError::Listen {
            address: config.listen,
            source,
        })?;
    let addresses = config.session.addresses;
    info!(
        logger,
        "listening on {}; relay {}, discovery {}",
        config.listen,
        addresses.relay,
        addresses.discovery
    );
    for difference in config.environment_differences() {
        warn!(logger, "{}", difference);
    }
    let mut effects =
        EffectRunner::new(sender, logger.clone(), config.source, limits.max_list_bytes);
    if let Some(grpc) = &config.grpc {
        effects.serve_grpc(grpc).await?;
    }
    let event_loop = EventLoop {
        clock: Clock::start(),
        session: Session::new(config.session),
        effects,
        events,
        signals,
        dropped_lines,
        batch: vec![LoopEvent::Input(Input::Start)],
    };
    let session = event_loop.run().await;
    info!(
        logger,
        "stopped after {} relay calls",
        session.counters().get("calls_sent")
    );
    Ok(())
}

struct EventLoop {
    clock: Clock,
    session: Session,
    effects: EffectRunner,
    events: mpsc::Receiver<LoopEvent>,
    signals: Signals,
    dropped_lines: DroppedLines,
    /// Events to handle next; the allocation is reused.
    batch: Vec<LoopEvent>,
}

impl EventLoop {
    /// Runs until the session requests the exit, then closes gRPC and returns the session.
    async fn run(mut self) -> Session {
        loop {
            self.handle_batch();
            if self.effects.requests.exit {
                break;
            }
            if std::mem::take(&mut self.effects.requests.reload) {
                let input = match self.effects.reload().await {
                    Ok(reloaded) => Input::Reloaded(reloaded),
                    Err(error) => Input::ReloadFailed {
                        reason: error.to_string(),
                    },
                };
                self.batch.push(LoopEvent::Input(input));
                continue;
            }
            self.wait().await;
            self.drain_grpc_inputs();
        }
        if let Some(grpc) = self.effects.grpc.take() {
            grpc.close(SHUTDOWN_GRACE).await;
        }
        self.session
    }

    /// Passes all collected events to the session with the same timestamp, then lets it handle due timers.
    fn handle_batch(&mut self) {
        let now = self.clock.now();
        let mut batch = std::mem::take(&mut self.batch);
        for event in batch.drain(..) {
            self.handle(now, event);
        }
        // Keeps the allocation for the next batch.
        self.batch = batch;
        self.step(now, Input::Wake);
    }

    fn handle(&mut self, now: f64, event: LoopEvent) {
        match event {
            LoopEvent::Input(input) => self.step(now, input),
            LoopEvent::Frame {
                inbound,
                message,
                is_collector,
                ..
            } => {
                self.step(now, Input::InboundMessage { inbound, message });
                if let Some(is_collector) = is_collector {
                    // The receiver is gone if the connection has closed in the meantime.
                    _ = is_collector.send(self.session.is_collector(inbound));
                }
            }
            LoopEvent::Accepted {
                inbound,
                peer,
                messages,
                task,
            } => {
                self.effects.add_peer(inbound, messages, task);
                self.step(now, Input::InboundOpened { inbound, peer });
            }
            LoopEvent::PageRequested { page, response } => {
                let rendered = pages::render(page, &self.session, self.dropped_lines.count());
                // The receiver is gone if the client has disconnected.
                _ = response.send(rendered);
            }
        }
    }

    fn step(&mut self, now: f64, input: Input) {
        self.effects.remove_closed(&input);
        for effect in self.session.step(now, input) {
            self.effects.carry_out(effect);
        }
    }

    /// Waits for the next event, signal or timeout.
    async fn wait(&mut self) {
        let wake_at = self.clock.instant(self.effects.requests.wake_at);
        tokio::select! {
            biased;
            input = self.signals.next() => self.batch.push(LoopEvent::Input(input)),
            _ = self.events.recv_many(&mut self.batch, MAX_BATCH) => {}
            input = next_grpc_input(&mut self.effects.grpc) => {
                self.batch.push(LoopEvent::Input(Input::Stream(input)));
            }
            () = tokio::time::sleep_until(Instant::from_std(wake_at)) => self.catch_up().await,
        }
    }

    /// After a timeout, collects events that arrived while the process was not scheduled, so that they are handled
    /// before the timeout.
    async fn catch_up(&mut self) {
        for _ in 0..CATCH_UP_YIELDS {
            tokio::task::yield_now().await;
        }
        while self.batch.len() < MAX_BATCH
            && let Ok(event) = self.events.try_recv()
        {
            self.batch.push(event);
        }
    }

    /// Adds at most [`MAX_BATCH`] available gRPC inputs to the batch, so that neither source starves the other.
    fn drain_grpc_inputs(&mut self) {
        let max_len = self.batch.len() + MAX_BATCH;
        while self.batch.len() < max_len
            && let Some(input) = self
                .effects
                .grpc
                .as_mut()
                .and_then(GrpcTransport::try_next_input)
        {
            self.batch.push(LoopEvent::Input(Input::Stream(input)));
        }
    }
}

/// Waits for the next gRPC input; pending forever if gRPC isn't served.
async fn next_grpc_input(grpc: &mut Option<GrpcTransport>) -> rushcourse_xds::Input {
    if let Some(grpc) = grpc
        && let Some(input) = grpc.next_input().await
    {
        return input;
    }
    std::future::pending().await
}
