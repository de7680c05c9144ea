//! Shards of stored responses: passes those that gateways send to the thread that stores them, and its results to gateways.

use crate::controller::Controller;
use crate::response_commands::{PartsToStore, ResponseStorageEvent, StorageReceipt};
use rushcourse_messages::{Message, ShardPart};
use rushcourse_storage::StoredPart;
use rushcourse_types::{ClaimId, ReplicaSequence, ResponseStoreId, SessionId};
use std::collections::BTreeMap;

impl Controller {
    /// Tells a gateway that this controller stores shards of responses, once it does.
    pub(crate) fn announce_response_store(&self, session: SessionId) {
        if let Some(store) = self.responses.store {
            self.sessions
                .send(session, &Message::ResponseStoreOpened { store });
        }
    }

    /// Stores parts of shards, under claims of the gateway that sent them.
    pub(crate) fn store_shards(
        &self,
        session: SessionId,
        sequence: ReplicaSequence,
        parts: Vec<ShardPart>,
    ) {
        let Some(gateway) = self.sessions.get(session).map(|session| &session.peer) else {
            return;
        };
        let stored = parts.into_iter().map(|part| StoredPart {
            key: part.key,
            claim: ClaimId {
                node: gateway.node,
                incarnation: gateway.incarnation,
                number: part.claim_number,
            },
            part: part.part,
        });
        self.responses.store_parts(PartsToStore {
            receipt: StorageReceipt { session, sequence },
            parts: stored.collect(),
        });
    }

    pub(crate) fn handle_response_storage(&mut self, events: Vec<ResponseStorageEvent>) {
        let mut stored: BTreeMap<SessionId, Vec<ReplicaSequence>> = BTreeMap::new();
        for event in events {
            match event {
                ResponseStorageEvent::Opened(store) => self.response_store_opened(store),
                ResponseStorageEvent::Stored(receipt) => {
                    let sequences = stored.entry(receipt.session).or_default();
                    sequences.push(receipt.sequence);
                }
                ResponseStorageEvent::Read {
                    session,
                    token,
                    state,
                } => {
                    let reply = Message::OperationReply { token, state };
                    self.sessions.send(session, &reply);
                }
            }
        }
        for (session, sequences) in stored {
            let message = Message::ResponseShardsStored { sequences };
            self.sessions.send(session, &message);
        }
    }

    fn response_store_opened(&mut self, store: ResponseStoreId) {
        self.responses.store = Some(store);
        self.sessions
            .send_to_gateways(&Message::ResponseStoreOpened { store });
    }
}
