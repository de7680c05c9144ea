//! Carries out what the session asks for.

use crate::config::ConfigSource;
use crate::error::DirectorError;
use crate::events::{LoopEvent, LoopSender, PeerMessage};
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

/// A connection of a peer.
struct PeerConnection {
    messages: mpsc::Sender<PeerMessage>,
    task: AbortHandle,
}

/// What the session has asked the loop for.
#[derive(Debug)]
pub(crate) struct LoopRequests {
    /// When the session is to be stepped next, at the latest.
    pub(crate) wake_at: Ms,
    /// The configuration is to be read again.
    pub(crate) reload: bool,
    /// The process is to end.
    pub(crate) exit: bool,
}

/// The process's sockets, as far as the session asks for them.
pub(crate) struct EffectRunner {
    loop_sender: LoopSender,
    logger: Logger,
    config: ConfigSource,
    discovery: DiscoveryClient,
    health_checks: HealthCheckClient,
    /// gRPC, where it is served.
    pub(crate) grpc: Option<GrpcTransport>,
    relay_connections: BTreeMap<RelayConnectionId, RelayConnection>,
    peers: BTreeMap<InboundId, PeerConnection>,
    pub(crate) requests: LoopRequests,
}

impl EffectRunner {
    /// No connection yet. A membership list has at most `max_list_size` bytes.
    pub(crate) fn new(
        loop_sender: LoopSender,
        logger: Logger,
        config: ConfigSource,
        max_list_size: usize,
    ) -> EffectRunner {
        EffectRunner {
            loop_sender,
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

    /// A peer connected.
    pub(crate) fn peer_accepted(
        &mut self,
        inbound: InboundId,
        messages: mpsc::Sender<PeerMessage>,
        task: AbortHandle,
    ) {
        self.peers
            .insert(inbound, PeerConnection { messages, task });
    }

    /// Forgets connections that an input says are gone.
    pub(crate) fn forget_closed(&mut self, input: &Input) {
        match input {
            Input::InboundClosed { inbound, .. } => _ = self.peers.remove(inbound),
            Input::RelayDisconnected { connection, .. } => {
                _ = self.relay_connections.remove(connection);
            }
            _ => {}
        }
    }

    /// Does what the session asks for.
    pub(crate) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SendInbound { inbound, frame } => self.write(inbound, frame),
            Effect::CloseInbound {
                inbound,
                last_frame,
            } => self.close(inbound, last_frame),
            Effect::ConnectRelay {
                connection,
                address,
            } => self.connect(connection, address),
            Effect::SendRelay { connection, line } => self.send_line(connection, line),
            Effect::DisconnectRelay { connection } => self.disconnect(connection),
            Effect::FetchEndpoints {
                request,
                address,
                path,
                timeout,
            } => self.discovery.request_list(
                request,
                address,
                &path,
                timeout,
                self.loop_sender.clone(),
            ),
            Effect::CheckHealth {
                host,
                address,
                path,
                timeout,
            } => self
                .health_checks
                .start(host, &address, path, timeout, self.loop_sender.clone()),
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

    fn write(&mut self, inbound: InboundId, frame: Bytes) {
        let Some(peer) = self.peers.get(&inbound) else {
            return;
        };
        if peer.messages.try_send(PeerMessage::Message(frame)).is_err() {
            // It does not read what it asked for.
            self.close(inbound, None);
            self.report(Input::InboundClosed {
                inbound,
                error: Some("it does not read its answers".into()),
            });
        }
    }

    /// Ends a peer's connection, after a last message where there is one and there is room for it.
    fn close(&mut self, inbound: InboundId, last_frame: Option<Bytes>) {
        let Some(peer) = self.peers.remove(&inbound) else {
            return;
        };
        let ends_by_itself = last_frame
            .is_some_and(|frame| peer.messages.try_send(PeerMessage::Last(frame)).is_ok());
        if !ends_by_itself {
            peer.task.abort();
        }
    }

    fn connect(&mut self, id: RelayConnectionId, address: SocketAddr) {
        let connection = relay::connect(address, id, self.loop_sender.clone());
        self.relay_connections.insert(id, connection);
    }

    fn disconnect(&mut self, id: RelayConnectionId) {
        if let Some(connection) = self.relay_connections.remove(&id) {
            connection.task.abort();
        }
    }

    fn send_line(&mut self, id: RelayConnectionId, line: String) {
        let sent = self
            .relay_connections
            .get(&id)
            .is_some_and(|connection| connection.lines.try_send(line).is_ok());
        if !sent {
            self.report(Input::RelayDisconnected {
                connection: id,
                reason: "it takes nothing".into(),
            });
        }
    }

    /// Reports to the loop what carrying out an effect has shown.
    fn report(&self, input: Input) {
        // With the queue full, the task of that connection still reports its end.
        _ = self.loop_sender.try_send(LoopEvent::Input(input));
    }

    fn log(&self, severity: Severity, text: &str) {
        match severity {
            Severity::Info => info!(self.logger, "{}", text),
            Severity::Warning => warn!(self.logger, "{}", text),
            Severity::Error => error!(self.logger, "{}", text),
        }
    }

    /// Serves gRPC by this configuration; an address that was served before goes on until no stream is on it.
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

    /// Reads the configuration again. An address that can't be bound is a configuration that can't be used.
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
