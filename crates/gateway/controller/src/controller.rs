//! All state of a controller, and the two pure state machines that decide: every input of theirs goes through here, and
//! so does what they want done.

use crate::contact_state::ContactState;
use crate::peer_sessions::PeerSessions;
use crate::pending_requests::PendingRequests;
use crate::shutdown::Shutdown;
use crate::storage_thread::Storage;
use rushcourse_cluster::{self as cluster, Cluster};
use rushcourse_consensus::{self as consensus, ClaimAnswer, ConsensusNode, ReplicaSetup, WriteOperation};
use rushcourse_messages::Message;
use rushcourse_transport::Clock;
use rushcourse_types::SessionId;
use std::collections::BTreeSet;

/// A controller. The event loop is its only caller, so that it changes by one input at a time.
pub(crate) struct Controller {
    pub(crate) clock: Clock,
    pub(crate) storage: Storage,
    /// What the consensus started from.
    pub(crate) setup: ReplicaSetup,
    /// What a majority of disks holds: voting set, configuration, claims.
    pub(crate) consensus: ConsensusNode,
    /// What controllers tell each other of hosts and gateways, and the tables that come of it.
    pub(crate) cluster: Cluster,
    pub(crate) sessions: PeerSessions,
    pub(crate) contact: ContactState,
    pub(crate) pending_requests: PendingRequests,
    /// Sessions of gateways that were not told yet which configuration is committed.
    pub(crate) unnotified_sessions: BTreeSet<SessionId>,
    pub(crate) shutdown: Shutdown,
}

impl Controller {
    /// One input of the consensus, and what comes of it.
    pub(crate) fn step_consensus(&mut self, input: consensus::Input) {
        let (now, wall_time) = (self.clock.now(), self.clock.wall_time());
        let effects = self.consensus.step(now, wall_time, input);
        for effect in effects {
            self.apply_consensus_effect(effect);
        }
    }

    fn apply_consensus_effect(&mut self, effect: consensus::Effect) {
        match effect {
            consensus::Effect::Write(batch) => self.storage.write(batch),
            consensus::Effect::Send { to, message } => {
                self.sessions.send_to_controller(to, &message);
            }
            consensus::Effect::AnswerClaim(answer) => self.answer_claim(answer),
            consensus::Effect::AnswerCall { ticket, outcome } => {
                self.pending_requests.respond(ticket, outcome);
            }
            consensus::Effect::ConfigurationCommitted(committed) => {
                self.announce_configuration(committed);
            }
            consensus::Effect::VotingSetAdopted(voting_set) => {
                let message = Message::VotingSet(voting_set);
                self.sessions.send_to_gateways(&message);
            }
            consensus::Effect::Log(line) => log::info!("{line}"),
        }
    }

    fn answer_claim(&self, answer: ClaimAnswer) {
        let response = Message::ClaimResponse {
            epoch: answer.epoch,
            key: answer.key,
            claim: answer.claim,
            verdict: answer.verdict,
        };
        self.sessions.send(answer.session, &response);
    }

    /// One input of the cluster, and what comes of it.
    pub(crate) fn step_cluster(&mut self, input: cluster::Input) {
        let now = self.clock.now();
        for effect in self.cluster.step(now, input) {
            self.apply_cluster_effect(effect);
        }
    }

    fn apply_cluster_effect(&self, effect: cluster::Effect) {
        match effect {
            cluster::Effect::SendToPeer { peer, message } => {
                self.sessions.send_to_controller(peer, &message);
            }
            cluster::Effect::BroadcastToPeers(message) => {
                self.sessions.send_to_controllers(&message);
            }
            cluster::Effect::SendToGateway { session, message } => {
                self.sessions.send(session, &message);
            }
            cluster::Effect::BroadcastToGateways(message) => {
                self.sessions.send_to_gateways(&message);
            }
            cluster::Effect::PersistHost(record) => {
                self.storage
                    .write_untracked(WriteOperation::StoreHost(record));
            }
            cluster::Effect::Log(line) => log::info!("{line}"),
        }
    }

    /// The process is to end: a standby may take its place among the voters first.
    pub(crate) fn begin_shutdown(&mut self) {
        if self.shutdown.begin(self.clock.now()) {
            self.step_consensus(consensus::Input::ShutDown);
        }
    }

    /// Whether the process is to end now: its place is taken, or no standby could take it, or its time is over.
    pub(crate) fn may_stop(&self) -> bool {
        self.shutdown.has_begun()
            && (self.consensus.may_shut_down() || self.shutdown.is_due(self.clock.now()))
    }
}
