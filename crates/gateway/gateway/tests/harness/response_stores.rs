//! The responses that fake controllers store for the gateway. A controller is identified by its index.

use rushcourse_messages::{ClaimId, Message, OperationState, ResponsePart};
use rushcourse_types::{KeyDigest, ResponseStoreId};
use std::cell::RefCell;

/// A part that a controller has stored.
#[derive(Clone)]
struct StoredPart {
    controller: usize,
    key: KeyDigest,
    claim: ClaimId,
    part: ResponsePart,
}

/// The stored parts of all controllers.
#[derive(Default)]
pub struct ResponseStores(RefCell<Vec<StoredPart>>);

impl ResponseStores {
    /// The announcement of a controller's store.
    pub fn announcement(controller: usize) -> Message {
        Message::ResponseStoreOpened {
            store: ResponseStoreId(controller as u64),
        }
    }

    /// Stores a part, and returns the part or the confirmation that a message asks for; `None` for other messages.
    pub fn reply(&self, controller: usize, message: &Message) -> Option<Message> {
        match message {
            Message::ResponseReplica {
                sequence,
                key,
                claim,
                part,
            } => {
                self.0.borrow_mut().push(StoredPart {
                    controller,
                    key: *key,
                    claim: *claim,
                    part: part.clone(),
                });
                Some(Message::ResponseReplicasStored {
                    sequences: vec![*sequence],
                })
            }
            Message::OperationQuery {
                token,
                key,
                claim,
                offset,
            } => {
                let parts = self.0.borrow();
                let found = parts.iter().find(|stored| {
                    (stored.controller, stored.key) == (controller, *key)
                        && (stored.claim, stored.part.offset) == (*claim, *offset)
                });
                let state = found.map_or(OperationState::NotFound, |found| {
                    OperationState::Completed(found.part.clone())
                });
                Some(Message::OperationReply {
                    token: *token,
                    state,
                })
            }
            _ => None,
        }
    }

    /// The number of complete responses, counted once for each controller that has one.
    pub fn complete_count(&self) -> usize {
        let parts = self.0.borrow();
        parts.iter().filter(|stored| stored.part.is_last()).count()
    }

    /// Changes the claim of all stored responses, as if another gateway had run the operations.
    pub fn set_claim(&self, claim: ClaimId) {
        for stored in &mut *self.0.borrow_mut() {
            stored.claim = claim;
        }
    }
}
