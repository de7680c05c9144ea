//! Executes the effects that the session returns.

use crate::config::ConfigSource;
use crate::error::DirectorError;
use crate::events::{EventSender, LoopEvent, PeerMessage};
use crate::net::discovery::DiscoveryClient;
use crate::net::health_check::HealthCheckClient;
use crate::net::relay::{self, RelayConnection};
use bytes::Bytes;
use rushcourse_director_state::{
    Effect, InboundId, Input, RelayConnectionId, ReloadedConfig, Severity,
};
use rushcourse_grpc::{GrpcServerConfig, GrpcTransport};
use rushcourse_policy::interface::Ms;
use slog::{Logger, error, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// An inbound connection, as long as the session holds it.
struct PeerConnection {
    messages: mpsc::Sender<PeerMessage>,
    task: AbortHandle,
}

/// Effects that the event loop executes itself.
#[derive(Debug)]
pub(crate) struct LoopRequests {
    /// Latest time of the session's next step, in ms.
    pub(crate) wake_at: Ms,
    /// Whether to read the configuration again before the next step.
    pub(crate) reload: bool,
    /// Whether to leave the event loop.
    pub(crate) exit: bool,
}

/// Executes effects and owns the connections that they refer to.
pub(crate) struct EffectRunner {
    events: EventSender,
    logger: Logger,
    config: ConfigSource,
    discovery: DiscoveryClient,
    health_checks: HealthCheckClient,
    /// `None` until gRPC is first served.
    pub(crate) grpc: Option<GrpcTransport>,
    relay_connections: BTreeMap<RelayConnectionId, RelayConnection>,
    peers: BTreeMap<InboundId, PeerConnection>,
    pub(crate) requests: LoopRequests,
}

impl EffectRunner {
    /// Creates a runner without connections. Longer membership lists than `max_list_size` bytes are rejected.
    pub(crate) fn new(
        events: EventSender,
        logger: Logger,
        config: ConfigSource,
        max_list_size: usize,
    ) -> EffectRunner {
        EffectRunner {
            events,
            logger,
            config,
            discovery: DiscoveryClient::new(max_list_size),
            health_checks: HealthCheckClient::new(),
            grpc: None,
            relay_connections: BTreeMap::new(),
            peers: BTreeMap::new(),
            requests: LoopRequests {
                wake_at: f64::INFINITY,
                reload: false,
                exit: false,
            },
        }
    }

    /// Registers an accepted connection. `task` reads and writes it, and `messages` is its write queue.
    pub(crate) fn add_peer(
        &mut self,
        inbound: InboundId,
        messages: mpsc::Sender<PeerMessage>,
        task: AbortHandle,
    ) {
        self.peers
            .insert(inbound, PeerConnection { messages, task });
    }

    /// Removes the connection whose end `input` reports, if it reports one.
    pub(crate) fn remove_closed(&mut self, input: &Input) {
        match input {
            Input::InboundClosed { inbound, .. } => _ = self.peers.remove(inbound),
            Input::RelayDisconnected { connection, .. } => {
                _ = self.relay_connections.remove(connection);
            }
            _ => {}
        }
    }

    /// Executes an effect without blocking. Its results arrive as events.
    pub(crate) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SendInbound { inbound, frame } => self.send_to_peer(inbound, frame),
            Effect::CloseInbound {
                inbound,
                last_frame,
            } => self.close_peer(inbound, last_frame),
            Effect::ConnectRelay {
                connection,
                address,
            } => self.connect_relay(connection, address),
            Effect::SendRelay { connection, line } => self.send_relay_line(connection, line),
            Effect::DisconnectRelay { connection } => self.disconnect_relay(connection),
            Effect::FetchEndpoints {
                request,
                address,
                path,
                timeout,
            } => self
                .discovery
                .request_list(request, address, &path, timeout, self.events.clone()),
            Effect::CheckHealth {
                host,
                address,
                path,
                timeout,
            } => self
                .health_checks
                .start(host, &address, path, timeout, self.events.clone()),
            Effect::Stream(effect) => {
                if let Some(grpc) = &mut self.grpc {
                    grpc.apply_effect(effect);
                }
            }
            Effect::ReloadConfig => self.requests.reload = true,
            Effect::ScheduleWake { at } => self.requests.wake_at = at,
            Effect::Log { severity, text } => self.log(severity, &text),
            Effect::Exit => self.requests.exit = true,
        }
    }

    fn send_to_peer(&mut self, inbound: InboundId, frame: Bytes) {
        let Some(peer) = self.peers.get(&inbound) else {
            return;
        };
        if peer.messages.try_send(PeerMessage::Message(frame)).is_err() {
            // The queue is full because the peer doesn't read its responses.
            self.close_peer(inbound, None);
            self.report(Input::InboundClosed {
                inbound,
                error: Some("the peer does not read its responses".into()),
            });
        }
    }

    /// Closes a connection. With a last frame that fits in the write queue, its task ends by itself after writing it;
    /// otherwise the task is aborted.
    fn close_peer(&mut self, inbound: InboundId, last_frame: Option<Bytes>) {
        let Some(peer) = self.peers.remove(&inbound) else {
            return;
        };
        let closes_after_write = last_frame
            .is_some_and(|frame| peer.messages.try_send(PeerMessage::Last(frame)).is_ok());
        if !closes_after_write {
            peer.task.abort();
        }
    }

    fn connect_relay(&mut self, id: RelayConnectionId, address: SocketAddr) {
        let connection = relay::connect(address, id, self.events.clone());
        self.relay_connections.insert(id, connection);
    }

    fn disconnect_relay(&mut self, id: RelayConnectionId) {
        if let Some(connection) = self.relay_connections.remove(&id) {
            connection.task.abort();
        }
    }

    fn send_relay_line(&mut self, id: RelayConnectionId, line: String) {
        let sent = self
            .relay_connections
            .get(&id)
            .is_some_and(|connection| connection.lines.try_send(line).is_ok());
        if !sent {
            self.report(Input::RelayDisconnected {
                connection: id,
                reason: "the connection is closed or its write queue is full".into(),
            });
        }
    }

    /// Queues an input that results directly from an effect.
    fn report(&self, input: Input) {
        // If the queue is full, the input is lost; the connection's task reports its end too unless it was aborted.
        _ = self.events.try_send(LoopEvent::Input(input));
    }

    fn log(&self, severity: Severity, text: &str) {
        match severity {
            Severity::Info => info!(self.logger, "{}", text),
            Severity::Warning => warn!(self.logger, "{}", text),
            Severity::Error => error!(self.logger, "{}", text),
        }
    }

    /// Serves gRPC with this configuration. A previous address accepts no new connections, but its open ones continue.
    pub(crate) async fn serve_grpc(
        &mut self,
        config: &GrpcServerConfig,
    ) -> Result<(), DirectorError> {
        let grpc = self
            .grpc
            .get_or_insert_with(|| GrpcTransport::new(self.config.name()));
        let address = grpc.listen(config).await.map_err(DirectorError::Grpc)?;
        let tls = if config.tls.is_some() { ", TLS" } else { "" };
        info!(
            self.logger,
            "gRPC on {}{}, {} connections at most", address, tls, config.max_connections
        );
        Ok(())
    }

    /// Reads the configuration again and applies its gRPC part. A gRPC address that can't be bound is an error.
    pub(crate) async fn reload(&mut self) -> Result<ReloadedConfig, DirectorError> {
        let reloaded = self.config.reload()?;
        if let Some(config) = &reloaded.grpc {
            self.serve_grpc(config).await?;
        } else if let Some(grpc) = &mut self.grpc {
            grpc.stop_accepting();
        }
        Ok(reloaded.session)
    }
}
