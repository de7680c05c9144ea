//! The proposer: has a value chosen for a slot, by a promise and then a vote of a majority of the set. Proposers of one
//! slot may meet; the higher ballot goes on, and takes up what the lower one may have had chosen.

use crate::context::Context;
use crate::membership::Membership;
use rushcourse_messages::{Ballot, Incarnation, Message, NodeId, Proposal, Slot};
use rushcourse_types::ConfigurationVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// ms for which promises count after a ballot's start; shorter than `membership::FORGOT_WAIT`, as for votes.
const BALLOT_WAIT: u64 = 800;
/// ms until a ballot that came to nothing is followed by the next one, and what each place in the set adds, so that
/// proposers that met go on one after the other.
const RETRY: u64 = 250;
const RETRY_RANK: u64 = 60;
/// The same after a refusal.
const REFUSED_RETRY: u64 = 20;
const REFUSED_RETRY_RANK: u64 = 40;

#[derive(Clone, Debug)]
enum Phase {
    Preparing {
        promises: BTreeSet<NodeId>,
        best: Option<Proposal>,
    },
    Accepting,
}

#[derive(Clone, Debug)]
struct OpenProposal {
    ballot: Ballot,
    value: Arc<[u8]>,
    /// The member that a proposed set leaves out.
    without: Option<NodeId>,
    phase: Phase,
    started: u64,
    retry_at: u64,
    until: u64,
}

/// What is to be proposed.
pub(crate) struct Intent {
    pub slot: Slot,
    pub value: Arc<[u8]>,
    pub without: Option<NodeId>,
    /// When it is given up, ms of the steady clock.
    pub until: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    incarnation: Incarnation,
    round: u64,
    proposals: BTreeMap<Slot, OpenProposal>,
}

impl Proposer {
    pub fn new(incarnation: Incarnation) -> Proposer {
        Proposer {
            incarnation,
            round: 0,
            proposals: BTreeMap::new(),
        }
    }

    pub fn is_proposing(&self, slot: Slot) -> bool {
        self.proposals.contains_key(&slot)
    }

    /// Proposes a value, or goes on for longer with what is proposed for this slot already.
    pub fn begin(&mut self, context: &mut Context, membership: &Membership, intent: Intent) {
        if let Some(proposal) = self.proposals.get_mut(&intent.slot) {
            proposal.until = proposal.until.max(intent.until);
            return;
        }
        let proposal = OpenProposal {
            ballot: Ballot::default(),
            value: intent.value,
            without: intent.without,
            phase: Phase::Accepting,
            started: context.now.as_millis(),
            retry_at: 0,
            until: intent.until,
        };
        self.proposals.insert(intent.slot, proposal);
        self.prepare(context, membership, intent.slot);
    }

    fn prepare(&mut self, context: &mut Context, membership: &Membership, slot: Slot) {
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            node: context.node,
            incarnation: self.incarnation,
        };
        let Some(proposal) = self.proposals.get_mut(&slot) else {
            return;
        };
        proposal.ballot = ballot;
        proposal.phase = Phase::Preparing {
            promises: BTreeSet::new(),
            best: None,
        };
        proposal.started = context.now.as_millis();
        proposal.retry_at = context.now.as_millis() + RETRY + membership.rank() * RETRY_RANK;
        let (set, without) = (membership.set().epoch, proposal.without);
        for member in membership.reached_members() {
            context.send(
                member,
                Message::Prepare {
                    epoch: set,
                    slot,
                    ballot,
                    removed: without,
                },
            );
        }
    }

    /// A voter's promise; with a majority of them the proposal is brought to the voters.
    pub fn promised(
        &mut self,
        context: &mut Context,
        membership: &Membership,
        from: NodeId,
        slot: Slot,
        ballot: Ballot,
        accepted: Option<Proposal>,
    ) {
        let Some(proposal) = self.proposals.get_mut(&slot).filter(|p| p.ballot == ballot) else {
            return;
        };
        let Phase::Preparing { promises, best } = &mut proposal.phase else {
            return;
        };
        if context.now.as_millis() >= proposal.started + BALLOT_WAIT
            || !membership.set().contains(from)
        {
            return;
        }
        promises.insert(from);
        if accepted.as_ref().map(|a| a.ballot) > best.as_ref().map(|a| a.ballot) {
            *best = accepted;
        }
        if promises.len() < membership.set().majority() {
            return;
        }
        let value = best
            .take()
            .map_or_else(|| proposal.value.clone(), |a| a.value);
        proposal.phase = Phase::Accepting;
        let set = membership.set().epoch;
        for member in membership.reached_members() {
            let proposal = Proposal {
                ballot,
                value: value.clone(),
            };
            context.send(
                member,
                Message::Accept {
                    epoch: set,
                    slot,
                    proposal,
                },
            );
        }
    }

    /// A voter has promised a higher ballot: the next one of this proposer is higher still, and comes soon.
    pub fn refused(&mut self, now: u64, membership: &Membership, slot: Slot, promised: Ballot) {
        self.round = self.round.max(promised.round);
        if let Some(proposal) = self
            .proposals
            .get_mut(&slot)
            .filter(|p| p.ballot < promised)
        {
            let soon = now + REFUSED_RETRY + membership.rank() * REFUSED_RETRY_RANK;
            proposal.retry_at = proposal.retry_at.min(soon);
        }
    }

    /// The set changed: what is proposed for versions goes to the new set's voters, under a new ballot.
    pub fn set_changed(&mut self, now: u64) {
        self.proposals
            .retain(|slot, _| matches!(slot, Slot::Configuration(_)));
        self.proposals.values_mut().for_each(|p| p.retry_at = now);
    }

    /// A slot is settled, and so are lower versions.
    pub fn settled(&mut self, version: ConfigurationVersion) {
        self.proposals.retain(|slot, _| {
            *slot > Slot::Configuration(version) || matches!(slot, Slot::VotingSet(_))
        });
    }

    pub fn tick(&mut self, context: &mut Context, membership: &Membership) {
        let now = context.now.as_millis();
        self.proposals.retain(|_, p| now < p.until);
        let due: Vec<Slot> = self
            .proposals
            .iter()
            .filter(|p| now >= p.1.retry_at)
            .map(|p| *p.0)
            .collect();
        for slot in due {
            self.prepare(context, membership, slot);
        }
    }
}
