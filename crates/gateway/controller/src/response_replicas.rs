//! Replicas of stored responses: messages of gateways to the thread that stores them, and its results to gateways. After
//! the end of a gateway, hands its responses over to as many other controllers as may be lost at once.

use crate::controller::Controller;
use crate::response_commands::{PartToRead, PartToStore, ResponseStorageEvent};
use rushcourse_messages::{Message, Role};
use rushcourse_storage::{GatewayRun, PartOrigin, StoredPart};
use rushcourse_types::hash::hash64;
use rushcourse_types::{NodeId, ReplicaSequence, ResponseStoreId, SessionId};
use std::collections::BTreeMap;

/// Seed of the hashes that determine which controllers get a handover.
const HANDOVER_SEED: u64 = 19;

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
                ResponseStorageEvent::Stored(receipt) => {
                    let sequences = stored.entry(receipt.session).or_default();
                    sequences.push(receipt.sequence);
                }
                ResponseStorageEvent::HandOver(parts) => self.send_handover(parts),
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

    /// Hands over the responses of the gateways that have ended.
    pub(crate) fn hand_over_responses(&mut self) {
        let sessions = &self.sessions;
        let is_connected = |run: GatewayRun| {
            let mut open = sessions.iter().map(|session| &session.peer);
            open.any(|peer| (peer.node, peer.incarnation) == (run.node, run.incarnation))
        };
        let ended = self
            .ended_gateways
            .take_ended(self.clock.now(), is_connected);
        for run in ended {
            self.responses.hand_over(run);
        }
    }

    /// Records the end of a session with a gateway.
    pub(crate) fn gateway_session_closed(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        if session.peer.role == Role::Gateway {
            let run = GatewayRun {
                node: session.peer.node,
                incarnation: session.peer.incarnation,
            };
            self.ended_gateways.session_closed(self.clock.now(), run);
        }
    }

    fn send_handover(&self, parts: Vec<StoredPart>) {
        for stored in parts {
            let PartOrigin::Controller { remaining } = stored.origin else {
                continue;
            };
            let message = Message::ResponseHandover {
                key: stored.key,
                claim: stored.claim,
                remaining: remaining.into(),
                part: stored.part,
            };
            for controller in self.handover_targets(stored.claim.node) {
                self.sessions.send_to_controller(controller, &message);
            }
        }
    }

    /// As many other controllers as may be lost at once, those of this zone first. A hash spreads the gateways.
    fn handover_targets(&self, gateway: NodeId) -> Vec<NodeId> {
        let own_zone = &self.sessions.context().local_handshake().zone;
        let mut targets: Vec<(bool, u64, NodeId)> = self
            .sessions
            .connected_controllers()
            .map(|session| {
                let nodes = [session.peer.node.0, gateway.0].map(u32::to_be_bytes);
                let order = hash64(&nodes.concat(), HANDOVER_SEED);
                (session.peer.zone != *own_zone, order, session.peer.node)
            })
            .collect();
        targets.sort_unstable();
        targets.truncate(self.setup.tolerated_losses);
        targets.into_iter().map(|(.., node)| node).collect()
    }

    fn response_store_opened(&mut self, store: ResponseStoreId) {
        self.responses.store = Some(store);
        self.sessions
            .send_to_gateways(&Message::ResponseStoreOpened { store });
    }
}
