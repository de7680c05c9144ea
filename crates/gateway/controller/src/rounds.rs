//! Rounds that wait for a majority, each with what its end decides.

use crate::control_request::Responder;
use rushcourse_cluster::Rounds;
use rushcourse_messages::{NodeId, VotingSet};
use rushcourse_types::{RequestToken, Ticket, Timestamp};
use std::collections::BTreeMap;

/// What waits for the end of a round.
pub(crate) enum PendingRound {
    /// Whether what is held here is current, after a stall.
    ContactProof { asked_at: Timestamp },
    /// The answer to a host that leaves.
    HostResponse(Responder),
    /// An operator's request: it need not wait for a majority that is not there.
    OperatorRequest(Ticket),
}

/// A round that is over.
pub(crate) struct FinishedRound {
    pub(crate) pending: PendingRound,
    /// Whether a majority has answered in time.
    pub(crate) has_majority: bool,
}

/// Questions to all controllers that are under way.
#[derive(Default)]
pub(crate) struct PendingRounds {
    rounds: Rounds,
    pending: BTreeMap<RequestToken, PendingRound>,
}

impl PendingRounds {
    /// Begins a round. Its token goes to all controllers, behind what they are to have handled.
    pub(crate) fn begin(&mut self, now: Timestamp, pending: PendingRound) -> RequestToken {
        let token = self.rounds.ask(now.as_millis());
        self.pending.insert(token, pending);
        token
    }

    /// A controller's answer. True if it is to a round, also to one that is over.
    pub(crate) fn record_response(&mut self, peer: NodeId, token: RequestToken) -> bool {
        self.rounds.told(peer, token)
    }

    /// Ends the rounds that a majority of the voting set has answered, and those whose time is over. `local`: this node,
    /// which counts where it is a member.
    pub(crate) fn take_finished(
        &mut self,
        now: Timestamp,
        local: NodeId,
        voting_set: &VotingSet,
    ) -> Vec<FinishedRound> {
        let finished = self.rounds.over(now.as_millis(), local, voting_set);
        let with_pending = finished.into_iter().filter_map(|(token, has_majority)| {
            let pending = self.pending.remove(&token)?;
            Some(FinishedRound {
                pending,
                has_majority,
            })
        });
        with_pending.collect()
    }
}
