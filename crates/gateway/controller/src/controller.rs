//! The state of a controller and its two state machines, consensus and cluster. Every input to a state machine passes
//! through this module, which also applies the resulting effects.

use crate::contact_state::ContactState;
use crate::host_writes::HostWrites;
use crate::peer_sessions::PeerSessions;
use crate::pending_requests::PendingRequests;
use crate::response_storage::ResponseStorage;
use crate::shutdown::Shutdown;
use crate::storage_thread::Storage;
use crate::usage_state::UsageReports;
use rushcourse_cluster::{self as cluster, Cluster, ConfigurationConfirmations};
use rushcourse_consensus::{
    self as consensus, ClaimAnswer, ConsensusNode, ReplicaSetup, WriteOperation,
};
use rushcourse_messages::Message;
use rushcourse_transport::Clock;
use rushcourse_types::SessionId;
use std::collections::BTreeSet;

/// The state of a controller. Owned by the event loop, which handles one event at a time.
pub(crate) struct Controller {
    pub(crate) clock: Clock,
    pub(crate) storage: Storage,
    /// Shards of responses that gateways have stored here.
    pub(crate) responses: ResponseStorage,
    /// The parameters of the consensus node; reused when it restarts after a deferred open of the state file.
    pub(crate) setup: ReplicaSetup,
    /// Replicated durable state: voting set, configuration and claims.
    pub(crate) consensus: ConsensusNode,
    /// Membership of hosts and gateways, and the endpoint tables sent to gateways.
    pub(crate) cluster: Cluster,
    pub(crate) sessions: PeerSessions,
    pub(crate) contact: ContactState,
    pub(crate) pending_requests: PendingRequests,
    /// Writes of leaving hosts.
    pub(crate) host_writes: HostWrites,
    /// Confirmations of the configuration for leases of gateways; `None` if revocation is unbounded.
    pub(crate) confirmations: Option<ConfigurationConfirmations>,
    /// Gateway sessions to which the committed version has not been sent yet.
    pub(crate) unnotified_sessions: BTreeSet<SessionId>,
    pub(crate) shutdown: Shutdown,
    /// The duty of reporting usage; `None` if the settings ask for no reports.
    pub(crate) usage_reports: Option<UsageReports>,
}

impl Controller {
    /// Feeds one input to the consensus node and applies the resulting effects.
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
                if !self.finish_confirmation(ticket, &outcome) {
                    self.pending_requests.respond(ticket, outcome);
                }
            }
            consensus::Effect::ConfigurationCommitted(committed) => {
                self.announce_configuration(committed);
            }
            consensus::Effect::VotingSetAdopted(voting_set) => {
                let message = Message::VotingSet(voting_set);
                self.sessions.send_to_gateways(&message);
            }
            consensus::Effect::DutyCommitted(duty) => self.usage_duty_committed(duty),
            consensus::Effect::Log(line) => log::info!("{line}"),
        }
    }

    fn answer_claim(&self, answer: ClaimAnswer) {
        let response = Message::ClaimResponse {
            epoch: answer.epoch,
            claim_number: answer.claim.number,
            verdict: answer.verdict,
        };
        self.sessions.send(answer.session, &response);
    }

    /// Feeds one input to the cluster state machine and applies the resulting effects.
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
            cluster::Effect::RemoveStoredHost(id) => {
                self.storage.write_untracked(WriteOperation::RemoveHost(id));
            }
            cluster::Effect::Log(line) => log::info!("{line}"),
        }
    }

    /// Begins a graceful shutdown, during which a standby may replace this controller in the voting set. Repeated calls
    /// have no effect.
    pub(crate) fn begin_shutdown(&mut self) {
        if self.shutdown.begin(self.clock.now()) {
            self.step_consensus(consensus::Input::ShutDown);
        }
    }

    /// Whether the process may exit: shutdown has begun, and it was replaced in the voting set and as the holder of the
    /// usage duty, has no possible replacement, or its deadline has passed.
    pub(crate) fn may_stop(&self) -> bool {
        let is_replaced = self.consensus.may_shut_down() && !self.has_duty_to_hand_over();
        self.shutdown.has_begun() && (is_replaced || self.shutdown.is_due(self.clock.now()))
    }
}
