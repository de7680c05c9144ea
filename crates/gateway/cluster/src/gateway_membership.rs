//! Gateway membership. A gateway is a member while it has a session with any controller. Controllers report their
//! gateway sessions to each other; a report is valid while the session with the reporting controller is open.

use rushcourse_types::{NodeId, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The gateways with a session to this controller, and those that other controllers reported.
#[derive(Clone, Debug, Default)]
pub struct GatewayMembership {
    local_sessions: BTreeMap<SessionId, NodeId>,
    /// Zones of the gateways in `local_sessions`.
    zones: BTreeMap<NodeId, Arc<str>>,
    /// Maps each peer controller to the gateways that it reported.
    reported: BTreeMap<NodeId, BTreeSet<NodeId>>,
}

impl GatewayMembership {
    pub(crate) fn add_session(&mut self, session: SessionId, gateway: NodeId, zone: Arc<str>) {
        self.local_sessions.insert(session, gateway);
        self.zones.insert(gateway, zone);
    }

    /// Removes a closed session and returns its gateway, which may still have other sessions.
    pub(crate) fn remove_session(&mut self, session: SessionId) -> Option<NodeId> {
        let gateway = self.local_sessions.remove(&session)?;
        if !self.local_sessions.values().any(|node| *node == gateway) {
            self.zones.remove(&gateway);
        }
        Some(gateway)
    }

    pub(crate) fn gateway_of(&self, session: SessionId) -> Option<NodeId> {
        self.local_sessions.get(&session).copied()
    }

    /// The zone of a gateway, or `None` if it has no session with this controller.
    pub(crate) fn zone_of(&self, gateway: NodeId) -> Option<&Arc<str>> {
        self.zones.get(&gateway)
    }

    /// The gateways with a session to this controller, in ascending order.
    pub(crate) fn local_gateways(&self) -> Vec<NodeId> {
        let gateways: BTreeSet<NodeId> = self.local_sessions.values().copied().collect();
        gateways.into_iter().collect()
    }

    /// Replaces the set of gateways that another controller reported.
    pub(crate) fn set_reported(&mut self, controller: NodeId, gateways: Vec<NodeId>) {
        self.reported
            .insert(controller, gateways.into_iter().collect());
    }

    /// Removes the report of a controller whose session was closed.
    pub(crate) fn remove_reported(&mut self, controller: NodeId) {
        self.reported.remove(&controller);
    }

    /// All gateways with a session to this controller or to one that reported them.
    pub fn all(&self) -> BTreeSet<NodeId> {
        let reported = self.reported.values().flatten().copied();
        let local = self.local_sessions.values().copied();
        reported.chain(local).collect()
    }
}
