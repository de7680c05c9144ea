//! The usage duty: a chain of states, each chosen by ballots, of which the newest says who holds the duty.
//!
//! The state at position n + 1 is proposed only by a replica that knows the state at position n to be chosen, and at
//! most one state is chosen for a position. So the chosen states form one chain, in which each was made from the one
//! before it: a fence is never given to two holders, and the report of a window is settled at most once. A replica
//! learns that a state is chosen from the votes that voters report as durable. Replicas that lag receive only the newest
//! state. `paxos/acceptor/duty.rs` tells which records are kept and why no superseded position is decided anew.

use crate::context::Context;
use crate::effect::Effect;
use crate::log_event::LogEvent;
use crate::paxos::Paxos;
use crate::paxos::lagging_peers::LaggingPeers;
use crate::paxos::proposer::ProposalRequest;
use crate::paxos::reproposal::Reproposal;
use rushcourse_messages::{DutyState, Message, Proposal, Slot};
use rushcourse_types::{DutySequence, NodeId};
use std::time::Duration;

/// Time for which a state is proposed before the proposer gives up.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The newest state of the usage duty that this replica knows to be chosen.
#[derive(Clone, Debug, Default)]
pub(crate) struct DutyReplica {
    state: Option<DutyState>,
    lagging: LaggingPeers,
    reproposal: Reproposal,
}

impl DutyReplica {
    /// The newest state known to be chosen; `None` before the first one.
    pub fn state(&self) -> Option<&DutyState> {
        self.state.as_ref()
    }

    /// Handles the end of a session. Sending the newest state to the peer starts anew when it reconnects.
    pub fn peer_disconnected(&mut self, peer: NodeId) {
        self.lagging.remove(peer);
    }

    /// Proposes the state that follows the newest one, and ignores any other. Names the holder that it replaces, so that
    /// voters in session with that holder refuse.
    pub fn propose(&self, context: &mut Context, paxos: &mut Paxos, next: &DutyState) {
        let is_next = next.sequence == paxos.committed_duty.next();
        if !is_next || !paxos.membership.has_quorum_contact() {
            return;
        }
        let present_holder = self.state().map(|state| state.holder);
        let request = ProposalRequest {
            slot: Slot::UsageDuty(next.sequence),
            value: next.to_value(),
            removed: present_holder.filter(|holder| *holder != next.holder),
            expires_at: context.now + PROPOSAL_TIMEOUT,
        };
        paxos.propose(context, request);
    }

    /// Commits the newest chosen state. Returns whether there is a new one, which the caller reports to all replicas.
    pub fn update(&mut self, context: &mut Context, paxos: &mut Paxos) -> bool {
        let Some(state) = find_chosen(context, paxos) else {
            return false;
        };
        paxos.committed_duty = state.sequence;
        paxos
            .proposer
            .slot_committed(Slot::UsageDuty(state.sequence));
        self.reproposal.clear();
        if self.state().map(|known| known.fence) != Some(state.fence) {
            context.log(LogEvent::DutyTakenOver {
                holder: state.holder,
                fence: state.fence,
            });
        }
        self.state = Some(state.clone());
        context.push(Effect::DutyCommitted(state));
        true
    }

    /// Proposes a state again that its proposer left undecided, and sends the newest one to replicas that lack it.
    pub fn tick(&mut self, context: &mut Context, paxos: &mut Paxos) {
        let newest = newest_undecided(paxos);
        self.reproposal.tick(context, paxos, newest);
        if !paxos.committed_duty.is_none() {
            let slot = Slot::UsageDuty(paxos.committed_duty);
            self.lagging.push(context, paxos, slot);
        }
    }

    /// Sends the newest state to a proposer that lags.
    pub fn send_newest(&self, context: &mut Context, proposer: NodeId, paxos: &Paxos) {
        let slot = Slot::UsageDuty(paxos.committed_duty);
        if let Some(proposal) = paxos.acceptor.accepted(slot) {
            let accept = Message::Accept {
                epoch: paxos.membership.voting_set().epoch,
                slot,
                proposal: proposal.clone(),
            };
            context.send(proposer, accept);
        }
    }
}

/// Returns the newest state above the committed one that a majority has voted for.
fn find_chosen(context: &Context, paxos: &Paxos) -> Option<DutyState> {
    let is_chosen = |(sequence, proposal): &(DutySequence, &Proposal)| {
        let slot = Slot::UsageDuty(*sequence);
        paxos.is_chosen(context.now, slot, proposal.ballot)
    };
    let mut above = paxos.acceptor.duties_above(paxos.committed_duty);
    let (_, proposal) = above.find(is_chosen)?;
    DutyState::from_value(&proposal.value)
}

fn newest_undecided(paxos: &Paxos) -> Option<(Slot, Proposal)> {
    let mut above = paxos.acceptor.duties_above(paxos.committed_duty);
    let (sequence, proposal) = above.next()?;
    Some((Slot::UsageDuty(sequence), proposal.clone()))
}
