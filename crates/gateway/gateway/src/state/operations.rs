//! Operations with an idempotency key, as called by request tasks.

use super::GatewayState;
use crate::keyed_operations::{OperationQuery, StartedClaim};
use rushcourse_messages::{ClaimId, KeyHolder, OperationState};
use rushcourse_routing::OperationStatus;
use rushcourse_types::{KeyDigest, OperationKeys, RequestToken};
use std::rc::Rc;

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

    /// Withdraws a claim at the voters, which frees its key. Only valid if no host executed the request and none will.
    pub(crate) fn withdraw_claim(&self, key: KeyDigest, claim: ClaimId) {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .withdraw(now, key, claim, &control_plane);
    }

    /// Returns the state of the operation under one of this gateway's claims that voters hold. If there is no record of
    /// it, the withdrawal is resent, unless the claim is of an earlier incarnation.
    pub(crate) fn state_of_claim(&self, holder: KeyHolder) -> OperationState {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .state_of_claim(now, holder, &control_plane)
    }

    /// Whether this incarnation of the gateway made the claim.
    pub(crate) fn is_own_claim(&self, claim: ClaimId) -> bool {
        self.operations.borrow().is_own(claim)
    }

    /// Records the final status of an operation: completed, or unknown if it may have been executed.
    pub(crate) fn finish_operation(&self, key: KeyDigest, claim: ClaimId, status: OperationStatus) {
        self.operations.borrow_mut().finish(key, claim, status);
    }

    /// Queries the gateway that made a claim for the state of the operation. [`GatewayState::end_operation_query`] has
    /// to follow.
    pub(crate) fn query_operation(&self, holder: KeyHolder) -> OperationQuery {
        let now = self.now();
        let mut control_plane = self.control_plane.borrow_mut();
        self.operations
            .borrow_mut()
            .query(now, holder, &mut control_plane)
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
