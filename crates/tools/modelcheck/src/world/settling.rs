//! How a world recovers once faults have ended.

use super::World;
use rushcourse_consensus::{Input, ReplicaSummary};
use rushcourse_types::NodeId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time that a world has to recover: over two changes of the set, each with a new member's silence.
const SETTLING_TIME: Duration = Duration::from_millis(16_000);
/// Between two ticks of the controllers meanwhile.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

impl World<'_> {
    /// Faults end: all that can come back does, and time passes in the small steps of the programs. Then the members of
    /// the set vote, all hold the same version, and every put has its answer.
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

    /// Of the controllers that run.
    fn summaries(&self) -> BTreeMap<NodeId, ReplicaSummary> {
        let ids = self.controllers.keys();
        ids.filter_map(|node| Some((*node, self.summary(*node)?)))
            .collect()
    }
}
