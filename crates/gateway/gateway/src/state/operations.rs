//! Operations with a key, as a request on its way asks for them.

use super::GatewayState;
use crate::keyed_operations::{OperationQuery, StartedClaim};
use rushcourse_messages::ClaimId;
use rushcourse_routing::OperationStatus;
use rushcourse_types::{KeyDigest, RequestToken};
use std::rc::Rc;

impl GatewayState {
    /// How far the operation of a key is, if it was claimed here.
    pub(crate) fn operation_status(&self, key: KeyDigest) -> Option<OperationStatus> {
        self.operations.borrow().status(key).cloned()
    }

    /// Claims a key at the voters. `None`: no majority of them is connected, or too many claims are pending.
    pub(crate) fn start_claim(&self, key: KeyDigest) -> Option<StartedClaim> {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations.borrow_mut().start(now, key, &control_plane)
    }

    /// Frees a key: nothing was sent under this claim, and nothing will be.
    pub(crate) fn withdraw_claim(&self, key: KeyDigest, claim: ClaimId) {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .withdraw(now, key, claim, &control_plane);
    }

    /// Withdraws a claim again that voters still hold, if it is of this incarnation. Returns whether it is.
    pub(crate) fn withdraw_claim_again(&self, key: KeyDigest, claim: ClaimId) -> bool {
        let now = self.now();
        let control_plane = self.control_plane.borrow();
        self.operations
            .borrow_mut()
            .withdraw_again(now, key, claim, &control_plane)
    }

    /// The operation ended under this claim: completed or not known.
    pub(crate) fn finish_operation(&self, key: KeyDigest, claim: ClaimId, status: OperationStatus) {
        self.operations.borrow_mut().finish(key, claim, status);
    }

    /// Asks the gateway that holds a claim what became of the operation; [`GatewayState::end_operation_query`] has to follow.
    pub(crate) fn query_operation(&self, key: KeyDigest, claim: ClaimId) -> OperationQuery {
        let now = self.now();
        let mut control_plane = self.control_plane.borrow_mut();
        self.operations
            .borrow_mut()
            .query(now, key, claim, &mut control_plane)
    }

    /// Nobody waits for the answer to a query any more.
    pub(crate) fn end_operation_query(&self, token: RequestToken) {
        self.operations.borrow_mut().end_query(token);
    }

    /// Counts an operation that is sent to hosts: a process that drains waits for it.
    pub(crate) fn begin_running_operation(self: &Rc<Self>) -> RunningOperation {
        let running = self.running_operations.get();
        self.running_operations.set(running + 1);
        RunningOperation(self.clone())
    }

    /// How many operations are being sent to hosts.
    pub(crate) fn running_operations(&self) -> usize {
        self.running_operations.get()
    }
}

/// An operation that is counted until this is dropped.
pub(crate) struct RunningOperation(Rc<GatewayState>);

impl Drop for RunningOperation {
    fn drop(&mut self) {
        let running = self.0.running_operations.get();
        self.0.running_operations.set(running - 1);
    }
}
