//! Which core director a frontend director takes its tables from: one that knows the hosts and is with a majority, of
//! its own zone if there is one, else by a hash, so that frontend directors spread evenly. It stays as long as it can.

use rushcourse_messages::NodeId;
use rushcourse_types::hash::hash64;
use std::collections::BTreeMap;

struct Core {
    zone: String,
    primed: bool,
}

pub struct Homing {
    me: NodeId,
    zone: String,
    cores: BTreeMap<NodeId, Core>,
    home: Option<NodeId>,
}

impl Homing {
    pub fn new(me: NodeId, zone: &str) -> Homing {
        Homing {
            me,
            zone: zone.into(),
            cores: BTreeMap::new(),
            home: None,
        }
    }

    pub fn up(&mut self, node: NodeId, zone: &str) {
        self.cores.insert(
            node,
            Core {
                zone: zone.into(),
                primed: false,
            },
        );
    }

    pub fn down(&mut self, node: NodeId) {
        self.cores.remove(&node);
        if self.home == Some(node) {
            self.home = None;
        }
    }

    pub fn primed(&mut self, node: NodeId, primed: bool) {
        if let Some(core) = self.cores.get_mut(&node) {
            core.primed = primed;
        }
    }

    pub fn home(&self) -> Option<NodeId> {
        self.home
    }

    pub fn reached(&self, node: NodeId) -> bool {
        self.cores.contains_key(&node)
    }

    /// Chooses anew where it must. Who is told that it is home, and who that it no longer is.
    pub fn choose(&mut self) -> (Option<NodeId>, Option<NodeId>) {
        if self
            .home
            .is_some_and(|h| self.cores.get(&h).is_some_and(|c| c.primed))
        {
            return (None, None);
        }
        let order = |node: &NodeId, core: &Core| {
            let far = core.zone != self.zone;
            (
                far,
                hash64(&[node.0.to_be_bytes(), self.me.0.to_be_bytes()].concat(), 5),
            )
        };
        let best = self
            .cores
            .iter()
            .filter(|c| c.1.primed)
            .min_by_key(|c| order(c.0, c.1))
            .map(|c| *c.0);
        // One that lost its company is left only for one that has it.
        let Some(best) = best else {
            return (None, None);
        };
        let old = self.home.replace(best);
        (Some(best), old)
    }
}
