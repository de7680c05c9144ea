//! How the fake controllers respond to claims of operation keys.

use rushcourse_messages::{ClaimId, ClaimVerdict, KeyHolder, Message};
use rushcourse_types::{Epoch, OperationKeys};
use std::cell::{Cell, RefCell};

/// How controllers respond to claims on arrival.
#[derive(Clone, Copy, Default)]
pub enum ClaimMode {
    /// Grant a claim unless it conflicts with one that was granted and not withdrawn.
    #[default]
    Vote,
    /// Report that this claim holds every key.
    HeldBy(ClaimId),
    /// Leave claims pending until the test answers them.
    Wait,
}

/// A claim received by a controller.
#[derive(Clone, Copy)]
pub struct ClaimRequest {
    pub epoch: Epoch,
    pub keys: OperationKeys,
    pub claim: ClaimId,
}

/// A claim that a controller has granted.
struct GrantedClaim {
    controller: usize,
    keys: OperationKeys,
    claim: ClaimId,
}

/// The claims that the controllers have granted. A controller is identified by its index.
#[derive(Default)]
pub struct Voters {
    mode: Cell<ClaimMode>,
    granted: RefCell<Vec<GrantedClaim>>,
}

impl Voters {
    pub fn set_mode(&self, mode: ClaimMode) {
        self.mode.set(mode);
    }

    /// Returns a controller's verdict on a claim, which it holds from then on if it is granted; `None` if the test is
    /// going to answer it.
    pub fn verdict(&self, controller: usize, request: ClaimRequest) -> Option<ClaimVerdict> {
        let ClaimRequest { keys, claim, .. } = request;
        let holder = match self.mode.get() {
            ClaimMode::Wait => return None,
            ClaimMode::HeldBy(claim) => Some(KeyHolder {
                key: keys.key,
                claim,
            }),
            ClaimMode::Vote => self.conflicting_holder(controller, request),
        };
        if let Some(holder) = holder {
            return Some(ClaimVerdict::HeldBy(holder));
        }
        self.granted.borrow_mut().push(GrantedClaim {
            controller,
            keys,
            claim,
        });
        Some(ClaimVerdict::Granted)
    }

    pub fn withdraw(&self, controller: usize, claim: ClaimId) {
        self.granted
            .borrow_mut()
            .retain(|granted| granted.controller != controller || granted.claim != claim);
    }

    fn conflicting_holder(&self, controller: usize, request: ClaimRequest) -> Option<KeyHolder> {
        let granted = self.granted.borrow();
        let holder = granted.iter().find(|granted| {
            granted.controller == controller
                && granted.claim != request.claim
                && granted.keys.conflicts_with(&request.keys)
        })?;
        Some(KeyHolder {
            key: holder.keys.key,
            claim: holder.claim,
        })
    }
}

/// The claim that a message makes; `None` for other messages.
pub fn claim_request(message: &Message) -> Option<ClaimRequest> {
    match *message {
        Message::ClaimRequest { epoch, keys, claim } => Some(ClaimRequest { epoch, keys, claim }),
        _ => None,
    }
}

/// The message with a verdict on a claim.
pub fn claim_response(request: ClaimRequest, verdict: ClaimVerdict) -> Message {
    Message::ClaimResponse {
        epoch: request.epoch,
        claim_number: request.claim.number,
        verdict,
    }
}
