//! The first voting set: who proposes it, when, and of whom.

use super::peers::Peers;
use crate::setup::ReplicaSetup;
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// After its start, when the first set is proposed at the earliest (ours: sessions of machines that start together
/// stand within some hundred ms; the operator's first configuration waits for it).
const FIRST_SET_DELAY: Duration = Duration::from_millis(900);
/// For how long no further controller must have connected.
const FIRST_SET_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Voters of the first set at most, where `fault_tolerance` doesn't want more (ours): each claim costs a vote of each.
const MAX_FIRST_VOTERS: usize = 5;

/// Whether this replica is to propose the first set now: at the first start of the whole system, the seed with the
/// lowest address does once all seeds are connected and no further controller connects. Its disk takes writes; it has
/// not tried yet where it is this replica's own.
pub(super) fn is_due(setup: &ReplicaSetup, peers: &Peers, now: Timestamp, uptime: Duration) -> bool {
    let is_reachable = |seed: &NodeId| *seed == setup.node || peers.is_connected(*seed);
    // A seed whose disk refuses writes can't hold it.
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

/// The set of all connected controllers, or of as many as are to vote, spread over zones.
pub(super) fn propose(setup: &ReplicaSetup, peers: &Peers) -> VotingSet {
    let mut candidates: BTreeMap<NodeId, Arc<str>> = peers.zones().clone();
    candidates.retain(|node, _| peers.is_disk_usable(*node));
    candidates.insert(setup.node, setup.zone.clone());
    let wanted = MAX_FIRST_VOTERS.max(2 * setup.tolerated_losses + 1);
    let mut voters_by_zone: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut members = Vec::new();
    while members.len() < wanted {
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
