//! Proposes a value again that is accepted here but was not chosen in time, in case its proposer has failed.

use crate::context::Context;
use crate::paxos::Paxos;
use crate::paxos::proposer::ProposalRequest;
use rushcourse_messages::{Ballot, Proposal, Slot};
use rushcourse_types::Timestamp;
use std::time::Duration;

/// Time for which an accepted value may stay undecided before a voter proposes it again, and the delay added per rank.
const REPROPOSAL_DELAY: Duration = Duration::from_millis(400);
const REPROPOSAL_DELAY_PER_RANK: Duration = Duration::from_millis(150);
/// Time for which a voter tries to get an undecided value chosen before it checks again whether that is needed.
const REPROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An accepted proposal that is not known to be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UndecidedProposal {
    slot: Slot,
    ballot: Ballot,
    since: Timestamp,
}

/// Tracks the newest undecided proposal of one kind of slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reproposal {
    undecided: Option<UndecidedProposal>,
}

impl Reproposal {
    /// Stops tracking a proposal, because its slot or a later one is decided.
    pub fn clear(&mut self) {
        self.undecided = None;
    }

    /// Proposes the newest undecided value again if that is due. `newest` is the accepted proposal in the highest slot
    /// above the decided ones. The request names no removed node: a value is accepted anywhere only after a majority has
    /// agreed to the removal, and any later proposer of the slot has to complete it.
    pub fn tick(
        &mut self,
        context: &mut Context,
        paxos: &mut Paxos,
        newest: Option<(Slot, Proposal)>,
    ) {
        let Some((slot, proposal)) = newest else {
            return self.clear();
        };
        let ballot = proposal.ballot;
        let is_same =
            |undecided: &UndecidedProposal| (undecided.slot, undecided.ballot) == (slot, ballot);
        let undecided = self.undecided.filter(is_same).unwrap_or(UndecidedProposal {
            slot,
            ballot,
            since: context.now,
        });
        self.undecided = Some(undecided);
        let membership = &paxos.membership;
        let delay = REPROPOSAL_DELAY + REPROPOSAL_DELAY_PER_RANK * membership.rank();
        let may_propose = membership.is_voter() && membership.has_quorum_contact();
        if may_propose && context.now >= undecided.since + delay {
            let request = ProposalRequest {
                slot,
                value: proposal.value,
                removed: None,
                expires_at: context.now + REPROPOSAL_TIMEOUT,
            };
            paxos.propose(context, request);
        }
    }
}
