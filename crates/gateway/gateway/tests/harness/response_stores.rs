//! The shards of responses that fake controllers store for the gateway. A controller is identified by its index.

use rushcourse_messages::{ClaimId, Handshake, Message, OperationState, ResponsePart, ShardPart};
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

    /// Stores the parts of a message, and returns the part or the confirmation that it asks for; `None` for other messages.
    pub fn reply(
        &self,
        controller: usize,
        gateway: &Handshake,
        message: &Message,
    ) -> Option<Message> {
        match message {
            Message::ResponseShards { sequence, parts } => {
                let stored = parts.iter().map(|part| stored(controller, gateway, part));
                self.0.borrow_mut().extend(stored);
                Some(Message::ResponseShardsStored {
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

    /// The number of complete shards of all controllers together.
    pub fn complete_count(&self) -> usize {
        let parts = self.0.borrow();
        parts.iter().filter(|stored| stored.part.is_last()).count()
    }

    /// Empties the store of a controller.
    pub fn lose(&self, controller: usize) {
        self.0
            .borrow_mut()
            .retain(|stored| stored.controller != controller);
    }

    /// Changes the claim of all stored responses, as if another gateway had run the operations.
    pub fn set_claim(&self, claim: ClaimId) {
        for stored in &mut *self.0.borrow_mut() {
            stored.claim = claim;
        }
    }
}

fn stored(controller: usize, gateway: &Handshake, part: &ShardPart) -> StoredPart {
    StoredPart {
        controller,
        key: part.key,
        claim: ClaimId {
            node: gateway.node,
            incarnation: gateway.incarnation,
            number: part.claim_number,
        },
        part: part.part.clone(),
    }
}
