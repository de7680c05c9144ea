//! The order in which a node chooses among others: those of its own zone first, then by a hash that spreads the choices.

use crate::hash::hash64;
use crate::identity::NodeId;

/// Sort key of a candidate: the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    is_in_other_zone: bool,
    /// Differs between the nodes that choose, so that they don't all choose the same candidate.
    order: u64,
}

impl Preference {
    /// The preference for `candidate` of a choice that is made for `chooser`. Choices for different purposes use different
    /// seeds.
    pub fn new(is_in_own_zone: bool, candidate: NodeId, chooser: NodeId, seed: u64) -> Preference {
        let nodes = [candidate.0, chooser.0].map(u32::to_be_bytes);
        Preference {
            is_in_other_zone: !is_in_own_zone,
            order: hash64(&nodes.concat(), seed),
        }
    }
}
