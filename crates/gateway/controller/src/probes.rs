//! Contact probes that are under way, each with what its end decides.

use crate::control_request::Responder;
use rushcourse_cluster::ContactProbes;
use rushcourse_messages::{NodeId, VotingSet};
use rushcourse_types::{RequestToken, Ticket, Timestamp};
use std::collections::BTreeMap;

/// Why a probe is sent, and what waits for its end.
pub(crate) enum ProbePurpose {
    /// Whether what is held here is current, after a stall.
    StallRecovery { probed_at: Timestamp },
    /// The answer to a host that leaves.
    HostResponse(Responder),
    /// An operator's request: it need not wait for a majority that is not there.
    OperatorRequest(Ticket),
}

/// A probe that is over.
pub(crate) struct FinishedProbe {
    pub(crate) purpose: ProbePurpose,
    /// Whether a majority has answered in time.
    pub(crate) is_confirmed: bool,
}

/// Contact probes that are under way.
#[derive(Default)]
pub(crate) struct PendingProbes {
    probes: ContactProbes,
    purposes: BTreeMap<RequestToken, ProbePurpose>,
}

impl PendingProbes {
    /// Begins a probe. Its token goes to all controllers, behind what they are to have handled.
    pub(crate) fn begin(&mut self, now: Timestamp, purpose: ProbePurpose) -> RequestToken {
        let token = self.probes.start(now);
        self.purposes.insert(token, purpose);
        token
    }

    /// A controller's answer. True if it is to a probe, also to one that is over.
    pub(crate) fn record_response(&mut self, peer: NodeId, token: RequestToken) -> bool {
        self.probes.record_response(peer, token)
    }

    /// Ends the probes that a majority of the voting set has answered, and those whose time is over. `local`: this node,
    /// which counts where it is a member.
    pub(crate) fn take_finished(
        &mut self,
        now: Timestamp,
        local: NodeId,
        voting_set: &VotingSet,
    ) -> Vec<FinishedProbe> {
        let finished = self.probes.finish(now, local, voting_set);
        let with_purpose = finished.into_iter().filter_map(|probe| {
            Some(FinishedProbe {
                purpose: self.purposes.remove(&probe.token)?,
                is_confirmed: probe.is_confirmed,
            })
        });
        with_purpose.collect()
    }
}
