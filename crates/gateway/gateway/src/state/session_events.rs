//! Handles session events: sessions opened and closed, and messages of controllers and other gateways.

use super::GatewayState;
use rushcourse_messages::{KeyHolder, Message, Role};
use rushcourse_routing::{ClaimResponse, LeaseResponse};
use rushcourse_transport::{Session, SessionEvent};
use rushcourse_types::{ConfigurationVersion, NodeId, SessionId, Timestamp};

impl GatewayState {
    pub(crate) fn handle_session_event(&self, event: SessionEvent) {
        let now = self.now();
        match event {
            SessionEvent::Opened(session) => self.session_opened(now, session),
            SessionEvent::Received { session, message } => {
                self.message_received(now, session, message);
            }
            SessionEvent::Closed(session) => self.session_closed(now, session),
        }
    }

    fn session_opened(&self, now: Timestamp, session: Session) {
        let name = &session.peer.name;
        let role = session.peer.role;
        log::info!("event=session_opened peer={name} role={role:?}");
        let zone = session.peer.zone.clone();
        let mut control_plane = self.control_plane.borrow_mut();
        let peer = control_plane.sessions_mut().session_opened(session);
        if peer.role == Role::Controller {
            control_plane.controller_connected(now, peer.node, &zone);
            drop(control_plane);
            self.resend_usage(peer.node);
        }
    }

    fn session_closed(&self, now: Timestamp, session: SessionId) {
        let mut control_plane = self.control_plane.borrow_mut();
        let Some(peer) = control_plane.sessions_mut().session_closed(session) else {
            return;
        };
        if peer.role == Role::Controller {
            log::info!("event=session_closed node={}", peer.node);
            control_plane.controller_disconnected(peer.node);
            self.operations
                .borrow_mut()
                .controller_disconnected(now, peer.node);
            control_plane.select_primary(now);
        }
    }

    fn message_received(&self, now: Timestamp, session: SessionId, message: Message) {
        let peer = self.control_plane.borrow().sessions().peer(session);
        let Some(peer) = peer else {
            return;
        };
        match peer.role {
            Role::Controller => self.handle_controller_message(now, session, peer.node, message),
            Role::Gateway => self.handle_gateway_message(now, session, peer.node, message),
        }
    }

    fn handle_controller_message(
        &self,
        now: Timestamp,
        session: SessionId,
        controller: NodeId,
        message: Message,
    ) {
        match message {
            Message::Controllers(nodes) => self.add_controllers(nodes),
            Message::VotingSet(voting_set) => {
                let control_plane = self.control_plane.borrow();
                self.operations.borrow_mut().voting_set_reported(
                    now,
                    controller,
                    voting_set,
                    &control_plane,
                );
            }
            Message::ControllerStatus {
                is_synchronized,
                gateways,
            } => self.controller_status_reported(now, controller, is_synchronized, gateways),
            Message::Configuration { version, text } => self.apply_configuration(version, &text),
            Message::CommittedVersion { version } => {
                let mut control_plane = self.control_plane.borrow_mut();
                control_plane.version_announced(now, controller, version);
            }
            Message::ConfigurationLeaseResponse {
                sent_at,
                version,
                age,
            } => {
                let response = LeaseResponse {
                    sent_at,
                    version,
                    age: age.into(),
                };
                let mut control_plane = self.control_plane.borrow_mut();
                control_plane.lease_response_received(now, response);
            }
            Message::ClaimResponse { .. }
            | Message::OperationReply { .. }
            | Message::ResponseStoreOpened { .. }
            | Message::ResponseShardsStored { .. } => {
                self.handle_operation_message(now, session, controller, message);
            }
            _ => self.handle_endpoint_message(controller, message),
        }
    }

    /// Handles messages about claims of operation keys and replicas of responses.
    fn handle_operation_message(
        &self,
        now: Timestamp,
        session: SessionId,
        controller: NodeId,
        message: Message,
    ) {
        match message {
            Message::ClaimResponse {
                epoch,
                claim_number,
                verdict,
            } => {
                let response = ClaimResponse {
                    epoch,
                    claim_number,
                    verdict,
                };
                let mut operations = self.operations.borrow_mut();
                operations.handle_claim_response(now, controller, response);
            }
            Message::OperationReply { token, state } => {
                self.operation_query_answered(token, controller, state);
            }
            Message::ResponseStoreOpened { store } => {
                self.response_store_opened(session, controller, store);
            }
            Message::ResponseShardsStored { sequences } => {
                self.shards_stored(now, controller, &sequences);
            }
            _ => {}
        }
    }

    /// Applies host states from any controller, so that a drain takes effect on every gateway. Applies and acknowledges
    /// endpoint tables only from the primary controller.
    fn handle_endpoint_message(&self, controller: NodeId, message: Message) {
        match message {
            Message::HostStates(hosts) => {
                let unavailable = self.endpoints.borrow_mut().apply_host_states(&hosts);
                let mut pools = self.pools.borrow_mut();
                for host in unavailable {
                    pools.close_host(&host);
                }
            }
            Message::TableReplacement {
                service,
                revision,
                endpoints,
            } if self.is_primary(controller) => {
                self.endpoints.borrow_mut().replace(&service, endpoints);
                let applied = Message::TableApplied { service, revision };
                self.send(controller, &applied);
            }
            Message::TableUpdate {
                service,
                revision,
                endpoints,
            } if self.is_primary(controller) => {
                self.endpoints.borrow_mut().update(&service, endpoints);
                let applied = Message::TableApplied { service, revision };
                self.send(controller, &applied);
            }
            _ => {}
        }
    }

    fn controller_status_reported(
        &self,
        now: Timestamp,
        controller: NodeId,
        is_synchronized: bool,
        gateways: u32,
    ) {
        let mut control_plane = self.control_plane.borrow_mut();
        control_plane.set_synchronized(now, controller, is_synchronized);
        self.retry_budget.borrow_mut().set_gateway_count(gateways);
        self.pools.borrow_mut().set_gateway_count(gateways);
        control_plane.select_primary(now);
    }

    fn apply_configuration(&self, version: ConfigurationVersion, text: &[u8]) {
        let mut control_plane = self.control_plane.borrow_mut();
        if let Some(configuration) = control_plane.apply_configuration(version, text) {
            let services = &configuration.services;
            self.retry_budget
                .borrow_mut()
                .retain_services(|service| services.contains_key(service));
            self.pools.borrow_mut().set_capacities(services);
        }
    }

    fn handle_gateway_message(
        &self,
        now: Timestamp,
        session: SessionId,
        gateway: NodeId,
        message: Message,
    ) {
        match message {
            Message::OperationQuery {
                token,
                key,
                claim,
                offset,
            } => {
                let control_plane = self.control_plane.borrow();
                let mut operations = self.operations.borrow_mut();
                let holder = KeyHolder { key, claim };
                let state = operations.state_of_claim(now, holder, offset, &control_plane);
                let reply = Message::OperationReply { token, state };
                control_plane.sessions().reply(session, &reply);
            }
            Message::OperationReply { token, state } => {
                self.operation_query_answered(token, gateway, state);
            }
            _ => {}
        }
    }

    fn is_primary(&self, controller: NodeId) -> bool {
        self.control_plane.borrow().primary() == Some(controller)
    }

    fn send(&self, node: NodeId, message: &Message) {
        self.control_plane.borrow().sessions().send(node, message);
    }
}
