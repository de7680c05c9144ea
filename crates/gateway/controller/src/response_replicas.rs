//! Replicas of stored responses: messages of gateways to the thread that stores them, and its results to gateways.

use crate::controller::Controller;
use crate::response_storage::{PartToRead, PartToStore, ResponseStorageEvent};
use rushcourse_messages::Message;
use rushcourse_types::{ReplicaSequence, ResponseStoreId, SessionId};
use std::collections::BTreeMap;

impl Controller {
    /// Tells a gateway that this controller stores responses, once it does.
    pub(crate) fn announce_response_store(&self, session: SessionId) {
        if let Some(store) = self.responses.store {
            self.sessions
                .send(session, &Message::ResponseStoreOpened { store });
        }
    }

    pub(crate) fn store_response_part(&self, part: PartToStore) {
        self.responses.store_part(part);
    }

    pub(crate) fn read_response_part(&self, part: PartToRead) {
        self.responses.read_part(part);
    }

    pub(crate) fn handle_response_storage(&mut self, events: Vec<ResponseStorageEvent>) {
        let mut stored: BTreeMap<SessionId, Vec<ReplicaSequence>> = BTreeMap::new();
        for event in events {
            match event {
                ResponseStorageEvent::Opened(store) => self.response_store_opened(store),
                ResponseStorageEvent::Stored { session, sequence } => {
                    stored.entry(session).or_default().push(sequence);
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
            let message = Message::ResponseReplicasStored { sequences };
            self.sessions.send(session, &message);
        }
    }

    fn response_store_opened(&mut self, store: ResponseStoreId) {
        self.responses.store = Some(store);
        self.sessions
            .send_to_gateways(&Message::ResponseStoreOpened { store });
    }
}
