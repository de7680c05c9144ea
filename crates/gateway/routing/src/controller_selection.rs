//! Which controller is a gateway's primary one, which sends it its tables: a controller that is synchronized (it knows
//! the hosts and has quorum contact), of the gateway's own zone if there is one, else by a hash, so that gateways spread
//! evenly. It stays as long as it can.

use rushcourse_messages::NodeId;
use rushcourse_types::hash::hash64;
use std::collections::BTreeMap;

/// Seed of the hash that spreads gateways over controllers.
const SPREAD_SEED: u64 = 5;

/// A controller that this gateway has a session with.
struct ControllerState {
    in_own_zone: bool,
    is_synchronized: bool,
}

/// A new primary controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    /// Who is primary now.
    pub selected: NodeId,
    /// Who was so before, and still has a session with this gateway.
    pub released: Option<NodeId>,
}

/// The controllers that a gateway has sessions with, and the primary one among them.
pub struct ControllerSelection {
    me: NodeId,
    zone: String,
    controllers: BTreeMap<NodeId, ControllerState>,
    primary: Option<NodeId>,
}

impl ControllerSelection {
    /// No session yet; `zone`: this gateway's own.
    pub fn new(me: NodeId, zone: &str) -> ControllerSelection {
        ControllerSelection {
            me,
            zone: zone.into(),
            controllers: BTreeMap::new(),
            primary: None,
        }
    }

    /// A session with a controller stands. Until it says otherwise it is not synchronized.
    pub fn controller_connected(&mut self, node: NodeId, zone: &str) {
        let state = ControllerState {
            in_own_zone: zone == self.zone,
            is_synchronized: false,
        };
        self.controllers.insert(node, state);
    }

    /// The session with a controller ended.
    pub fn controller_disconnected(&mut self, node: NodeId) {
        self.controllers.remove(&node);
        if self.primary == Some(node) {
            self.primary = None;
        }
    }

    /// A controller says whether it is synchronized.
    pub fn set_synchronized(&mut self, node: NodeId, is_synchronized: bool) {
        if let Some(controller) = self.controllers.get_mut(&node) {
            controller.is_synchronized = is_synchronized;
        }
    }

    /// The controller that this gateway takes its tables from.
    pub fn primary(&self) -> Option<NodeId> {
        self.primary
    }

    /// Whether a session with this controller stands.
    pub fn is_connected(&self, node: NodeId) -> bool {
        self.controllers.contains_key(&node)
    }

    /// Selects a new primary controller where the present one is not synchronized and another one is. One that lost its
    /// quorum contact is left only for one that has it.
    pub fn select(&mut self) -> Option<PrimaryChange> {
        let is_synchronized = |node| {
            let controller = self.controllers.get(&node);
            controller.is_some_and(|controller| controller.is_synchronized)
        };
        if self.primary.is_some_and(is_synchronized) {
            return None;
        }
        let selected = self.best()?;
        let released = self.primary.replace(selected);
        Some(PrimaryChange { selected, released })
    }

    /// The synchronized controller that this gateway prefers.
    fn best(&self) -> Option<NodeId> {
        let synchronized = self
            .controllers
            .iter()
            .filter(|(_, controller)| controller.is_synchronized);
        synchronized
            .min_by_key(|(node, controller)| (!controller.in_own_zone, self.spread(**node)))
            .map(|(node, _)| *node)
    }

    /// Where a controller stands in this gateway's own order of all controllers.
    fn spread(&self, controller: NodeId) -> u64 {
        let nodes = [controller.0.to_be_bytes(), self.me.0.to_be_bytes()];
        hash64(&nodes.concat(), SPREAD_SEED)
    }
}
