//! What the gateway has from the controllers: sessions, the primary controller, the configuration.

use crate::peer_sessions::PeerSessions;
use rushcourse_config::Configuration;
use rushcourse_messages::Message;
use rushcourse_routing::{ClaimRequest, ClaimWithdrawal, ConfigurationFetch, ControllerSelection};
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::sync::Arc;

/// Sessions with controllers and gateways, the choice of the primary controller, and the configuration.
pub(crate) struct ControlPlane {
    sessions: PeerSessions,
    controllers: ControllerSelection,
    configuration: Option<Arc<Configuration>>,
    configuration_fetch: ConfigurationFetch,
}

impl ControlPlane {
    /// No configuration and no primary controller yet.
    pub(crate) fn new(sessions: PeerSessions, controllers: ControllerSelection) -> ControlPlane {
        ControlPlane {
            sessions,
            controllers,
            configuration: None,
            configuration_fetch: ConfigurationFetch::default(),
        }
    }

    /// The sessions with other nodes.
    pub(crate) fn sessions(&self) -> &PeerSessions {
        &self.sessions
    }

    /// The sessions with other nodes, to change them.
    pub(crate) fn sessions_mut(&mut self) -> &mut PeerSessions {
        &mut self.sessions
    }

    /// The configuration that requests go by, if there is one yet.
    pub(crate) fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The controller that endpoint tables are taken from.
    pub(crate) fn primary(&self) -> Option<NodeId> {
        self.controllers.primary()
    }

    /// Whether a session with a controller stands.
    pub(crate) fn is_connected(&self, controller: NodeId) -> bool {
        self.controllers.is_connected(controller)
    }

    /// A session with a controller was opened. One that stood before is taken for ended: what the controller said on it
    /// counts no more.
    pub(crate) fn controller_connected(&mut self, node: NodeId, zone: &str) {
        self.sessions.add_controllers([node]);
        self.controllers.controller_disconnected(node);
        self.controllers.controller_connected(node, zone);
    }

    /// The session with a controller was closed.
    pub(crate) fn controller_disconnected(&mut self, node: NodeId) {
        self.controllers.controller_disconnected(node);
    }

    /// A controller says whether it is synchronized.
    pub(crate) fn set_synchronized(&mut self, now: Timestamp, node: NodeId, is_synchronized: bool) {
        self.controllers
            .set_synchronized(now, node, is_synchronized);
    }

    /// Selects another primary controller where that is due, and tells both.
    pub(crate) fn select_primary(&mut self, now: Timestamp) {
        let Some(change) = self.controllers.select(now) else {
            return;
        };
        if let Some(released) = change.released {
            self.sessions
                .send(released, &Message::PrimarySelected(false));
        }
        log::info!("event=primary_selected node={}", change.selected);
        self.sessions
            .send(change.selected, &Message::PrimarySelected(true));
    }

    /// A controller announces the committed version.
    pub(crate) fn version_announced(
        &mut self,
        now: Timestamp,
        controller: NodeId,
        version: ConfigurationVersion,
    ) {
        let current = self.version();
        self.configuration_fetch
            .version_announced(now, controller, version, current);
        self.request_configuration(now);
    }

    /// Asks a controller for a configuration that was announced and has not come by itself, once that is due.
    pub(crate) fn request_configuration(&mut self, now: Timestamp) {
        let current = self.version();
        let controllers = &self.controllers;
        let holder = self
            .configuration_fetch
            .next_request(now, current, |node| controllers.is_connected(node));
        if let Some(holder) = holder {
            let request = Message::ConfigurationRequest {
                newer_than: current,
            };
            self.sessions.send(holder, &request);
        }
    }

    /// Takes a committed configuration. Returns it if requests go by it from now on: the version never goes back within
    /// this incarnation.
    pub(crate) fn apply_configuration(
        &mut self,
        version: ConfigurationVersion,
        text: &[u8],
    ) -> Option<Arc<Configuration>> {
        let current = self.configuration.as_ref();
        if current.is_some_and(|current| current.version >= version) {
            return None;
        }
        match Configuration::parse(text) {
            Ok(configuration) => {
                let routes = configuration.routes.len();
                log::info!("event=configuration_applied version={version} routes={routes}");
                self.configuration = Some(Arc::new(configuration));
                self.configuration.clone()
            }
            Err(error) => {
                let why = error.to_string();
                log::error!("event=configuration_unusable version={version} why={why:?}");
                None
            }
        }
    }

    /// Sends a claim to the voters that it names.
    pub(crate) fn send_claim(&self, request: &ClaimRequest) {
        let message = Message::ClaimRequest {
            epoch: request.epoch,
            key: request.key,
            claim: request.claim,
        };
        self.send_to_all(&request.voters, &message);
    }

    /// Tells the voters that it names that nothing was sent under a claim.
    pub(crate) fn send_withdrawal(&self, withdrawal: &ClaimWithdrawal) {
        let message = Message::ClaimWithdrawal {
            key: withdrawal.key,
            claim: withdrawal.claim,
        };
        self.send_to_all(&withdrawal.voters, &message);
    }

    fn send_to_all(&self, nodes: &[NodeId], message: &Message) {
        for node in nodes {
            self.sessions.send(*node, message);
        }
    }

    fn version(&self) -> ConfigurationVersion {
        let current = self.configuration.as_ref();
        current.map_or(ConfigurationVersion::NONE, |current| current.version)
    }
}
