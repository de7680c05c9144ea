//! The proposer: gets a value chosen for a slot by collecting promises and then votes from a majority of the voting
//! set. Proposers may compete for a slot. The higher ballot wins, and adopts the value that a lower ballot may already
//! have got chosen.

use crate::context::Context;
use crate::membership::Membership;
use rushcourse_messages::{Ballot, Message, Proposal, Slot};
use rushcourse_types::{Incarnation, NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::mem::discriminant;
use std::sync::Arc;
use std::time::Duration;

/// Time after a ballot's start for which its promises count. Shorter than `learning::SNAPSHOT_REQUEST_DELAY`, so that a
/// promise given before the loss of a disk is no longer counted when its acceptor installs snapshots.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a failed ballot is followed by the next one, and the delay added per rank, so that competing proposers
/// retry one after the other.
const RETRY_DELAY: Duration = Duration::from_millis(250);
const RETRY_DELAY_PER_RANK: Duration = Duration::from_millis(60);
/// Delay before the next ballot after a rejection, and the delay added per rank.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(20);
const REJECTED_RETRY_DELAY_PER_RANK: Duration = Duration::from_millis(40);

/// Arguments of [`Proposer::propose`].
pub(crate) struct ProposalRequest {
    pub slot: Slot,
    /// Text of a configuration, or an encoded voting set or state of the usage duty.
    pub value: Arc<[u8]>,
    /// The member that a proposed voting set removes, or the holder of the usage duty that a proposed state replaces.
    /// Acceptors that can still reach it don't promise.
    pub removed: Option<NodeId>,
    /// Deadline after which the proposer gives up.
    pub expires_at: Timestamp,
}

#[derive(Clone, Debug)]
enum Phase {
    Preparing {
        promises: BTreeSet<NodeId>,
        /// Proposal with the highest ballot among those that the promises reported as accepted.
        accepted: Option<Proposal>,
    },
    Accepting,
}

#[derive(Clone, Debug)]
struct PendingProposal {
    ballot: Ballot,
    value: Arc<[u8]>,
    removed: Option<NodeId>,
    phase: Phase,
    started_at: Timestamp,
    retry_at: Timestamp,
    expires_at: Timestamp,
}

impl PendingProposal {
    /// Counts a promise of phase 1. Once a majority has promised, returns the value for phase 2: the accepted value
    /// with the highest ballot, or else this proposal's own value.
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

/// Proposer role of this replica, with at most one pending proposal per slot.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    incarnation: Incarnation,
    last_round: u64,
    proposals: BTreeMap<Slot, PendingProposal>,
}

impl Proposer {
    /// Creates a proposer; its ballots carry the incarnation, which makes them unique across restarts.
    pub fn new(incarnation: Incarnation) -> Proposer {
        Proposer {
            incarnation,
            last_round: 0,
            proposals: BTreeMap::new(),
        }
    }

    /// Whether a proposal for the slot is pending.
    pub fn is_proposing(&self, slot: Slot) -> bool {
        self.proposals.contains_key(&slot)
    }

    /// Proposes a value, or extends the deadline of the pending proposal for its slot.
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
        let proposal = PendingProposal {
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

    /// Starts phase 1 of a new ballot by requesting promises.
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

    /// Handles a promise. Once a majority has promised, phase 2 starts: voters are asked to accept the value.
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
        let has_timed_out = context.now >= proposal.started_at + PROMISE_TIMEOUT;
        if has_timed_out || !membership.voting_set().contains(from) {
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

    /// Handles a rejection by an acceptor that has promised a higher ballot. The next ballot exceeds that one and
    /// starts after a short delay.
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

    /// Drops proposals for voting sets after a new set was adopted, and restarts all others in that set.
    pub fn voting_set_changed(&mut self, now: Timestamp) {
        self.proposals
            .retain(|slot, _| !matches!(slot, Slot::VotingSet(_)));
        for proposal in self.proposals.values_mut() {
            proposal.retry_at = now;
        }
    }

    /// Drops proposals for a configuration or state of the usage duty that is now committed, and for earlier ones.
    pub fn slot_committed(&mut self, committed: Slot) {
        let is_same_kind = |slot: &Slot| discriminant(slot) == discriminant(&committed);
        self.proposals
            .retain(|slot, _| !is_same_kind(slot) || *slot > committed);
    }

    /// Drops expired proposals and starts the next ballots of those whose retry is due.
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
