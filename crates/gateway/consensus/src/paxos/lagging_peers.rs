//! Sends the newest chosen value of a kind of slot to replicas that lack it.

use crate::context::Context;
use crate::paxos::Paxos;
use crate::paxos::peer_reports::PeerReport;
use rushcourse_messages::{Message, Proposal, Slot};
use rushcourse_types::{NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between transmissions of a value to a peer that has not reported it.
const PUSH_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which every replica with the value sends it to a peer that lacks it, not only the one with the lowest
/// address.
const PUSH_BY_ANY_DELAY: Duration = Duration::from_millis(1_200);

/// Progress of sending the value of one slot to a peer that lacks it.
#[derive(Clone, Copy, Debug)]
struct LaggingPeer {
    slot: Slot,
    since: Timestamp,
    pushed_at: Option<Timestamp>,
}

impl LaggingPeer {
    fn is_push_due(&self, now: Timestamp, is_first_holder: bool) -> bool {
        let is_responsible = is_first_holder || now >= self.since + PUSH_BY_ANY_DELAY;
        let interval_elapsed = |at: Timestamp| now >= at + PUSH_INTERVAL;
        is_responsible && self.pushed_at.is_none_or(interval_elapsed)
    }
}

/// Peers that lack the newest chosen value, and when it was last sent to each of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaggingPeers {
    peers: BTreeMap<NodeId, LaggingPeer>,
}

impl LaggingPeers {
    pub fn remove(&mut self, peer: NodeId) {
        self.peers.remove(&peer);
    }

    /// Sends the value of the newest decided slot of its kind to replicas that lack it. The replica with the lowest
    /// address among those that have it sends at once; the others take over after [`PUSH_BY_ANY_DELAY`].
    pub fn push(&mut self, context: &mut Context, paxos: &Paxos, newest: Slot) {
        let Some(proposal) = paxos.acceptor.accepted(newest) else {
            return;
        };
        let lagging = find_lagging(paxos, newest, proposal);
        self.peers.retain(|peer, _| lagging.contains(peer));
        let is_first_holder = is_first_holder(context.node, paxos, newest);
        for peer in lagging {
            let state = self.track(context.now, peer, newest);
            if state.is_push_due(context.now, is_first_holder) {
                state.pushed_at = Some(context.now);
                let accept = Message::Accept {
                    epoch: paxos.membership.voting_set().epoch,
                    slot: newest,
                    proposal: proposal.clone(),
                };
                context.send(peer, accept);
            }
        }
    }

    /// Returns the state of a peer that lacks the value of this slot, reset if it was tracked for an earlier slot.
    fn track(&mut self, now: Timestamp, peer: NodeId, slot: Slot) -> &mut LaggingPeer {
        let new_state = LaggingPeer {
            slot,
            since: now,
            pushed_at: None,
        };
        let state = self.peers.entry(peer).or_insert(new_state);
        if state.slot != slot {
            *state = new_state;
        }
        state
    }
}

/// Replicas whose reports show neither that the slot is decided nor a vote for its value.
fn find_lagging(paxos: &Paxos, slot: Slot, proposal: &Proposal) -> Vec<NodeId> {
    let lacks = |report: &PeerReport| {
        !report.knows_decision(slot) && !report.has_vote(slot, proposal.ballot)
    };
    let reports = paxos.reports.iter();
    let lagging = reports.filter(|(_, report)| lacks(report));
    lagging.map(|(peer, _)| peer).collect()
}

/// Whether this replica has the lowest address among those that know the slot to be decided.
fn is_first_holder(node: NodeId, paxos: &Paxos, slot: Slot) -> bool {
    let reports = paxos.reports.iter();
    let others = reports.filter(|(_, report)| report.knows_decision(slot));
    let first = others.map(|(peer, _)| peer).min();
    first.is_none_or(|other| node < other)
}
