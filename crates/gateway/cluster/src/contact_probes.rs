//! Probes that are sent to all controllers. A response proves that a peer runs, is reachable, and has handled all that
//! was sent to it before the probe, since messages of a session stay in order.

use rushcourse_messages::VotingSet;
use rushcourse_types::{NodeId, RequestToken, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// After this time a probe counts as failed (ours). A majority that is reachable answers within some ten milliseconds,
/// and a caller that gets the failure in time has most of its second left for another controller.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Tokens of probes have this bit, those of reads (`rushcourse-consensus`) don't.
const PROBE_TOKEN_BIT: u64 = 1 << 63;

/// The result of a probe that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// As [`ContactProbes::start`] gave it.
    pub token: RequestToken,
    /// Whether a majority of the voting set answered in time.
    pub is_confirmed: bool,
}

#[derive(Clone, Debug)]
struct PendingProbe {
    expires_at: Timestamp,
    responders: BTreeSet<NodeId>,
}

impl PendingProbe {
    /// Whether a majority of the set has responded. The local node counts if it is a member.
    fn is_confirmed(&self, local_node: NodeId, voting_set: &VotingSet) -> bool {
        let has_responded =
            |member: &&NodeId| **member == local_node || self.responders.contains(member);
        let responses = voting_set.members.iter().filter(has_responded).count();
        !voting_set.epoch.is_none() && responses >= voting_set.majority()
    }

    /// The result, if the probe is over: confirmed or timed out.
    fn result(
        &self,
        token: RequestToken,
        now: Timestamp,
        local_node: NodeId,
        voting_set: &VotingSet,
    ) -> Option<ProbeResult> {
        let is_confirmed = self.is_confirmed(local_node, voting_set);
        let is_over = is_confirmed || now >= self.expires_at;
        is_over.then_some(ProbeResult {
            token,
            is_confirmed,
        })
    }
}

/// The pending probes of a controller.
#[derive(Clone, Debug, Default)]
pub struct ContactProbes {
    started_count: u64,
    pending: BTreeMap<RequestToken, PendingProbe>,
}

impl ContactProbes {
    /// Starts a probe. Its token is to be sent to all peers, after what they are to have handled.
    pub fn start(&mut self, now: Timestamp) -> RequestToken {
        self.started_count += 1;
        let token = RequestToken(PROBE_TOKEN_BIT | self.started_count);
        let probe = PendingProbe {
            expires_at: now + PROBE_TIMEOUT,
            responders: BTreeSet::new(),
        };
        self.pending.insert(token, probe);
        token
    }

    /// Records a peer's response. True if the token is of a probe, pending or over.
    pub fn record_response(&mut self, peer: NodeId, token: RequestToken) -> bool {
        if let Some(probe) = self.pending.get_mut(&token) {
            probe.responders.insert(peer);
        }
        token.0 & PROBE_TOKEN_BIT != 0
    }

    /// Removes the probes that are over, confirmed or timed out, and returns their results in the order of their start.
    pub fn finish(
        &mut self,
        now: Timestamp,
        local_node: NodeId,
        voting_set: &VotingSet,
    ) -> Vec<ProbeResult> {
        let finished: Vec<ProbeResult> = self
            .pending
            .iter()
            .filter_map(|(token, probe)| probe.result(*token, now, local_node, voting_set))
            .collect();
        for result in &finished {
            self.pending.remove(&result.token);
        }
        finished
    }
}
