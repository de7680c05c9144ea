//! Operations with a key that arrived at this gateway: their claims, what became of them, and who waits for either.

use crate::control_plane::ControlPlane;
use rushcourse_messages::{ClaimId, Message, OperationState, VotingSet};
use rushcourse_routing::{
    ClaimDecision, ClaimOutcome, ClaimResponse, Claims, OperationStatus, Operations,
};
use rushcourse_types::{KeyDigest, NodeId, RequestToken, Timestamp};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// A claim that was sent to the voters.
pub(crate) struct StartedClaim {
    /// Its id.
    pub(crate) claim: ClaimId,
    /// What it comes to.
    pub(crate) outcome: oneshot::Receiver<ClaimOutcome>,
}

/// A question that was sent to the gateway that holds a claim.
pub(crate) struct OperationQuery {
    /// Binds the answer to the question.
    pub(crate) token: RequestToken,
    /// What became of the operation.
    pub(crate) state: oneshot::Receiver<OperationState>,
}

/// The operations of this incarnation, and those that wait for voters or other gateways.
pub(crate) struct KeyedOperations {
    claims: Claims,
    operations: Operations,
    claim_waiters: BTreeMap<KeyDigest, oneshot::Sender<ClaimOutcome>>,
    query_waiters: BTreeMap<RequestToken, oneshot::Sender<OperationState>>,
    last_token: RequestToken,
}

impl KeyedOperations {
    /// No operations yet.
    pub(crate) fn new(claims: Claims, operations: Operations) -> KeyedOperations {
        KeyedOperations {
            claims,
            operations,
            claim_waiters: BTreeMap::new(),
            query_waiters: BTreeMap::new(),
            last_token: RequestToken::NONE,
        }
    }

    /// How far the operation of a key is, if it was claimed here.
    pub(crate) fn status(&self, key: KeyDigest) -> Option<&OperationStatus> {
        self.operations.status(key)
    }

    /// Claims a key at the voters. `None`: no majority of them is connected, or too many claims are pending.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        control_plane: &ControlPlane,
    ) -> Option<StartedClaim> {
        let is_connected = |node| control_plane.is_connected(node);
        let request = self.claims.start(now, key, is_connected)?;
        let claim = request.claim;
        let (waiter, outcome) = oneshot::channel();
        self.claim_waiters.insert(key, waiter);
        self.operations.start(now, key, claim);
        control_plane.send_claim(&request);
        Some(StartedClaim { claim, outcome })
    }

    /// The operation ended under this claim: completed or not known.
    pub(crate) fn finish(&mut self, key: KeyDigest, claim: ClaimId, status: OperationStatus) {
        self.operations.finish(key, claim, status);
    }

    /// Frees a key: tells all voters that may hold the claim that nothing was sent under it, and nothing will be.
    pub(crate) fn withdraw(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
        control_plane: &ControlPlane,
    ) {
        self.operations.withdraw(key, claim);
        let withdrawal = self.claims.withdraw(now, key, claim);
        control_plane.send_withdrawal(&withdrawal);
    }

    /// Voters hold a claim of which nothing is known here: it was withdrawn, or its window is over, and they have not
    /// heard so. Returns whether it is of this incarnation; of an earlier one it isn't known what was sent under it.
    pub(crate) fn withdraw_again(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
        control_plane: &ControlPlane,
    ) -> bool {
        let is_own = self.claims.is_own(claim);
        if is_own {
            self.withdraw(now, key, claim, control_plane);
        }
        is_own
    }

    /// Asks the gateway that holds a claim what became of the operation.
    pub(crate) fn query(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
        control_plane: &mut ControlPlane,
    ) -> OperationQuery {
        self.last_token = self.last_token.next();
        let token = self.last_token;
        let (waiter, state) = oneshot::channel();
        self.query_waiters.insert(token, waiter);
        let message = Message::OperationQuery { token, key, claim };
        control_plane.sessions_mut().query(now, claim.node, message);
        OperationQuery { token, state }
    }

    /// Nobody waits for the answer to a query any more.
    pub(crate) fn end_query(&mut self, token: RequestToken) {
        self.query_waiters.remove(&token);
    }

    /// Another gateway answered a query.
    pub(crate) fn query_answered(&mut self, token: RequestToken, state: OperationState) {
        if let Some(waiter) = self.query_waiters.remove(&token) {
            let _ = waiter.send(state);
        }
    }

    /// What another gateway is told of a claim of this one.
    pub(crate) fn state_of_claim(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
        control_plane: &ControlPlane,
    ) -> OperationState {
        let state = self.operations.state_of_claim(key, claim);
        if state == OperationState::NotFound {
            self.withdraw_again(now, key, claim, control_plane);
        }
        state
    }

    /// A controller reports its voting set: pending claims go to the voters of a newer one.
    pub(crate) fn voting_set_reported(
        &mut self,
        now: Timestamp,
        controller: NodeId,
        voting_set: VotingSet,
        control_plane: &ControlPlane,
    ) {
        let is_connected = |node| control_plane.is_connected(node);
        let actions = self
            .claims
            .voting_set_reported(now, controller, voting_set, is_connected);
        for request in &actions.requests {
            control_plane.send_claim(request);
        }
        for withdrawal in &actions.withdrawals {
            control_plane.send_withdrawal(withdrawal);
        }
        self.announce(actions.decisions);
    }

    /// A voter answered a claim.
    pub(crate) fn claim_answered(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        response: ClaimResponse,
    ) {
        let decision = self.claims.record_response(now, voter, response);
        self.announce(decision);
    }

    /// The session with a voter ended: its verdicts can no longer come.
    pub(crate) fn voter_disconnected(&mut self, now: Timestamp, voter: NodeId) {
        let decisions = self.claims.voter_disconnected(now, voter);
        self.announce(decisions);
    }

    /// Decides claims whose time is over.
    pub(crate) fn decide_due_claims(&mut self, now: Timestamp) {
        let decisions = self.claims.take_decided(now);
        self.announce(decisions);
    }

    /// Forgets operations whose window is over.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.operations.expire(now);
    }

    /// Tells those who wait what their claims came to.
    fn announce(&mut self, decisions: impl IntoIterator<Item = ClaimDecision>) {
        for decision in decisions {
            if let Some(waiter) = self.claim_waiters.remove(&decision.key) {
                let _ = waiter.send(decision.outcome);
            }
        }
    }
}
