//! Pending contact probes, each with the action to take on its result.

use crate::control_request::Responder;
use rushcourse_cluster::ContactProbes;
use rushcourse_messages::VotingSet;
use rushcourse_types::{NodeId, RequestToken, Ticket, Timestamp};
use std::collections::BTreeMap;

/// The purpose of a probe, which determines the action on its result.
pub(crate) enum ProbePurpose {
    /// Confirms quorum contact after the process stalled.
    StallRecovery { probed_at: Timestamp },
    /// Acknowledges the request of a leaving host once a majority of disks has it.
    HostResponse(Responder),
    /// Lets an operator's request fail early if no majority responds.
    OperatorRequest(Ticket),
}

/// A probe that was confirmed or timed out.
pub(crate) struct FinishedProbe {
    pub(crate) purpose: ProbePurpose,
    /// Whether a majority responded before the timeout.
    pub(crate) is_confirmed: bool,
}

/// Probes that wait for responses, with their purposes.
#[derive(Default)]
pub(crate) struct PendingProbes {
    probes: ContactProbes,
    purposes: BTreeMap<RequestToken, ProbePurpose>,
}

impl PendingProbes {
    /// Starts a probe and returns its token. The caller sends the token to all controllers, after the messages whose
    /// receipt the probe has to confirm.
    pub(crate) fn begin(&mut self, now: Timestamp, purpose: ProbePurpose) -> RequestToken {
        let token = self.probes.start(now);
        self.purposes.insert(token, purpose);
        token
    }

    /// Records the response of a controller, or of this one. Returns true if the token belongs to a probe, pending or finished.
    pub(crate) fn record_response(&mut self, responder: NodeId, token: RequestToken) -> bool {
        self.probes.record_response(responder, token)
    }

    /// Removes and returns the probes that are confirmed by a majority of the voting set or have timed out.
    pub(crate) fn take_finished(
        &mut self,
        now: Timestamp,
        voting_set: &VotingSet,
    ) -> Vec<FinishedProbe> {
        let finished = self.probes.finish(now, voting_set);
        let with_purpose = finished.into_iter().filter_map(|probe| {
            Some(FinishedProbe {
                purpose: self.purposes.remove(&probe.token)?,
                is_confirmed: probe.is_confirmed,
            })
        });
        with_purpose.collect()
    }
}
