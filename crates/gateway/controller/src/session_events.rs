//! Handlers for session events and for messages from other nodes.

use crate::controller::Controller;
use crate::peer_sessions::SessionChange;
use crate::response_commands::PartToRead;
use rushcourse_cluster as cluster;
use rushcourse_consensus::{self as consensus, ClaimRequest};
use rushcourse_messages::{Message, Role};
use rushcourse_storage::PartQuery;
use rushcourse_transport::{Session, SessionEvent};
use rushcourse_types::{NodeId, SessionId};

impl Controller {
    pub(crate) fn handle_session_event(&mut self, event: SessionEvent) {
        match event {
            SessionEvent::Opened(session) => self.session_opened(session),
            SessionEvent::Closed(id) => self.session_closed(id),
            SessionEvent::Received { session, message } => self.handle_message(session, message),
        }
    }

    fn session_opened(&mut self, session: Session) {
        let (id, role) = (session.id, session.peer.role);
        log::info!(
            "event=session_opened peer={} role={role:?}",
            session.peer.name
        );
        for change in self.sessions.opened(session) {
            self.handle_session_change(change);
        }
        let controllers = Message::Controllers(self.sessions.known_controllers());
        self.sessions.send(id, &controllers);
        // Announces a controller that other nodes may not know yet.
        if role == Role::Controller {
            self.sessions.send_to_controllers(&controllers);
            self.sessions.send_to_gateways(&controllers);
        }
    }

    fn session_closed(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get(id) {
            log::info!("event=session_closed peer={}", session.peer.name);
        }
        if let Some(change) = self.sessions.closed(id) {
            self.handle_session_change(change);
        }
    }

    fn handle_session_change(&mut self, change: SessionChange) {
        match change {
            SessionChange::ControllerConnected(node) => {
                let zone = self.sessions.zone(node).unwrap_or_default();
                self.step_consensus(consensus::Input::PeerConnected { peer: node, zone });
                self.step_cluster(cluster::Input::PeerSessionOpened(node));
            }
            SessionChange::ControllerDisconnected(node) => {
                self.step_consensus(consensus::Input::PeerDisconnected(node));
                self.step_cluster(cluster::Input::PeerSessionClosed(node));
            }
            SessionChange::GatewayConnected(session) => self.gateway_connected(session),
            SessionChange::GatewayDisconnected(session) => {
                self.unnotified_sessions.remove(&session);
                self.step_cluster(cluster::Input::GatewaySessionClosed(session));
            }
        }
    }

    fn gateway_connected(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let (node, zone) = (session.peer.node, session.peer.zone.as_str().into());
        session.send(&Message::VotingSet(self.consensus.voting_set().clone()));
        self.announce_response_store(id);
        self.unnotified_sessions.insert(id);
        self.update_contact();
        self.step_cluster(cluster::Input::GatewaySessionOpened {
            session: id,
            node,
            zone,
        });
    }

    fn handle_message(&mut self, id: SessionId, message: Message) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let node = session.peer.node;
        match session.peer.role {
            Role::Controller => self.handle_controller_message(node, message),
            Role::Gateway => self.handle_gateway_message(id, message),
        }
    }

    fn handle_controller_message(&mut self, node: NodeId, message: Message) {
        match message {
            Message::Controllers(nodes) => self.sessions.add_known_controllers(nodes),
            Message::ReadResponse { token, .. }
                if self.contact.probes.record_response(node, token) =>
            {
                self.finish_probes();
            }
            Message::LeavingHostStored { token } => {
                self.contact.probes.record_response(node, token);
                self.finish_probes();
            }
            Message::StoreLeavingHost { token, record } => {
                self.store_leaving_host_of_peer(node, token, record);
            }
            Message::UsageCounts(counts) => self.record_usage_counts(counts),
            Message::GatewaySessions(_)
            | Message::HostUpdates(_)
            | Message::Heartbeats(_)
            | Message::HostDigests(_)
            | Message::HostRangeRequest(_)
            | Message::ControllerStatus { .. } => {
                self.step_cluster(cluster::Input::PeerMessage {
                    peer: node,
                    message,
                });
            }
            message => self.step_consensus(consensus::Input::MessageReceived {
                from: node,
                message,
            }),
        }
    }

    fn handle_gateway_message(&mut self, session: SessionId, message: Message) {
        match message {
            Message::ClaimRequest { epoch, keys, claim } => {
                self.step_consensus(consensus::Input::Claim(ClaimRequest {
                    session,
                    epoch,
                    keys,
                    claim,
                }));
            }
            Message::ClaimWithdrawal { key, claim } => {
                self.step_consensus(consensus::Input::WithdrawClaim { key, claim });
            }
            Message::ResponseShards { sequence, parts } => {
                self.store_shards(session, sequence, parts);
            }
            Message::OperationQuery {
                token,
                key,
                claim,
                offset,
            } => self.responses.read_part(PartToRead {
                session,
                token,
                query: PartQuery { key, claim, offset },
            }),
            Message::UsageCounts(counts) => self.record_usage_counts(counts),
            Message::ConfigurationRequest { newer_than } => {
                self.send_configuration(session, newer_than);
            }
            Message::ConfigurationLeaseRequest { sent_at } => {
                self.send_confirmation(session, sent_at);
            }
            message => self.step_cluster(cluster::Input::GatewayMessage { session, message }),
        }
    }
}
