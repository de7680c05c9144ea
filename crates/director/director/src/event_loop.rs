//! The loop: what was read goes through the session's step, and what the session asks for is carried out.

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

/// Inputs that may wait for the loop; readers wait beyond that.
const MAX_WAITING_EVENTS: usize = 1024;
/// Inputs that the loop takes at a time.
const MAX_BATCH: usize = 256;
/// For proxies on gRPC streams to hear that their connections end.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(400);
/// For the log to write its last lines.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(30);
/// Turns that are given to the network tasks after the process did not run for a while.
const CATCH_UP_YIELDS: usize = 2;

/// Serves until SIGTERM. From its first moment on, a signal that asks for a reload does not end it.
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
    let done = runtime.block_on(run(config, signals, logger.clone(), dropped_lines));
    // Nothing waits for a look-up, a peer or a reader of the log that hangs: the last lines get a moment.
    runtime.shutdown_background();
    std::thread::sleep(LOG_FLUSH_DELAY);
    std::mem::forget(logger);
    done
}

async fn run(
    config: Config,
    signals: Signals,
    logger: Logger,
    dropped_lines: DroppedLines,
) -> Result<(), DirectorError> {
    let (sender, events) = mpsc::channel(MAX_WAITING_EVENTS);
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
        "told to end: {} calls made",
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
    /// What is handled next.
    batch: Vec<LoopEvent>,
}

impl EventLoop {
    /// Runs until the session asks for the end, and hands it back.
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
            self.take_grpc_inputs();
        }
        if let Some(grpc) = self.effects.grpc.take() {
            grpc.close(SHUTDOWN_GRACE).await;
        }
        self.session
    }

    /// Hands in all that came, at one time, and then does what is due.
    fn handle_batch(&mut self) {
        let now = self.clock.now();
        let mut batch = std::mem::take(&mut self.batch);
        for event in batch.drain(..) {
            self.handle(now, event);
        }
        // Its allocation serves the next batch.
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
                    // Its connection may have ended meanwhile.
                    _ = is_collector.send(self.session.is_collector(inbound));
                }
            }
            LoopEvent::Accepted {
                inbound,
                peer,
                messages,
                task,
            } => {
                self.effects.peer_accepted(inbound, messages, task);
                self.step(now, Input::InboundOpened { inbound, peer });
            }
            LoopEvent::PageRequested { page, text } => {
                let rendered = pages::render(page, &self.session, self.dropped_lines.count());
                // Whoever asked may have gone.
                _ = text.send(rendered);
            }
        }
    }

    fn step(&mut self, now: f64, input: Input) {
        self.effects.forget_closed(&input);
        for effect in self.session.step(now, input) {
            self.effects.carry_out(effect);
        }
    }

    /// Waits for something to handle.
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

    /// Reads what has come while the process did not run, before anything counts as missing.
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

    /// Takes the inputs of gRPC that are there, as many as of the rest: neither holds up the other.
    fn take_grpc_inputs(&mut self) {
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

/// The next input of gRPC; never, where it is not served.
async fn next_grpc_input(grpc: &mut Option<GrpcTransport>) -> rushcourse_xds::Input {
    if let Some(grpc) = grpc
        && let Some(input) = grpc.next_input().await
    {
        return input;
    }
    std::future::pending().await
}
