//! Single-decree Paxos, one instance a slot: one value is chosen for the voting set of an epoch, or the configuration of
//! a version. There is no leader; any replica may propose.
//!
//! * `proposer.rs`: gets a value chosen.
//! * `acceptor.rs`: promises and votes of this replica.
//! * `peer_reports.rs`: which votes the others' disks hold, so that every replica sees a choice, not only its proposer.

pub(crate) mod acceptor;
pub(crate) mod peer_reports;
pub(crate) mod proposer;

use crate::context::Context;
use crate::membership::Membership;
use crate::recovery_points::RecoveryPoints;
use acceptor::Acceptor;
use peer_reports::PeerReports;
use proposer::{ProposalRequest, Proposer};
use rushcourse_messages::{Ballot, RecoveryPoint, Slot};
use rushcourse_types::{NodeId, Timestamp};

/// The ballots that this replica takes part in, and the voting set that they are held in.
#[derive(Clone, Debug)]
pub(crate) struct Paxos {
    pub membership: Membership,
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub reports: PeerReports,
    /// What is known of the other members' disks.
    pub recovery_points: RecoveryPoints,
}

impl Paxos {
    /// Proposes a value, or extends the proposal that is under way for its slot.
    pub fn propose(&mut self, context: &mut Context, request: ProposalRequest) {
        self.proposer.propose(context, &self.membership, request);
    }

    /// What to report to a peer of its own disk: nothing, unless it does not vote.
    pub fn recovery_point_for(&self, peer: NodeId) -> Option<RecoveryPoint> {
        let needs_it = self
            .reports
            .get(peer)
            .is_some_and(|report| !report.is_voter());
        needs_it.then(|| self.recovery_points.of(peer)).flatten()
    }

    /// Whether a majority of the set has voted for a proposal; a vote of this replica counts.
    pub fn is_chosen(&self, now: Timestamp, slot: Slot, ballot: Ballot) -> bool {
        let has_own_vote =
            self.membership.is_voter() && self.acceptor.durable_vote(slot) == Some(ballot);
        self.is_majority(now, slot, ballot, usize::from(has_own_vote))
    }

    /// Whether a majority of the set, without this replica, has voted for a proposal.
    pub fn is_chosen_by_others(&self, now: Timestamp, slot: Slot, ballot: Ballot) -> bool {
        self.is_majority(now, slot, ballot, 0)
    }

    fn is_majority(&self, now: Timestamp, slot: Slot, ballot: Ballot, own_votes: usize) -> bool {
        let set = self.membership.voting_set();
        let votes = self.reports.count_votes(now, set, slot, ballot) + own_votes;
        !set.epoch.is_none() && votes >= set.majority()
    }
}
