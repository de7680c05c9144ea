//! Replicas of stored responses: results of the thread that stores them, for gateways and other controllers. After the end of a gateway, hands its responses over to as many other controllers as may be lost at once.

use crate::controller::Controller;
use crate::response_commands::ResponseStorageEvent;
use rushcourse_messages::{Message, Role};
use rushcourse_storage::{GatewayRun, PartOrigin, StoredPart};
use rushcourse_transport::Session;
use rushcourse_types::{NodeId, Preference, ReplicaSequence, ResponseStoreId, SessionId};
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
        let mut targets: Vec<(Preference, NodeId)> = self
            .sessions
            .connected_controllers()
            .map(|Session { peer, .. }| {
                let is_in_own_zone = peer.zone == *own_zone;
                let preference = Preference::new(is_in_own_zone, peer.node, gateway, HANDOVER_SEED);
                (preference, peer.node)
            })
            .collect();
        targets.sort_unstable();
        targets.truncate(self.setup.tolerated_losses);
        targets.into_iter().map(|(_, node)| node).collect()
    }

    fn response_store_opened(&mut self, store: ResponseStoreId) {
        self.responses.store = Some(store);
        self.sessions
            .send_to_gateways(&Message::ResponseStoreOpened { store });
    }
}
