//! Which controller is a gateway's primary one, which sends it its tables: a controller that is synchronized (it knows
//! the hosts and has quorum contact), of the gateway's own zone if there is one, else by a hash, so that gateways spread
//! evenly.
//!
//! A primary that is no longer synchronized, or whose session ended, is left as soon as another one is synchronized. So
//! after a moment without any majority all gateways gather at the first controller that has one again; from there each
//! goes back to the one that it prefers, once that has been synchronized for [`FAILBACK_DELAY`], and up to
//! [`FAILBACK_JITTER`] later, so that a controller doesn't get all of its gateways at once.

use rushcourse_messages::NodeId;
use rushcourse_types::Timestamp;
use rushcourse_types::hash::hash64;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of the hash that spreads gateways over controllers.
const SPREAD_SEED: u64 = 5;

/// For how long a controller that is preferred to the primary one has been synchronized before it becomes primary: longer
/// than a controller takes that starts and ends again (ours).
pub const FAILBACK_DELAY: Duration = Duration::from_secs(4);
/// How much later it becomes primary for the last of the gateways (ours).
pub const FAILBACK_JITTER: Duration = Duration::from_secs(4);

/// A controller that this gateway has a session with.
struct ControllerState {
    in_own_zone: bool,
    /// `None`: it is not.
    synchronized_since: Option<Timestamp>,
}

/// A controller that is synchronized.
#[derive(Clone, Copy)]
struct SynchronizedController {
    node: NodeId,
    since: Timestamp,
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
            synchronized_since: None,
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
    pub fn set_synchronized(&mut self, now: Timestamp, node: NodeId, is_synchronized: bool) {
        if let Some(controller) = self.controllers.get_mut(&node) {
            let since = controller.synchronized_since.unwrap_or(now);
            controller.synchronized_since = is_synchronized.then_some(since);
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

    /// Selects a new primary controller where the present one is not synchronized and another one is, or where another
    /// one is preferred and has been synchronized for long. One that lost its quorum contact is left only for one that has
    /// it.
    pub fn select(&mut self, now: Timestamp) -> Option<PrimaryChange> {
        let preferred = self.preferred()?;
        let is_kept = self.primary.is_some_and(|node| self.is_synchronized(node));
        let is_to_change = if is_kept {
            self.primary != Some(preferred.node) && now >= preferred.since + self.return_delay()
        } else {
            true
        };
        if !is_to_change {
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

    /// The synchronized controller that this gateway prefers.
    fn preferred(&self) -> Option<SynchronizedController> {
        let synchronized = self.controllers.iter().filter_map(|(node, controller)| {
            let found = SynchronizedController {
                node: *node,
                since: controller.synchronized_since?,
            };
            Some((!controller.in_own_zone, self.spread(*node), found))
        });
        let first = synchronized.min_by_key(|(in_other_zone, place, _)| (*in_other_zone, *place));
        first.map(|(_, _, found)| found)
    }

    /// How long this gateway waits for a preferred controller to stay synchronized.
    fn return_delay(&self) -> Duration {
        let place = hash64(&self.me.0.to_be_bytes(), SPREAD_SEED);
        FAILBACK_DELAY + FAILBACK_JITTER.mul_f64(place as f64 / u64::MAX as f64)
    }

    /// Where a controller stands in this gateway's own order of all controllers.
    fn spread(&self, controller: NodeId) -> u64 {
        let nodes = [controller.0.to_be_bytes(), self.me.0.to_be_bytes()];
        hash64(&nodes.concat(), SPREAD_SEED)
    }
}
