//! Which gateways exist. A gateway is a member while it has a session with any controller. Controllers report their
//! sessions to each other; a report counts while the session with its controller is open.

use rushcourse_types::{NodeId, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The gateways in session with this controller, and those that other controllers reported.
#[derive(Clone, Debug, Default)]
pub struct GatewayMembership {
    local_sessions: BTreeMap<SessionId, NodeId>,
    /// Of the gateways that are in session with this controller.
    zones: BTreeMap<NodeId, Arc<str>>,
    reported: BTreeMap<NodeId, BTreeSet<NodeId>>,
}

impl GatewayMembership {
    /// Adds a session of a gateway with this controller.
    pub(crate) fn add_session(&mut self, session: SessionId, gateway: NodeId, zone: Arc<str>) {
        self.local_sessions.insert(session, gateway);
        self.zones.insert(gateway, zone);
    }

    /// Removes a session that ended, and returns its gateway. The gateway may have a newer session by then.
    pub(crate) fn remove_session(&mut self, session: SessionId) -> Option<NodeId> {
        let gateway = self.local_sessions.remove(&session)?;
        if !self.local_sessions.values().any(|node| *node == gateway) {
            self.zones.remove(&gateway);
        }
        Some(gateway)
    }

    /// The gateway of a session with this controller.
    pub(crate) fn gateway_of(&self, session: SessionId) -> Option<NodeId> {
        self.local_sessions.get(&session).copied()
    }

    /// The zone of a gateway that is in session with this controller.
    pub(crate) fn zone_of(&self, gateway: NodeId) -> Option<&Arc<str>> {
        self.zones.get(&gateway)
    }

    /// The gateways that are in session with this controller, in ascending order.
    pub(crate) fn local_gateways(&self) -> Vec<NodeId> {
        let gateways: BTreeSet<NodeId> = self.local_sessions.values().copied().collect();
        gateways.into_iter().collect()
    }

    /// Replaces the report of another controller.
    pub(crate) fn set_reported(&mut self, controller: NodeId, gateways: Vec<NodeId>) {
        self.reported
            .insert(controller, gateways.into_iter().collect());
    }

    /// Removes the report of a controller whose session ended.
    pub(crate) fn remove_reported(&mut self, controller: NodeId) {
        self.reported.remove(&controller);
    }

    /// All gateways that are members.
    pub fn all(&self) -> BTreeSet<NodeId> {
        let reported = self.reported.values().flatten().copied();
        let local = self.local_sessions.values().copied();
        reported.chain(local).collect()
    }
}
