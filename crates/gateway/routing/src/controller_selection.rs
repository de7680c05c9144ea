//! Selection of a gateway's primary controller, which sends it endpoint tables. Candidates are the controllers that are
//! synchronized: they know all hosts and have quorum contact. A gateway prefers controllers of its own zone and, among
//! these, orders them by a hash that distributes gateways evenly.
//!
//! The gateway fails over as soon as its primary is no longer synchronized, or disconnected, and another controller is
//! synchronized. After a loss of quorum, all gateways therefore select the first controller that regains it. A gateway
//! fails back to its preferred controller once that has been synchronized for [`FAILBACK_DELAY`] plus a delay of up to
//! [`FAILBACK_JITTER`], so that gateways don't all move to a controller at once.

use rushcourse_messages::NodeId;
use rushcourse_types::hash::hash64;
use rushcourse_types::{Preference, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of the hashes that determine a gateway's preferred controller and its failback jitter.
const PREFERENCE_SEED: u64 = 5;

/// Minimum time that a preferred controller must be synchronized before a gateway fails back to it from a synchronized
/// primary. Prevents gateways from moving to a controller that is crash-looping.
pub const FAILBACK_DELAY: Duration = Duration::from_secs(4);
/// Upper bound of the delay added to [`FAILBACK_DELAY`]. Each gateway derives its own delay from its node id.
pub const FAILBACK_JITTER: Duration = Duration::from_secs(4);

struct ControllerState {
    is_in_own_zone: bool,
    /// When the controller first reported that it is synchronized, or `None` while it is not.
    synchronized_since: Option<Timestamp>,
}

#[derive(Clone, Copy)]
struct SynchronizedController {
    node: NodeId,
    since: Timestamp,
}

/// A change of the primary controller, which the gateway reports to both controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    /// The new primary controller.
    pub selected: NodeId,
    /// The former primary controller, if there was one and its session is still open.
    pub released: Option<NodeId>,
}

/// The controllers that this gateway has open sessions with, and which of them is its primary.
pub struct ControllerSelection {
    local_node: NodeId,
    zone: String,
    controllers: BTreeMap<NodeId, ControllerState>,
    primary: Option<NodeId>,
}

impl ControllerSelection {
    /// Creates a selection without controllers for the gateway `local_node`, which runs in `zone`.
    pub fn new(local_node: NodeId, zone: &str) -> ControllerSelection {
        ControllerSelection {
            local_node,
            zone: zone.into(),
            controllers: BTreeMap::new(),
            primary: None,
        }
    }

    /// Adds a controller whose session was opened. It counts as not synchronized until it reports otherwise.
    pub fn controller_connected(&mut self, node: NodeId, zone: &str) {
        let state = ControllerState {
            is_in_own_zone: zone == self.zone,
            synchronized_since: None,
        };
        self.controllers.insert(node, state);
    }

    /// Removes a controller whose session was closed. If it was the primary, there is none until the next
    /// [`ControllerSelection::select`].
    pub fn controller_disconnected(&mut self, node: NodeId) {
        self.controllers.remove(&node);
        if self.primary == Some(node) {
            self.primary = None;
        }
    }

    /// Records the status that a controller reported. Ignored if the controller is not connected.
    pub fn set_synchronized(&mut self, now: Timestamp, node: NodeId, is_synchronized: bool) {
        if let Some(controller) = self.controllers.get_mut(&node) {
            let since = controller.synchronized_since.unwrap_or(now);
            controller.synchronized_since = is_synchronized.then_some(since);
        }
    }

    /// The controller that sends this gateway its endpoint tables.
    pub fn primary(&self) -> Option<NodeId> {
        self.primary
    }

    /// Whether this gateway has an open session with the controller.
    pub fn is_connected(&self, node: NodeId) -> bool {
        self.controllers.contains_key(&node)
    }

    /// The controllers with open sessions, in ascending order of node id.
    pub fn connected(&self) -> Vec<NodeId> {
        self.controllers.keys().copied().collect()
    }

    /// Makes the preferred controller primary if the current primary is not synchronized or the failback delay has
    /// passed. Returns `None` if the primary does not change, in particular while no controller is synchronized.
    pub fn select(&mut self, now: Timestamp) -> Option<PrimaryChange> {
        let preferred = self.preferred()?;
        let is_primary_synchronized = self.primary.is_some_and(|node| self.is_synchronized(node));
        let should_change = if is_primary_synchronized {
            self.primary != Some(preferred.node) && now >= preferred.since + self.failback_delay()
        } else {
            true
        };
        if !should_change {
            return None;
        }
        let selected = preferred.node;
        let released = self.primary.replace(selected);
        Some(PrimaryChange { selected, released })
    }

    fn is_synchronized(&self, node: NodeId) -> bool {
        let controller = self.controllers.get(&node);
        controller.is_some_and(|controller| controller.synchronized_since.is_some())
    }

    /// The synchronized controller with the highest preference: those of this gateway's zone come first.
    fn preferred(&self) -> Option<SynchronizedController> {
        let synchronized = self.controllers.iter().filter_map(|(node, controller)| {
            let found = SynchronizedController {
                node: *node,
                since: controller.synchronized_since?,
            };
            let is_in_own_zone = controller.is_in_own_zone;
            let preference =
                Preference::new(is_in_own_zone, *node, self.local_node, PREFERENCE_SEED);
            Some((preference, found))
        });
        let first = synchronized.min_by_key(|(preference, _)| *preference);
        first.map(|(_, found)| found)
    }

    /// How long a preferred controller must be synchronized before this gateway fails back to it.
    fn failback_delay(&self) -> Duration {
        let hash = hash64(&self.local_node.0.to_be_bytes(), PREFERENCE_SEED);
        FAILBACK_DELAY + FAILBACK_JITTER.mul_f64(hash as f64 / u64::MAX as f64)
    }
}
