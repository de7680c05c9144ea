//! Sends the committed configuration to replicas that lack it.

use crate::context::Context;
use crate::paxos::Paxos;
use crate::paxos::peer_reports::PeerReport;
use rushcourse_messages::{Message, Proposal, Slot};
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Between two sendings of one version to one peer that has not reported that it holds it.
const PUSH_INTERVAL: Duration = Duration::from_millis(400);
/// After which any replica sends a version to one that lacks it, not only the first of those that have it.
const PUSH_BY_ANY_DELAY: Duration = Duration::from_millis(1_200);

/// A peer that was found to lack a version.
#[derive(Clone, Copy, Debug)]
struct LaggingPeer {
    version: ConfigurationVersion,
    since: Timestamp,
    pushed_at: Option<Timestamp>,
}

impl LaggingPeer {
    fn is_push_due(&self, now: Timestamp, is_first: bool) -> bool {
        let is_mine = is_first || now >= self.since + PUSH_BY_ANY_DELAY;
        let last_push_is_over = |at: Timestamp| now >= at + PUSH_INTERVAL;
        is_mine && self.pushed_at.is_none_or(last_push_is_over)
    }
}

/// Replicas in session that lack the committed configuration.
#[derive(Clone, Debug, Default)]
pub(super) struct LaggingPeers {
    peers: BTreeMap<NodeId, LaggingPeer>,
}

impl LaggingPeers {
    pub(super) fn forget(&mut self, peer: NodeId) {
        self.peers.remove(&peer);
    }

    /// Sends the committed configuration to replicas that lack it: the first of those that have it at once, the others
    /// if that does not help.
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
        let lagging = lagging(paxos, committed, proposal);
        self.peers.retain(|peer, _| lagging.contains(peer));
        let is_first = is_first_with(context.node, paxos, committed);
        for peer in lagging {
            let state = self.update(context.now, peer, committed);
            if state.is_push_due(context.now, is_first) {
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

    /// What is known of a peer that lacks this version; anew if it lacked an earlier one before.
    fn update(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        version: ConfigurationVersion,
    ) -> &mut LaggingPeer {
        let fresh = LaggingPeer {
            version,
            since: now,
            pushed_at: None,
        };
        let state = self.peers.entry(peer).or_insert(fresh);
        if state.version != version {
            *state = fresh;
        }
        state
    }
}

/// The replicas whose reports show neither that the version is committed nor a vote for it.
fn lagging(paxos: &Paxos, committed: ConfigurationVersion, proposal: &Proposal) -> Vec<NodeId> {
    let slot = Slot::Configuration(committed);
    let lacks = |report: &PeerReport| {
        report.committed() < committed && !report.has_vote(slot, proposal.ballot)
    };
    let reports = paxos.reports.iter();
    let lagging = reports.filter(|(_, report)| lacks(report));
    lagging.map(|(peer, _)| peer).collect()
}

/// Whether this replica has the lowest address of those that know the version to be committed.
fn is_first_with(node: NodeId, paxos: &Paxos, committed: ConfigurationVersion) -> bool {
    let reports = paxos.reports.iter();
    let others = reports.filter(|(_, report)| report.committed() >= committed);
    let first = others.map(|(peer, _)| peer).min();
    first.is_none_or(|other| node < other)
}
