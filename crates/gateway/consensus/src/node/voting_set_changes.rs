//! Proposes the next voting set when a change is due, and adopts the one that is chosen.

use super::ConsensusNode;
use crate::log_event::LogEvent;
use crate::membership::replacement::VotingSetChange;
use crate::paxos::proposer::ProposalRequest;
use rushcourse_messages::{Slot, VotingSet};
use rushcourse_types::NodeId;
use std::time::Duration;

/// Time for which a change of the voting set is proposed before its need is evaluated again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl ConsensusNode {
    /// Proposes a due change of the voting set. The standby that joins is invited to learn first.
    pub(super) fn propose_due_change(&mut self) {
        let Some(change) = self.paxos.membership.due_change(self.context.now) else {
            return;
        };
        let slot = Slot::VotingSet(change.next.epoch);
        if self.paxos.proposer.is_proposing(slot) || !self.retains_quorum(&change) {
            return;
        }
        let membership = &mut self.paxos.membership;
        if !membership.is_ready_to_join(change.joining) {
            return membership.invite(&mut self.context, change.joining);
        }
        self.context.log(LogEvent::VotingSetChangeProposed {
            epoch: change.next.epoch,
            joining: change.joining,
        });
        let request = ProposalRequest {
            slot,
            value: change.next.to_value(),
            removed: change.removed,
            expires_at: self.context.now + CHANGE_TIMEOUT,
        };
        self.paxos.propose(&mut self.context, request);
    }

    /// Whether enough voters remain to vote in the next set and to send snapshots to its new member. Members without
    /// complete state can do neither.
    fn retains_quorum(&self, change: &VotingSetChange) -> bool {
        let set = self.paxos.membership.voting_set();
        let is_usable_voter = |member: NodeId| {
            (member == self.context.node && self.context.is_disk_usable())
                || self.paxos.reports.is_voter(self.context.now, set, member)
        };
        let members = set.members.iter().copied();
        let remaining = members.filter(|member| Some(*member) != change.removed);
        let voters = remaining.filter(|member| is_usable_voter(*member)).count();
        voters >= change.next.majority().max(change.next.snapshot_quorum())
    }

    /// Adopts the next voting set once a majority of the current one has voted for it.
    pub(super) fn adopt_chosen_voting_set(&mut self) {
        let slot = Slot::VotingSet(self.voting_set().epoch.next());
        let Some(proposal) = self.paxos.acceptor.accepted(slot) else {
            return;
        };
        let now = self.context.now;
        if !self.paxos.is_chosen(now, slot, proposal.ballot) {
            return;
        }
        if let Some(next) = VotingSet::from_value(&proposal.value) {
            self.paxos
                .membership
                .learn_voting_set(&mut self.context, next);
        }
    }
}
