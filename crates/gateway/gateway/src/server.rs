//! The program: connections of clients, readiness, signals.

use crate::answers::Answer;
use crate::board::{Board, Shared};
use crate::front;
use crate::links::Links;

use axum::http::StatusCode;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use hyper::body::{Body, Frame, SizeHint};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rushcourse_config::NodeSettings;
use rushcourse_messages::Role;
use rushcourse_transport::startup::{
    listen, listen_for_sessions, local_handshake, reload_settings, required_address,
    run_on_this_thread, seed_nodes,
};
use rushcourse_transport::{
    Clock, Dialer, SessionFactory, StartError, accept, accept_sessions, logging,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};

/// ms between ticks.
const TICK: u64 = 100;
/// ms between two ticks from which on this process, or its machine, stood still (ours).
const STANDSTILL: u64 = 1_000;
/// Part of the grace period after which a process that was told to end does so, finished or not (ours).
const GRACE_PART: f64 = 0.85;
/// Limits of clients' connections before there is a configuration: as its defaults.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// ms for which a process that was told to end goes on taking connections: the platform asks once a second.
const LINGER: u64 = 2_300;

/// Runs a frontend director until it is told to end.
///
/// # Errors
/// Settings that name no address to listen at, or an address that is taken.
pub fn serve(path: &Path, boot: NodeSettings) -> Result<(), Report<StartError>> {
    logging::init(&boot.log_level, &boot.node.name);
    run_on_this_thread(run(path.to_path_buf(), boot))
}

async fn run(path: std::path::PathBuf, boot: NodeSettings) -> Result<(), Report<StartError>> {
    let front = required_address(
        boot.listen_addresses.front_http,
        "listen_addresses.front_http",
    )?;
    let front = listen(front).await?;
    let readiness = required_address(
        boot.listen_addresses.readiness,
        "listen_addresses.readiness",
    )?;
    let readiness = listen(readiness).await?;
    let internal = listen_for_sessions(&boot).await?;
    let times = Clock::start();
    let handshake = local_handshake(&boot, Role::Gateway);
    let incarnation = handshake.incarnation;
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let factory = SessionFactory::new(handshake, event_sender);
    factory
        .set_keys(boot.peers.keys.as_ref())
        .change_context(StartError::Keys)?;
    let mut links = Links::new(Dialer::new(factory.clone(), boot.peers.ports.first));
    links.know(seed_nodes(&boot));
    let board: Shared = Rc::new(Board::new(&boot, times, incarnation, links));
    let descriptors = boot.limits.file_descriptors.saturating_sub(264).max(32);
    let ready = Arc::new(AtomicBool::new(false));
    log::info!("event=start incarnation={incarnation}");
    tokio::task::spawn_local(accept_sessions(internal, descriptors / 8, factory.clone()));
    tokio::task::spawn_local(tell_ready(readiness, ready.clone()));
    let clients = Rc::new(Clients::default());
    tokio::task::spawn_local(take_clients(
        front,
        descriptors / 2,
        board.clone(),
        clients.clone(),
    ));
    let mut term = signal(SignalKind::terminate()).change_context(StartError::Signals)?;
    let mut hup = signal(SignalKind::hangup()).change_context(StartError::Signals)?;
    let mut tick = tokio::time::interval(Duration::from_millis(TICK));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told = Vec::new();
    let mut ended_at = None;
    loop {
        tokio::select! {
            _ = events.recv_many(&mut told, 128) => {
                told.drain(..).for_each(|event| board.session(event));
                ready.store(board.ready(), Ordering::Relaxed);
            }
            _ = tick.tick() => {
                board.tick();
                if let Some(line) = factory.take_rejections_line(board.times.now()) {
                    log::warn!("{line}");
                }
                ready.store(board.ready(), Ordering::Relaxed);
                clients.sweep(&board);
                if let Some(at) = ended_at {
                    let now = board.times.now().as_millis();
                    let grace = (boot.bounds.grace_period.as_secs_f64() * GRACE_PART * 1000.0) as u64;
                    if now >= at + LINGER.min(grace / 2) {
                        clients.end();
                    }
                    let idle = board.busy.get() == 0 && clients.is_empty();
                    if now >= at + grace || now >= at + LINGER.min(grace / 2) && idle {
                        break;
                    }
                }
            }
            _ = term.recv() => {
                log::info!("event=ending");
                board.ending.set(true);
                ready.store(false, Ordering::Relaxed);
                ended_at.get_or_insert(board.times.now().as_millis());
            }
            _ = hup.recv() => {
                if let Some(settings) = reload_settings(&path, &factory) {
                    board.state.borrow_mut().links.know(seed_nodes(&settings));
                }
            }
        }
    }
    log::info!("event=end why=told requests_at_work={}", board.busy.get());
    Ok(())
}

async fn tell_ready(listener: TcpListener, ready: Arc<AtomicBool>) {
    let page = move || {
        let ready = ready.load(Ordering::Relaxed);
        async move {
            if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    let router = axum::Router::new().route("/-/ready", axum::routing::get(page));
    loop {
        let (stream, _) = accept(&listener).await;
        let service = hyper_util::service::TowerToHyperService::new(router.clone());
        tokio::task::spawn_local(async move {
            let serving = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(Duration::from_secs(60), serving).await;
        });
    }
}

/// What a client's connection is doing, since when.
#[derive(Clone, Copy, PartialEq)]
enum Doing {
    Waiting,
    Sending,
    Served,
}

struct Client {
    /// What it does, since when in ms.
    doing: Cell<(Doing, u64)>,
    /// Woken to close: gently, or at once.
    wake: Notify,
    at_once: Cell<bool>,
}

impl Client {
    /// The connection rests from its last byte on.
    fn wrote(&self, board: &Board) {
        if self.doing.get().0 == Doing::Waiting {
            self.doing
                .set((Doing::Waiting, board.times.now().as_millis()));
        }
    }
}

/// The body of an answer on its way to a client, which rests once this is gone.
struct Leaving {
    body: Answer,
    client: Rc<Client>,
    board: Shared,
}

impl Body for Leaving {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Leaving {
    fn drop(&mut self) {
        self.client
            .doing
            .set((Doing::Waiting, self.board.times.now().as_millis()));
    }
}

#[derive(Default)]
struct Clients {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    ending: Cell<bool>,
    /// When connections were looked through last.
    swept: Cell<u64>,
}

impl Clients {
    fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Closes connections whose request does not come to an end, or that are idle for too long.
    fn sweep(&self, board: &Board) {
        let now = board.times.now().as_millis();
        // After a standstill, what came during it is read first.
        if now > self.swept.replace(now) + STANDSTILL {
            return;
        }
        let limits = board
            .state
            .borrow()
            .configuration
            .as_ref()
            .map(|c| c.limits);
        let (head, idle) = limits.map_or((DEFAULT_HEAD_TIMEOUT, DEFAULT_IDLE_TIMEOUT), |l| {
            (l.header_timeout, l.idle_timeout)
        });
        for client in self.open.borrow().values() {
            let (doing, since) = client.doing.get();
            let most = match doing {
                Doing::Waiting => idle,
                Doing::Sending => head,
                Doing::Served => continue,
            };
            if Duration::from_millis(now.saturating_sub(since)) > most {
                client.at_once.set(doing == Doing::Sending);
                client.wake.notify_one();
            }
        }
    }

    /// Ends all connections after what is at work on them.
    fn end(&self) {
        if !self.ending.replace(true) {
            self.open
                .borrow()
                .values()
                .for_each(|c| c.wake.notify_one());
        }
    }
}

/// A connection that says when a request begins to come.
struct Watched {
    io: TokioIo<TcpStream>,
    client: Rc<Client>,
    board: Shared,
}

impl hyper::rt::Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) && self.client.doing.get().0 == Doing::Waiting {
            self.client
                .doing
                .set((Doing::Sending, self.board.times.now().as_millis()));
        }
        read
    }
}

impl hyper::rt::Write for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.client.wrote(&self.board);
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.client.wrote(&self.board);
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}

async fn take_clients(listener: TcpListener, most: usize, board: Shared, clients: Rc<Clients>) {
    loop {
        let (stream, from) = accept(&listener).await;
        if clients.open.borrow().len() >= most {
            log::warn!("event=client_refused from={from} open={most}");
            continue;
        }
        let _ = stream.set_nodelay(true);
        let number = clients.next.get() + 1;
        clients.next.set(number);
        let client = Rc::new(Client {
            doing: Cell::new((Doing::Waiting, board.times.now().as_millis())),
            wake: Notify::new(),
            at_once: Cell::new(false),
        });
        clients.open.borrow_mut().insert(number, client.clone());
        tokio::task::spawn_local(serve_client(
            stream,
            board.clone(),
            clients.clone(),
            number,
            client,
        ));
    }
}

async fn serve_client(
    stream: TcpStream,
    board: Shared,
    clients: Rc<Clients>,
    number: u64,
    client: Rc<Client>,
) {
    let head_most = board
        .state
        .borrow()
        .configuration
        .as_ref()
        .map_or(16_384, |c| c.limits.max_header_bytes);
    let service = {
        let (board, client) = (board.clone(), client.clone());
        service_fn(move |request| {
            let (board, client) = (board.clone(), client.clone());
            client
                .doing
                .set((Doing::Served, board.times.now().as_millis()));
            async move {
                let response = front::handle(&board, request).await;
                Ok::<_, Infallible>(response.map(|body| Leaving {
                    body,
                    client,
                    board,
                }))
            }
        })
    };
    let io = Watched {
        io: TokioIo::new(stream),
        client: client.clone(),
        board,
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size((head_most as usize).clamp(8_192, 1 << 20))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    if clients.ending.get() {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        tokio::select! {
            _ = connection.as_mut() => break,
            _ = client.wake.notified() => {
                if client.at_once.get() {
                    break;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
    clients.open.borrow_mut().remove(&number);
}
