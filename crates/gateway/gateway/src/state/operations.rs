//! Operations with an idempotency key, as called by request tasks.

use super::GatewayState;
use crate::keyed_operations::{QueryReply, StartedClaim, StartedQuery};
use rushcourse_messages::{ClaimId, KeyHolder, OperationState};
use rushcourse_routing::OperationStatus;
use rushcourse_types::{
    KeyDigest, NodeId, OperationKeys, ReplicaSequence, RequestToken, ResponseStoreId, SessionId,
    Timestamp,
};
use std::rc::Rc;
use tokio::sync::Notify;

impl GatewayState {
    /// Returns the status of the operation with this key, `None` if this gateway has no record of it.
    pub(crate) fn operation_status(&self, key: KeyDigest) -> Option<OperationStatus> {
        self.operations.borrow().status(key).cloned()
    }

    /// Sends a claim of an operation to the voters. `None` if no majority of them is connected or too many claims are
    /// pending.
    pub(crate) fn start_claim(&self, keys: OperationKeys) -> Option<StartedClaim> {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .start(now, keys, &control_plane)
    }

    /// Records that the claim of an operation was won, so that its request may be sent.
    pub(crate) fn claim_won(&self, key: KeyDigest, claim: ClaimId) {
        self.operations.borrow_mut().claim_won(key, claim);
    }

    /// Returns what is notified when the pending claim of a key is won or withdrawn; `None` without one.
    pub(crate) fn claim_settlement(&self, key: KeyDigest) -> Option<Rc<Notify>> {
        self.operations.borrow().settlement(key)
    }

    /// Withdraws a claim at the voters, which frees its key. Only valid if no host executed the request and none will.
    pub(crate) fn withdraw_claim(&self, key: KeyDigest, claim: ClaimId) {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .withdraw(now, key, claim, &control_plane);
    }

    /// Returns the claim under which this gateway ran the operation with this key.
    pub(crate) fn operation_holder(&self, key: KeyDigest) -> Option<KeyHolder> {
        self.operations.borrow().holder(key)
    }

    /// Returns the status of the operation under one of this gateway's claims that voters hold. `None` without a record of
    /// it; then the withdrawal is resent, unless the claim is of an earlier incarnation.
    pub(crate) fn status_of_claim(&self, holder: KeyHolder) -> Option<OperationStatus> {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .status_of_claim(now, holder, &control_plane)
    }

    /// Whether this incarnation of the gateway made the claim.
    pub(crate) fn is_own_claim(&self, claim: ClaimId) -> bool {
        self.operations.borrow().is_own(claim)
    }

    /// Records the final status of an operation: completed, or unknown if it may have been executed.
    pub(crate) fn finish_operation(&self, key: KeyDigest, claim: ClaimId, status: OperationStatus) {
        let now = self.now();
        self.operations.borrow_mut().finish(now, key, claim, status);
    }

    /// Asks nodes for the state of an operation, with the part of its response that begins at `offset`.
    /// [`GatewayState::end_operation_query`] has to follow.
    pub(crate) fn query_operation(
        &self,
        nodes: &[NodeId],
        holder: KeyHolder,
        offset: u32,
    ) -> StartedQuery {
        let now = self.now();
        let mut control_plane = self.control_plane.borrow_mut();
        self.operations
            .borrow_mut()
            .query(now, nodes, holder, offset, &mut control_plane)
    }

    /// Passes a node's reply to the request that waits for it.
    pub(super) fn operation_query_answered(
        &self,
        token: RequestToken,
        node: NodeId,
        state: OperationState,
    ) {
        let reply = QueryReply { node, state };
        self.operations.borrow_mut().query_answered(token, reply);
    }

    /// Returns the controllers with open sessions.
    pub(crate) fn connected_controllers(&self) -> Vec<NodeId> {
        self.control_plane.borrow().connected_controllers()
    }

    /// The longest response that is stored for repeats, in bytes.
    pub(crate) fn max_stored_response_bytes(&self) -> usize {
        self.operations.borrow().max_response_bytes()
    }

    /// Reserves memory for a response that is being received; `false` if the limit of memory for responses is reached.
    /// [`GatewayState::release_response_memory`] has to follow a success.
    pub(crate) fn reserve_response_memory(&self, bytes: usize) -> bool {
        self.operations.borrow_mut().reserve(bytes)
    }

    pub(crate) fn release_response_memory(&self, bytes: usize) {
        self.operations.borrow_mut().release(bytes);
    }

    /// Records that a controller stores shards of responses.
    pub(super) fn response_store_opened(
        &self,
        session: SessionId,
        controller: NodeId,
        store: ResponseStoreId,
    ) {
        let control_plane = self.control_plane.borrow();
        let Some(zone) = control_plane.sessions().zone(session) else {
            return;
        };
        let mut operations = self.operations.borrow_mut();
        operations.response_store_opened(controller, zone, store);
    }

    /// Records that the parts of messages are on a controller's disk, and sends further ones.
    pub(super) fn shards_stored(
        &self,
        now: Timestamp,
        controller: NodeId,
        sequences: &[ReplicaSequence],
    ) {
        self.operations
            .borrow_mut()
            .shards_stored(controller, sequences);
        self.replicate_responses(now);
    }

    /// Sends the parts of shards that are due.
    pub(super) fn replicate_responses(&self, now: Timestamp) {
        let control_plane = self.control_plane.borrow();
        self.operations.borrow_mut().replicate(now, &control_plane);
    }

    /// Whether each response is stored at the controllers that are available for it.
    pub(crate) fn is_replicated(&self) -> bool {
        self.operations.borrow().is_replicated()
    }

    /// Discards a query, whether or not it was answered.
    pub(crate) fn end_operation_query(&self, token: RequestToken) {
        self.operations.borrow_mut().end_query(token);
    }

    /// Counts a running operation until the returned guard is dropped. A draining process waits for running operations.
    pub(crate) fn begin_running_operation(self: &Rc<Self>) -> RunningOperation {
        let running = self.running_operations.get();
        self.running_operations.set(running + 1);
        RunningOperation(self.clone())
    }

    pub(crate) fn running_operations(&self) -> usize {
        self.running_operations.get()
    }
}

/// Guard that counts one operation as running; see [`GatewayState::begin_running_operation`].
pub(crate) struct RunningOperation(Rc<GatewayState>);

impl Drop for RunningOperation {
    fn drop(&mut self) {
        let running = self.0.running_operations.get();
        self.0.running_operations.set(running - 1);
    }
}
