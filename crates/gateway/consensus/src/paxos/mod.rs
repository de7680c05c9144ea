//! Single-decree Paxos with one instance per slot. A slot decides the voting set of an epoch, the configuration of a
//! version, or the state of the usage duty at a position. There is no leader; any replica may propose.
//!
//! * `proposer.rs`: gets a value chosen.
//! * `acceptor/`: promises and votes of this replica.
//! * `peer_reports.rs`: durable votes of other replicas, from which every replica detects that a value is chosen.
//! * `lagging_peers.rs`: sends the newest chosen value to replicas that lack it.
//! * `reproposal.rs`: proposes a value again that its proposer left undecided.

pub(crate) mod acceptor;
pub(crate) mod lagging_peers;
pub(crate) mod peer_reports;
pub(crate) mod proposer;
pub(crate) mod reproposal;

use crate::context::Context;
use crate::membership::Membership;
use crate::recovery_points::RecoveryPoints;
use acceptor::Acceptor;
use peer_reports::PeerReports;
use proposer::{ProposalRequest, Proposer};
use rushcourse_messages::{Ballot, RecoveryPoint, Slot};
use rushcourse_types::{DutySequence, NodeId, Timestamp};

/// Paxos roles of this replica, and the voting set whose majority decides.
#[derive(Clone, Debug)]
pub(crate) struct Paxos {
    pub membership: Membership,
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub reports: PeerReports,
    /// Recovery points of the other members, which are part of the reports to them.
    pub recovery_points: RecoveryPoints,
    /// Highest position in the chain of duty states that this replica knows to be chosen; part of its reports.
    pub committed_duty: DutySequence,
}

impl Paxos {
    /// Proposes a value, or extends the deadline of the pending proposal for its slot.
    pub fn propose(&mut self, context: &mut Context, request: ProposalRequest) {
        self.proposer.propose(context, &self.membership, request);
    }

    /// Recovery point to include in reports to a peer; `None` if the peer votes and so doesn't need one.
    pub fn recovery_point_for(&self, peer: NodeId) -> Option<RecoveryPoint> {
        let needs_recovery_point = self
            .reports
            .get(peer)
            .is_some_and(|report| !report.is_voter());
        needs_recovery_point
            .then(|| self.recovery_points.get(peer))
            .flatten()
    }

    /// Whether a majority of the voting set, including this replica if it votes, has durably voted for a proposal.
    pub fn is_chosen(&self, now: Timestamp, slot: Slot, ballot: Ballot) -> bool {
        let has_own_vote =
            self.membership.is_voter() && self.acceptor.durable_vote(slot) == Some(ballot);
        self.is_majority(now, slot, ballot, usize::from(has_own_vote))
    }

    /// Whether a majority of the voting set has durably voted for a proposal, without this replica's vote.
    pub fn is_chosen_by_others(&self, now: Timestamp, slot: Slot, ballot: Ballot) -> bool {
        self.is_majority(now, slot, ballot, 0)
    }

    fn is_majority(&self, now: Timestamp, slot: Slot, ballot: Ballot, own_votes: usize) -> bool {
        let set = self.membership.voting_set();
        let votes = self.reports.count_votes(now, set, slot, ballot) + own_votes;
        !set.epoch.is_none() && votes >= set.majority()
    }
}
