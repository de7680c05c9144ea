//! The gateway's view of the control plane: peer sessions, the primary controller and the configuration.

use crate::peer_sessions::PeerSessions;
use rushcourse_config::Configuration;
use rushcourse_messages::Message;
use rushcourse_routing::{
    ClaimRequest, ClaimWithdrawal, ConfigurationFetch, ConfigurationLease, ControllerSelection,
    LeaseChange, LeaseResponse, LeaseTargets, ShardBatch,
};
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Owns the peer sessions, the selection of the primary controller, the current configuration and the lease on it.
pub(crate) struct ControlPlane {
    sessions: PeerSessions,
    controller_selection: ControllerSelection,
    configuration: Option<Arc<Configuration>>,
    configuration_fetch: ConfigurationFetch,
    /// `None` if revocation is unbounded; then no lease is needed.
    configuration_lease: Option<ConfigurationLease>,
}

impl ControlPlane {
    /// Creates a control plane without configuration. `revocation` is `None` if revocation is unbounded.
    pub(crate) fn new(
        sessions: PeerSessions,
        controller_selection: ControllerSelection,
        revocation: Option<Duration>,
    ) -> ControlPlane {
        ControlPlane {
            sessions,
            controller_selection,
            configuration: None,
            configuration_fetch: ConfigurationFetch::default(),
            configuration_lease: revocation.map(ConfigurationLease::new),
        }
    }

    pub(crate) fn sessions(&self) -> &PeerSessions {
        &self.sessions
    }

    pub(crate) fn sessions_mut(&mut self) -> &mut PeerSessions {
        &mut self.sessions
    }

    /// Returns the configuration in use, `None` until a controller has sent one.
    pub(crate) fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the controller whose endpoint tables are applied, if one is selected.
    pub(crate) fn primary(&self) -> Option<NodeId> {
        self.controller_selection.primary()
    }

    /// Whether a session with this controller is open.
    pub(crate) fn is_connected(&self, controller: NodeId) -> bool {
        self.controller_selection.is_connected(controller)
    }

    /// Records a new session with a controller. State reported on an earlier session is discarded.
    pub(crate) fn controller_connected(&mut self, now: Timestamp, node: NodeId, zone: &str) {
        self.sessions.add_controllers([node]);
        self.controller_selection.controller_disconnected(node);
        self.controller_selection.controller_connected(node, zone);
        if let Some(lease) = &mut self.configuration_lease {
            lease.controller_connected(now);
        }
    }

    /// Discards the state of a controller whose session was closed; it stops being primary.
    pub(crate) fn controller_disconnected(&mut self, node: NodeId) {
        self.controller_selection.controller_disconnected(node);
    }

    /// Records whether a controller is synchronized, which makes it eligible as primary.
    pub(crate) fn set_synchronized(&mut self, now: Timestamp, node: NodeId, is_synchronized: bool) {
        self.controller_selection
            .set_synchronized(now, node, is_synchronized);
    }

    /// Changes the primary controller if that is due, and notifies the old and the new one.
    pub(crate) fn select_primary(&mut self, now: Timestamp) {
        let Some(change) = self.controller_selection.select(now) else {
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

    /// Records that a controller holds a committed configuration version, and requests it if that is due.
    pub(crate) fn version_announced(
        &mut self,
        now: Timestamp,
        controller: NodeId,
        version: ConfigurationVersion,
    ) {
        let current = self.current_version();
        self.configuration_fetch
            .version_announced(now, controller, version, current);
        self.request_configuration(now);
    }

    /// Requests a configuration that was announced but not received, if that is due.
    pub(crate) fn request_configuration(&mut self, now: Timestamp) {
        let current = self.current_version();
        let controllers = &self.controller_selection;
        let target = self
            .configuration_fetch
            .next_request(now, current, |node| controllers.is_connected(node));
        if let Some(target) = target {
            let request = Message::ConfigurationRequest {
                newer_than: current,
            };
            self.sessions.send(target, &request);
        }
    }

    /// Applies a committed configuration and returns it. Returns `None`, without a change, if the version is not newer
    /// than the current one or the text is invalid.
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
                let tenants = configuration
                    .tenants
                    .as_ref()
                    .map_or_else(|| "none".to_string(), |tenants| tenants.len().to_string());
                log::info!(
                    "event=configuration_applied version={version} routes={routes} tenants={tenants}"
                );
                self.configuration = Some(Arc::new(configuration));
                if let Some(lease) = &mut self.configuration_lease {
                    lease.configuration_applied(version);
                }
                self.configuration.clone()
            }
            Err(error) => {
                let why = error.to_string();
                log::error!("event=configuration_unusable version={version} why={why:?}");
                None
            }
        }
    }

    /// Whether API keys may be accepted in requests that arrive at `now`: a lease is held, or revocation is unbounded.
    pub(crate) fn may_accept_api_keys(&self, now: Timestamp) -> bool {
        let lease = self.configuration_lease.as_ref();
        lease.is_none_or(|lease| lease.is_held(now))
    }

    /// Requests the renewal of the lease if that is due, and logs whether one is held if that has changed.
    pub(crate) fn maintain_lease(&mut self, now: Timestamp) {
        let primary = self.controller_selection.primary();
        let version = self.current_version();
        let Some(lease) = &mut self.configuration_lease else {
            return;
        };
        match lease.take_change(now) {
            Some(LeaseChange::Acquired) => {
                log::info!("event=configuration_lease_acquired version={version}");
            }
            Some(LeaseChange::Lost) => {
                log::warn!("event=configuration_lease_lost version={version}");
            }
            None => {}
        }
        let request = Message::ConfigurationLeaseRequest { sent_at: now };
        match lease.next_request(now, primary) {
            Some(LeaseTargets::Primary(controller)) => self.sessions.send(controller, &request),
            Some(LeaseTargets::AllControllers) => self.sessions.send_to_controllers(&request),
            None => {}
        }
    }

    /// Handles a controller's confirmation of a configuration version.
    pub(crate) fn lease_response_received(&mut self, now: Timestamp, response: LeaseResponse) {
        let current = self.current_version();
        if let Some(lease) = &mut self.configuration_lease {
            lease.response_received(now, current, response);
        }
    }

    /// Sends a claim to all of its voters that are connected.
    pub(crate) fn send_claim(&self, request: &ClaimRequest) {
        let message = Message::ClaimRequest {
            epoch: request.epoch,
            keys: request.keys,
            claim: request.claim,
        };
        self.send_to_all(&request.voters, &message);
    }

    /// Sends a withdrawal to all of its voters that are connected.
    pub(crate) fn send_withdrawal(&self, withdrawal: &ClaimWithdrawal) {
        let message = Message::ClaimWithdrawal {
            key: withdrawal.key,
            claim: withdrawal.claim,
        };
        self.send_to_all(&withdrawal.voters, &message);
    }

    /// Sends parts of shards to the controller that is to store them.
    pub(crate) fn send_shards(&self, batch: ShardBatch) {
        let message = Message::ResponseShards {
            sequence: batch.sequence,
            parts: batch.parts,
        };
        self.sessions.send(batch.controller, &message);
    }

    /// Sends a query to a connected controller or to another gateway, with which a session is opened if there is none.
    pub(crate) fn send_query(&mut self, now: Timestamp, node: NodeId, message: Message) {
        if self.is_connected(node) {
            self.sessions.send(node, &message);
        } else {
            self.sessions.query(now, node, message);
        }
    }

    /// Returns the controllers with open sessions.
    pub(crate) fn connected_controllers(&self) -> Vec<NodeId> {
        self.controller_selection.connected()
    }

    /// Sends a message to all controllers with open sessions.
    pub(crate) fn send_to_controllers(&self, message: &Message) {
        self.send_to_all(&self.controller_selection.connected(), message);
    }

    fn send_to_all(&self, nodes: &[NodeId], message: &Message) {
        for node in nodes {
            self.sessions.send(*node, message);
        }
    }

    fn current_version(&self) -> ConfigurationVersion {
        let current = self.configuration.as_ref();
        current.map_or(ConfigurationVersion::NONE, |current| current.version)
    }
}
