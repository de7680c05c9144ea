//! Operations with an idempotency key: pending claims, outcomes, shards of their responses, and the request tasks that
//! wait for voters, other gateways or controllers.

use crate::control_plane::ControlPlane;
use rushcourse_messages::{ClaimId, KeyHolder, Message, OperationState, VotingSet};
use rushcourse_routing::{
    ClaimDecision, ClaimOutcome, ClaimResponse, Claims, OperationStatus, Operations,
    ResponseReplication,
};
use rushcourse_types::{
    KeyDigest, NodeId, OperationKeys, ReplicaSequence, RequestToken, ResponseStoreId, Timestamp,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, oneshot};

/// A claim that was sent to the voters.
pub(crate) struct StartedClaim {
    pub(crate) claim: ClaimId,
    /// Resolves once the claim is decided or times out.
    pub(crate) outcome: oneshot::Receiver<ClaimOutcome>,
}

/// The reply of a node to a query.
pub(crate) struct QueryReply {
    pub(crate) node: NodeId,
    pub(crate) state: OperationState,
}

/// A query sent to the gateway that made a claim, or to controllers that may hold the response.
pub(crate) struct StartedQuery {
    /// Matches the replies to this query.
    pub(crate) token: RequestToken,
    /// The replies, as they arrive.
    pub(crate) replies: mpsc::UnboundedReceiver<QueryReply>,
}

/// Claims and outcomes of this incarnation's operations, with the waiters for claim decisions and query replies.
pub(crate) struct KeyedOperations {
    claims: Claims,
    operations: Operations,
    replication: ResponseReplication,
    claim_waiters: BTreeMap<KeyDigest, oneshot::Sender<ClaimOutcome>>,
    /// Notified when a pending claim is won or withdrawn.
    settlements: BTreeMap<KeyDigest, Rc<Notify>>,
    query_waiters: BTreeMap<RequestToken, mpsc::UnboundedSender<QueryReply>>,
    last_token: RequestToken,
}

impl KeyedOperations {
    pub(crate) fn new(
        claims: Claims,
        operations: Operations,
        replication: ResponseReplication,
    ) -> KeyedOperations {
        KeyedOperations {
            claims,
            operations,
            replication,
            claim_waiters: BTreeMap::new(),
            settlements: BTreeMap::new(),
            query_waiters: BTreeMap::new(),
            last_token: RequestToken::NONE,
        }
    }

    /// Returns the status of the operation with this key, `None` if this gateway has no record of it.
    pub(crate) fn status(&self, key: KeyDigest) -> Option<&OperationStatus> {
        self.operations.status(key)
    }

    /// Returns the claim under which this gateway ran the operation with this key.
    pub(crate) fn holder(&self, key: KeyDigest) -> Option<KeyHolder> {
        let claim = self.operations.claim(key)?;
        Some(KeyHolder { key, claim })
    }

    /// The longest response that is stored, in bytes.
    pub(crate) fn max_response_bytes(&self) -> usize {
        self.operations.max_response_bytes()
    }

    /// Reserves memory for a response that is being received; `false` if that exceeds the limit.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        self.operations.reserve(bytes)
    }

    /// Releases memory that was reserved.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.operations.release(bytes);
    }

    /// Sends a claim of an operation to the voters. `None` if no majority of them is connected or too many claims are
    /// pending.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        keys: OperationKeys,
        control_plane: &ControlPlane,
    ) -> Option<StartedClaim> {
        let is_connected = |node| control_plane.is_connected(node);
        let request = self.claims.start(now, keys, is_connected)?;
        let (key, claim) = (keys.key, request.claim);
        let (waiter, outcome) = oneshot::channel();
        self.claim_waiters.insert(key, waiter);
        self.settlements.insert(key, Rc::default());
        self.operations.start(now, key, claim);
        control_plane.send_claim(&request);
        Some(StartedClaim { claim, outcome })
    }

    /// Records that the claim of an operation was won, so that its request may be sent.
    pub(crate) fn claim_won(&mut self, key: KeyDigest, claim: ClaimId) {
        self.operations
            .set_status(key, claim, OperationStatus::Running);
        self.claim_settled(key);
    }

    /// Returns what is notified when the pending claim of a key is won or withdrawn; `None` without one.
    pub(crate) fn settlement(&self, key: KeyDigest) -> Option<Rc<Notify>> {
        self.settlements.get(&key).cloned()
    }

    fn claim_settled(&mut self, key: KeyDigest) {
        if let Some(settlement) = self.settlements.remove(&key) {
            settlement.notify_waiters();
        }
    }

    /// Records the final status of an operation: completed, or unknown if it may have been executed. Replicates the
    /// response of a completed one.
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
        status: OperationStatus,
    ) {
        let is_completed = matches!(status, OperationStatus::Completed(_));
        self.operations.set_status(key, claim, status);
        if is_completed {
            self.replication.response_completed(now, key, claim);
        }
    }

    /// Sends a withdrawal to all voters that may hold the claim. Only valid if no host executed the request and none
    /// will.
    pub(crate) fn withdraw(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
        control_plane: &ControlPlane,
    ) {
        // A repeated withdrawal must not settle a later claim of the key.
        if self.operations.claim(key) == Some(claim) {
            self.claim_settled(key);
        }
        self.operations.withdraw(key, claim);
        let withdrawal = self.claims.withdraw(now, key, claim);
        control_plane.send_withdrawal(&withdrawal);
    }

    /// Withdraws a claim again that voters still hold, although it was withdrawn or its window ended. Does nothing while
    /// there is a record of it, or for a claim of an earlier incarnation, which may have forwarded the request.
    fn resend_missing_withdrawal(
        &mut self,
        now: Timestamp,
        holder: KeyHolder,
        control_plane: &ControlPlane,
    ) {
        let KeyHolder { key, claim } = holder;
        let has_record = self.operations.status_of_claim(key, claim).is_some();
        if self.is_own(claim) && !has_record {
            self.withdraw(now, key, claim, control_plane);
        }
    }

    /// Whether this incarnation of the gateway made the claim.
    pub(crate) fn is_own(&self, claim: ClaimId) -> bool {
        self.claims.is_own(claim)
    }

    /// Asks nodes for the state of an operation, with the part of its response that begins at `offset`.
    /// [`KeyedOperations::end_query`] has to follow.
    pub(crate) fn query(
        &mut self,
        now: Timestamp,
        nodes: &[NodeId],
        holder: KeyHolder,
        offset: u32,
        control_plane: &mut ControlPlane,
    ) -> StartedQuery {
        let KeyHolder { key, claim } = holder;
        self.last_token = self.last_token.next();
        let token = self.last_token;
        let (waiter, replies) = mpsc::unbounded_channel();
        self.query_waiters.insert(token, waiter);
        for node in nodes {
            let message = Message::OperationQuery {
                token,
                key,
                claim,
                offset,
            };
            control_plane.send_query(now, *node, message);
        }
        StartedQuery { token, replies }
    }

    /// Discards a query, whether or not it was answered.
    pub(crate) fn end_query(&mut self, token: RequestToken) {
        self.query_waiters.remove(&token);
    }

    /// Passes the reply of another node to the waiter, if there still is one.
    pub(crate) fn query_answered(&mut self, token: RequestToken, reply: QueryReply) {
        if let Some(waiter) = self.query_waiters.get(&token) {
            let _ = waiter.send(reply);
        }
    }

    /// Returns the state of the operation under one of this gateway's claims that voters hold, with the part of its
    /// response that begins at `offset`. If it is not found, the withdrawal is resent.
    pub(crate) fn state_of_claim(
        &mut self,
        now: Timestamp,
        holder: KeyHolder,
        offset: u32,
        control_plane: &ControlPlane,
    ) -> OperationState {
        self.resend_missing_withdrawal(now, holder, control_plane);
        let KeyHolder { key, claim } = holder;
        self.operations.state_of_claim(key, claim, offset)
    }

    /// Returns the status of the operation under one of this gateway's claims that voters hold. `None` without a record
    /// of it; then the withdrawal is resent.
    pub(crate) fn status_of_claim(
        &mut self,
        now: Timestamp,
        holder: KeyHolder,
        control_plane: &ControlPlane,
    ) -> Option<OperationStatus> {
        self.resend_missing_withdrawal(now, holder, control_plane);
        let KeyHolder { key, claim } = holder;
        self.operations.status_of_claim(key, claim).cloned()
    }

    /// Handles a controller's report of its voting set: a newer set restarts the pending claims at its voters.
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
        self.notify_waiters(actions.decisions);
    }

    /// Records a voter's verdict on a claim, which may decide it.
    pub(crate) fn handle_claim_response(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        response: ClaimResponse,
    ) {
        let decision = self.claims.record_response(now, voter, response);
        self.notify_waiters(decision);
    }

    /// Counts the missing verdicts of a disconnected voter as abstentions, and sends responses elsewhere.
    pub(crate) fn controller_disconnected(&mut self, now: Timestamp, voter: NodeId) {
        self.replication.controller_disconnected(now, voter);
        let decisions = self.claims.voter_disconnected(now, voter);
        self.notify_waiters(decisions);
    }

    /// Resolves the pending claims that have timed out.
    pub(crate) fn resolve_due_claims(&mut self, now: Timestamp) {
        let decisions = self.claims.take_decided(now);
        self.notify_waiters(decisions);
    }

    /// Removes operations whose key window has ended.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.operations.expire(now);
    }

    /// Records that a controller stores shards of responses.
    pub(crate) fn response_store_opened(
        &mut self,
        controller: NodeId,
        zone: &str,
        store: ResponseStoreId,
    ) {
        self.replication.store_opened(controller, zone, store);
    }

    /// Records that the parts of messages are on the disk of a controller.
    pub(crate) fn shards_stored(&mut self, controller: NodeId, sequences: &[ReplicaSequence]) {
        self.replication.parts_stored(controller, sequences);
    }

    /// Sends the parts of shards that are due.
    pub(crate) fn replicate(&mut self, now: Timestamp, control_plane: &ControlPlane) {
        let batches = self.replication.take_batches(now, &self.operations);
        for batch in batches {
            control_plane.send_shards(batch);
        }
    }

    /// Handles timeouts of the replication.
    pub(crate) fn maintain_replication(&mut self, now: Timestamp) {
        self.replication.maintain(now);
    }

    /// Replicates without delay from now on, since this process is about to end.
    pub(crate) fn start_draining(&mut self) {
        self.replication.start_draining();
    }

    /// Whether each response is stored at the controllers that are available for it.
    pub(crate) fn is_replicated(&self) -> bool {
        self.replication.is_complete()
    }

    /// Passes each decision to the task that waits for it.
    fn notify_waiters(&mut self, decisions: impl IntoIterator<Item = ClaimDecision>) {
        for decision in decisions {
            if let Some(waiter) = self.claim_waiters.remove(&decision.key) {
                let _ = waiter.send(decision.outcome);
            }
        }
    }
}
