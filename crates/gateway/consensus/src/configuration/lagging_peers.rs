//! Sends the committed configuration to replicas that lack it.

use crate::context::Context;
use crate::paxos::Paxos;
use crate::paxos::peer_reports::PeerReport;
use rushcourse_messages::{Message, Proposal, Slot};
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between transmissions of a version to a peer that has not reported it.
const PUSH_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which every replica with the version sends it to a peer that lacks it, not only the one with the lowest
/// address.
const PUSH_BY_ANY_DELAY: Duration = Duration::from_millis(1_200);

/// Progress of sending one committed version to a peer that lacks it.
#[derive(Clone, Copy, Debug)]
struct LaggingPeer {
    version: ConfigurationVersion,
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

/// Peers that lack the committed version, and when it was last sent to each of them.
#[derive(Clone, Debug, Default)]
pub(super) struct LaggingPeers {
    peers: BTreeMap<NodeId, LaggingPeer>,
}

impl LaggingPeers {
    pub(super) fn remove(&mut self, peer: NodeId) {
        self.peers.remove(&peer);
    }

    /// Sends the committed configuration to replicas that lack it. The replica with the lowest address among those that
    /// have it sends at once; the others take over after [`PUSH_BY_ANY_DELAY`].
    pub(super) fn push(
        &mut self,
        context: &mut Context,
        paxos: &Paxos,
        committed: ConfigurationVersion,
    ) {
        let slot = Slot::Configuration(committed);
        let Some(proposal) = paxos.acceptor.accepted(slot) else {
            return;
        };
        if committed.is_none() {
            return;
        }
        let lagging = find_lagging(paxos, committed, proposal);
        self.peers.retain(|peer, _| lagging.contains(peer));
        let is_first_holder = is_first_holder(context.node, paxos, committed);
        for peer in lagging {
            let state = self.track(context.now, peer, committed);
            if state.is_push_due(context.now, is_first_holder) {
                state.pushed_at = Some(context.now);
                let accept = Message::Accept {
                    epoch: paxos.membership.voting_set().epoch,
                    slot,
                    proposal: proposal.clone(),
                };
                context.send(peer, accept);
            }
        }
    }

    /// Returns the state of a peer that lacks this version, reset if it was tracked for an earlier version.
    fn track(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        version: ConfigurationVersion,
    ) -> &mut LaggingPeer {
        let new_state = LaggingPeer {
            version,
            since: now,
            pushed_at: None,
        };
        let state = self.peers.entry(peer).or_insert(new_state);
        if state.version != version {
            *state = new_state;
        }
        state
    }
}

/// Replicas whose reports show neither that the version is committed nor a vote for it.
fn find_lagging(
    paxos: &Paxos,
    committed: ConfigurationVersion,
    proposal: &Proposal,
) -> Vec<NodeId> {
    let slot = Slot::Configuration(committed);
    let lacks = |report: &PeerReport| {
        report.committed() < committed && !report.has_vote(slot, proposal.ballot)
    };
    let reports = paxos.reports.iter();
    let lagging = reports.filter(|(_, report)| lacks(report));
    lagging.map(|(peer, _)| peer).collect()
}

/// Whether this replica has the lowest address among those that know the version to be committed.
fn is_first_holder(node: NodeId, paxos: &Paxos, committed: ConfigurationVersion) -> bool {
    let reports = paxos.reports.iter();
    let others = reports.filter(|(_, report)| report.committed() >= committed);
    let first = others.map(|(peer, _)| peer).min();
    first.is_none_or(|other| node < other)
}
