//! The first voting set: which replica proposes it, when, and with which members.

use super::peers::Peers;
use crate::setup::ReplicaSetup;
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Minimum uptime before the first set is proposed, so that machines that start together have established sessions.
/// This takes some hundred milliseconds. Not longer, because the operator's first configuration waits for the set.
const FIRST_SET_DELAY: Duration = Duration::from_millis(900);
/// Time without a new connection before the first set is proposed.
const FIRST_SET_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Maximum size of the first set unless `fault_tolerance` requires more; every claim requests a vote from each voter.
const MAX_FIRST_VOTERS: usize = 5;

/// Whether this replica has to propose the first set now. At the first start of the deployment the proposer is the seed
/// with the lowest address whose disk accepts writes. It waits until all seeds are connected and no further controller
/// has connected for [`FIRST_SET_QUIET_PERIOD`].
pub(super) fn is_due(
    setup: &ReplicaSetup,
    peers: &Peers,
    now: Timestamp,
    uptime: Duration,
) -> bool {
    let is_reachable = |seed: &NodeId| *seed == setup.node || peers.is_connected(*seed);
    // A seed whose disk refuses writes can't store the set.
    let proposers = setup
        .seeds
        .iter()
        .filter(|seed| peers.is_disk_usable(**seed));
    setup.is_first_start
        && proposers.min() == Some(&setup.node)
        && setup.seeds.iter().all(is_reachable)
        && uptime >= FIRST_SET_DELAY
        && now >= peers.last_connected_at() + FIRST_SET_QUIET_PERIOD
}

/// Selects the members of the first set among the connected controllers, evenly spread over zones. A controller whose
/// disk refuses writes is left out.
pub(super) fn propose(setup: &ReplicaSetup, peers: &Peers) -> VotingSet {
    let mut candidates: BTreeMap<NodeId, Arc<str>> = peers.zones().clone();
    candidates.retain(|node, _| peers.is_disk_usable(*node));
    candidates.insert(setup.node, setup.zone.clone());
    let target_size = MAX_FIRST_VOTERS.max(2 * setup.tolerated_losses + 1);
    let mut voters_by_zone: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut members = Vec::new();
    while members.len() < target_size {
        let voters_in_zone = |node: NodeId| voters_by_zone.get(&candidates[&node]).copied();
        let by_zone_then_address = |node: &&NodeId| (voters_in_zone(**node).unwrap_or(0), **node);
        let Some(member) = candidates.keys().min_by_key(by_zone_then_address).copied() else {
            break;
        };
        let zone = candidates.remove(&member).unwrap_or_default();
        *voters_by_zone.entry(zone).or_default() += 1;
        members.push(member);
    }
    members.sort_unstable();
    VotingSet {
        epoch: Epoch::NONE.next(),
        members,
    }
}
