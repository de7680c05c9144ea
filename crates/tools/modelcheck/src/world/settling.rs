//! Recovery of a world after all faults have ended.

use super::World;
use rushcourse_consensus::{Input, ReplicaSummary};
use rushcourse_types::NodeId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for a world to recover: more than two consecutive replacements of members, each with a state transfer.
const SETTLING_TIME: Duration = Duration::from_millis(16_000);
/// Interval between controller ticks while the world settles.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

impl World<'_> {
    /// Ends all faults, restarts all controllers that are not lost and advances the clock in small steps. Then checks
    /// that all members vote, all running controllers have the same version, and every put is answered.
    pub fn settle(&mut self) {
        for node in self.controller_ids() {
            self.end_faults_of(node);
        }
        let end = self.now + SETTLING_TIME;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for node in self.controller_ids() {
                self.step(node, Input::Tick);
            }
            self.deliver_all();
        }
        self.checker.check_settled(&self.summaries());
    }

    fn end_faults_of(&mut self, node: NodeId) {
        let controller = self.controller_mut(node);
        controller.is_paused = false;
        let is_isolated = controller.is_isolated;
        let is_to_start = !controller.is_running() && !controller.is_lost;
        if is_isolated {
            self.reconnect(node);
        }
        if is_to_start {
            self.start(node);
        }
    }

    /// Summaries of the running controllers.
    fn summaries(&self) -> BTreeMap<NodeId, ReplicaSummary> {
        let ids = self.controllers.keys();
        ids.filter_map(|node| Some((*node, self.summary(*node)?)))
            .collect()
    }
}
