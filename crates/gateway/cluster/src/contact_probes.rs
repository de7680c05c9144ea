//! Probes that a controller sends to all peers. A response proves that the peer is running and reachable and has
//! handled all earlier messages of the session, because a session preserves message order. A request to store something is
//! a probe as well, whose response follows once the peer's disk has it; then the local disk responds like those of peers.

use rushcourse_messages::VotingSet;
use rushcourse_types::{NodeId, RequestToken, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which a probe without responses from a majority fails. Short enough that a caller with a timeout of one
/// second can still try another controller.
/// A reachable majority responds within some ten milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Set in the tokens of probes and clear in those of reads (`rushcourse-consensus`), which share one token space.
const PROBE_TOKEN_BIT: u64 = 1 << 63;

/// The result of a finished probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// The token returned by [`ContactProbes::start`].
    pub token: RequestToken,
    /// Whether a majority of the voting set responded before the timeout.
    pub is_confirmed: bool,
}

#[derive(Clone, Debug)]
struct PendingProbe {
    expires_at: Timestamp,
    responders: BTreeSet<NodeId>,
}

impl PendingProbe {
    /// Whether a majority of the voting set has responded.
    fn is_confirmed(&self, voting_set: &VotingSet) -> bool {
        let has_responded = |member: &&NodeId| self.responders.contains(member);
        let responses = voting_set.members.iter().filter(has_responded).count();
        !voting_set.epoch.is_none() && responses >= voting_set.majority()
    }

    /// Returns the result if the probe is confirmed or timed out.
    fn result(
        &self,
        token: RequestToken,
        now: Timestamp,
        voting_set: &VotingSet,
    ) -> Option<ProbeResult> {
        let is_confirmed = self.is_confirmed(voting_set);
        let is_over = is_confirmed || now >= self.expires_at;
        is_over.then_some(ProbeResult {
            token,
            is_confirmed,
        })
    }
}

/// The probes of this controller that are neither confirmed nor timed out.
#[derive(Clone, Debug, Default)]
pub struct ContactProbes {
    started_count: u64,
    pending: BTreeMap<RequestToken, PendingProbe>,
}

impl ContactProbes {
    /// Starts a probe without responses. The caller must send the token to all peers, after the messages whose handling it
    /// wants confirmed, and record the local node's own response.
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

    /// Records the response of a peer or of the local node. Returns whether the token belongs to a probe, pending or finished.
    pub fn record_response(&mut self, responder: NodeId, token: RequestToken) -> bool {
        if let Some(probe) = self.pending.get_mut(&token) {
            probe.responders.insert(responder);
        }
        token.0 & PROBE_TOKEN_BIT != 0
    }

    /// Removes the probes that are confirmed or timed out, and returns their results in the order in which they
    /// started.
    pub fn finish(&mut self, now: Timestamp, voting_set: &VotingSet) -> Vec<ProbeResult> {
        let finished: Vec<ProbeResult> = self
            .pending
            .iter()
            .filter_map(|(token, probe)| probe.result(*token, now, voting_set))
            .collect();
        for result in &finished {
            self.pending.remove(&result.token);
        }
        finished
    }
}
