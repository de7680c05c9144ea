//! Which controllers store the shards of a response.

use super::shard_code::MAX_SHARDS;
use rushcourse_types::{NodeId, Preference};

/// A controller that may store a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) controller: NodeId,
    pub(super) is_in_own_zone: bool,
    pub(super) preference: Preference,
}

/// How a response is coded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Coding {
    /// Number of shards that restore the response.
    pub(super) data_shards: usize,
    /// Number of shards, each to be stored by another controller.
    pub(super) shards: usize,
}

/// Chooses the coding that sends the fewest bytes to other zones, so that the response survives the loss of any
/// `tolerated_losses` of the controllers that store it.
///
/// With `s` shards, each has the length of the response divided by `s - tolerated_losses`. If the own zone has as many
/// controllers as may be lost, one copy has to leave it at most, and further shards would save nothing.
pub(super) fn choose_coding(candidates: &[Candidate], tolerated_losses: usize) -> Coding {
    let in_own_zone = candidates.iter().filter(|c| c.is_in_own_zone).count();
    let copies = Coding {
        data_shards: 1,
        shards: (tolerated_losses + 1).min(MAX_SHARDS),
    };
    let shards = candidates.len().min(MAX_SHARDS);
    if in_own_zone >= tolerated_losses || shards <= copies.shards {
        return copies;
    }
    Coding {
        data_shards: shards - tolerated_losses,
        shards,
    }
}

/// The preferred one of the candidates that don't store another shard of the response.
pub(super) fn choose_controller(
    candidates: &[Candidate],
    is_excluded: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let free = candidates.iter().filter(|c| !is_excluded(c.controller));
    let preferred = free.min_by_key(|candidate| candidate.preference);
    preferred.map(|candidate| candidate.controller)
}
