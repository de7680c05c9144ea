//! The proposer: gets a value chosen for a slot, by promises and then votes of a majority of the set. Proposers of one
//! slot may compete; the higher ballot wins, and adopts the value that a lower one may have got chosen.

use crate::context::Context;
use crate::membership::Membership;
use rushcourse_messages::{Ballot, Message, Proposal, Slot};
use rushcourse_types::{ConfigurationVersion, Incarnation, NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// For how long promises count after a ballot's start; shorter than `learning::SNAPSHOT_REQUEST_DELAY`, as for votes.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(800);
/// Until a ballot that failed is followed by the next one, and what each rank adds, so that proposers that compete retry
/// one after the other.
const RETRY_DELAY: Duration = Duration::from_millis(250);
const RETRY_DELAY_PER_RANK: Duration = Duration::from_millis(60);
/// The same after a rejection.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(20);
const REJECTED_RETRY_DELAY_PER_RANK: Duration = Duration::from_millis(40);

/// A value to propose.
pub(crate) struct ProposalRequest {
    /// What the value is for.
    pub slot: Slot,
    /// A configuration's text, or a voting set.
    pub value: Arc<[u8]>,
    /// The member that a proposed set leaves out.
    pub removed: Option<NodeId>,
    /// When the proposer gives up.
    pub expires_at: Timestamp,
}

#[derive(Clone, Debug)]
enum Phase {
    Preparing {
        promises: BTreeSet<NodeId>,
        /// What voters accepted before, under the highest ballot.
        accepted: Option<Proposal>,
    },
    Accepting,
}

#[derive(Clone, Debug)]
struct OpenProposal {
    ballot: Ballot,
    value: Arc<[u8]>,
    removed: Option<NodeId>,
    phase: Phase,
    started_at: Timestamp,
    retry_at: Timestamp,
    expires_at: Timestamp,
}

impl OpenProposal {
    /// Counts a promise of phase 1. With a majority of them, returns the value of phase 2: the one that was accepted
    /// under the highest ballot, or this proposal's own.
    fn add_promise(
        &mut self,
        from: NodeId,
        accepted: Option<Proposal>,
        majority: usize,
    ) -> Option<Arc<[u8]>> {
        let Phase::Preparing {
            promises,
            accepted: highest,
        } = &mut self.phase
        else {
            return None;
        };
        promises.insert(from);
        let ballot = |proposal: &Option<Proposal>| proposal.as_ref().map(|known| known.ballot);
        if ballot(&accepted) > ballot(highest) {
            *highest = accepted;
        }
        if promises.len() < majority {
            return None;
        }
        let value = highest
            .take()
            .map_or_else(|| self.value.clone(), |proposal| proposal.value);
        self.phase = Phase::Accepting;
        Some(value)
    }
}

/// The proposals of this replica that are under way.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    incarnation: Incarnation,
    last_round: u64,
    proposals: BTreeMap<Slot, OpenProposal>,
}

impl Proposer {
    /// A proposer whose ballots are of this incarnation.
    pub fn new(incarnation: Incarnation) -> Proposer {
        Proposer {
            incarnation,
            last_round: 0,
            proposals: BTreeMap::new(),
        }
    }

    /// Whether a proposal for a slot is under way.
    pub fn is_proposing(&self, slot: Slot) -> bool {
        self.proposals.contains_key(&slot)
    }

    /// Proposes a value, or extends the proposal that is under way for this slot.
    pub fn propose(
        &mut self,
        context: &mut Context,
        membership: &Membership,
        request: ProposalRequest,
    ) {
        if let Some(proposal) = self.proposals.get_mut(&request.slot) {
            proposal.expires_at = proposal.expires_at.max(request.expires_at);
            return;
        }
        let proposal = OpenProposal {
            ballot: Ballot::default(),
            value: request.value,
            removed: request.removed,
            phase: Phase::Accepting,
            started_at: context.now,
            retry_at: Timestamp::ZERO,
            expires_at: request.expires_at,
        };
        self.proposals.insert(request.slot, proposal);
        self.start_ballot(context, membership, request.slot);
    }

    /// Begins phase 1 of a new ballot: asks for promises.
    fn start_ballot(&mut self, context: &mut Context, membership: &Membership, slot: Slot) {
        self.last_round += 1;
        let ballot = Ballot {
            round: self.last_round,
            node: context.node,
            incarnation: self.incarnation,
        };
        let Some(proposal) = self.proposals.get_mut(&slot) else {
            return;
        };
        proposal.ballot = ballot;
        proposal.phase = Phase::Preparing {
            promises: BTreeSet::new(),
            accepted: None,
        };
        proposal.started_at = context.now;
        proposal.retry_at = context.now + RETRY_DELAY + RETRY_DELAY_PER_RANK * membership.rank();
        for member in membership.reachable_members() {
            let prepare = Message::Prepare {
                epoch: membership.voting_set().epoch,
                slot,
                ballot,
                removed: proposal.removed,
            };
            context.send(member, prepare);
        }
    }

    /// A voter has promised; with a majority of promises phase 2 begins: voters are asked to accept.
    pub fn promise_received(
        &mut self,
        context: &mut Context,
        membership: &Membership,
        from: NodeId,
        slot: Slot,
        ballot: Ballot,
        accepted: Option<Proposal>,
    ) {
        let proposal = self.proposals.get_mut(&slot);
        let Some(proposal) = proposal.filter(|proposal| proposal.ballot == ballot) else {
            return;
        };
        let is_late = context.now >= proposal.started_at + PROMISE_TIMEOUT;
        if is_late || !membership.voting_set().contains(from) {
            return;
        }
        let value = match proposal.add_promise(from, accepted, membership.voting_set().majority()) {
            Some(value) => value,
            None => return,
        };
        for member in membership.reachable_members() {
            let accept = Message::Accept {
                epoch: membership.voting_set().epoch,
                slot,
                proposal: Proposal {
                    ballot,
                    value: value.clone(),
                },
            };
            context.send(member, accept);
        }
    }

    /// A voter has promised a higher ballot: the next one of this proposer is higher still, and begins soon.
    pub fn rejected(
        &mut self,
        now: Timestamp,
        membership: &Membership,
        slot: Slot,
        promised: Ballot,
    ) {
        self.last_round = self.last_round.max(promised.round);
        let proposal = self.proposals.get_mut(&slot);
        if let Some(proposal) = proposal.filter(|proposal| proposal.ballot < promised) {
            let delay = REJECTED_RETRY_DELAY + REJECTED_RETRY_DELAY_PER_RANK * membership.rank();
            proposal.retry_at = proposal.retry_at.min(now + delay);
        }
    }

    /// Another voting set is adopted: configurations are proposed to its voters, under new ballots.
    pub fn voting_set_changed(&mut self, now: Timestamp) {
        self.proposals
            .retain(|slot, _| matches!(slot, Slot::Configuration(_)));
        for proposal in self.proposals.values_mut() {
            proposal.retry_at = now;
        }
    }

    /// A version is committed: proposals for it and for lower ones end.
    pub fn configuration_committed(&mut self, version: ConfigurationVersion) {
        self.proposals.retain(|slot, _| match slot {
            Slot::Configuration(proposed) => *proposed > version,
            Slot::VotingSet(_) => true,
        });
    }

    /// Gives up proposals that expire, and begins the next ballots of those that failed.
    pub fn tick(&mut self, context: &mut Context, membership: &Membership) {
        let now = context.now;
        self.proposals
            .retain(|_, proposal| now < proposal.expires_at);
        let proposals = self.proposals.iter();
        let due = proposals.filter(|(_, proposal)| now >= proposal.retry_at);
        let due: Vec<Slot> = due.map(|(slot, _)| *slot).collect();
        for slot in due {
            self.start_ballot(context, membership, slot);
        }
    }
}
