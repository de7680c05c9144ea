//! The node: dispatches inputs to the modules, and completes everything that follows from them within the same step.
//!
//! * `peer_messages.rs`: messages from other controllers.
//! * `writes.rs`: batches that the disk has synced or refused.
//! * `voting_set_changes.rs`: proposes and adopts the next voting set.
//! * `state_transfer.rs`: requests snapshots and ends recovery.

mod peer_messages;
mod state_transfer;
mod voting_set_changes;
mod writes;

use crate::claims::{ClaimRegistry, HeldClaim};
use crate::configuration::ConfigurationReplica;
use crate::context::Context;
use crate::durable_state::DurableState;
use crate::duty::DutyReplica;
use crate::effect::{CommittedConfiguration, Effect};
use crate::input::Input;
use crate::membership::Membership;
use crate::paxos::Paxos;
use crate::paxos::acceptor::Acceptor;
use crate::paxos::peer_reports::PeerReports;
use crate::paxos::proposer::Proposer;
use crate::recovery_points::RecoveryPoints;
use crate::setup::ReplicaSetup;
use crate::snapshot::SnapshotTransfer;
use rushcourse_messages::{DutyState, VotingSet};
use rushcourse_types::{
    ConfigurationVersion, DutySequence, Generation, KeyDigest, NodeId, Timestamp, WallTime,
};
use std::sync::Arc;

/// State of a replica, as shown on its status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSummary {
    /// The voting set that the replica has adopted; epoch 0 before the first one.
    pub voting_set: VotingSet,
    /// Whether the replica has complete state for its voting set.
    pub has_complete_state: bool,
    /// Whether the replica is a member that has not verified yet that its disk is the newest one that it had.
    pub is_recovering: bool,
    /// Whether the replica votes in its voting set.
    pub is_voter: bool,
    /// Generation of the disk; increases with the writes that the replica acts upon.
    pub generation: Generation,
    /// Whether the disk accepts writes.
    pub is_disk_usable: bool,
    /// Highest configuration version that the replica has accepted or committed.
    pub highest_accepted: ConfigurationVersion,
    /// Highest configuration version that the replica knows to be committed.
    pub committed: ConfigurationVersion,
    /// Number of claims of operation keys that the replica stores.
    pub claim_count: usize,
    /// Controllers that the replica has sessions with, in ascending order.
    pub peers: Vec<NodeId>,
}

/// A replica of the voting set, the configuration, the usage duty and the claims.
#[derive(Clone, Debug)]
pub struct ConsensusNode {
    context: Context,
    paxos: Paxos,
    configuration: ConfigurationReplica,
    duty: DutyReplica,
    claims: ClaimRegistry,
    snapshots: SnapshotTransfer,
    is_started: bool,
}

impl ConsensusNode {
    /// Creates a replica from the contents of its state file.
    pub fn new(setup: ReplicaSetup, durable: DurableState) -> ConsensusNode {
        let DurableState {
            voting_set,
            has_complete_state,
            generation,
            records,
            claims,
            hosts: _,
        } = durable;
        ConsensusNode {
            context: Context::new(setup.node, generation),
            snapshots: SnapshotTransfer::new(setup.incarnation),
            claims: ClaimRegistry::new(setup.key_window, claims),
            paxos: Paxos {
                proposer: Proposer::new(setup.incarnation),
                recovery_points: RecoveryPoints::new(setup.incarnation),
                membership: Membership::new(setup, voting_set, has_complete_state, generation),
                acceptor: Acceptor::new(records),
                reports: PeerReports::default(),
                committed_duty: DutySequence::NONE,
            },
            configuration: ConfigurationReplica::default(),
            duty: DutyReplica::default(),
            is_started: false,
        }
    }

    /// Handles one input and returns the resulting effects. `now` is the monotonic clock and must not go back.
    /// `wall_time` is only displayed.
    pub fn step(&mut self, now: Timestamp, wall_time: WallTime, input: Input) -> Vec<Effect> {
        self.context.now = now;
        self.context.wall_time = wall_time;
        if !self.is_started {
            self.is_started = true;
            self.claims.start(now);
        }
        self.handle_input(input);
        while let Some(message) = self.context.next_loopback() {
            self.handle_message(self.context.node, message);
        }
        self.adopt_chosen_voting_set();
        self.configuration
            .update(&mut self.context, &mut self.paxos);
        if self.duty.update(&mut self.context, &mut self.paxos) {
            self.configuration
                .report_to_all(&mut self.context, &self.paxos);
        }
        self.context.take_effects()
    }

    fn handle_input(&mut self, input: Input) {
        let context = &mut self.context;
        match input {
            Input::PeerConnected { peer, zone } => self.peer_connected(peer, zone),
            Input::PeerDisconnected(peer) => self.peer_disconnected(peer),
            Input::MessageReceived { from, message } => self.handle_message(from, message),
            Input::BatchSynced(batch) => self.batch_synced(batch),
            Input::BatchRefused(batch) => self.batch_refused(batch),
            Input::PutConfiguration {
                ticket,
                version,
                text,
            } => {
                let configuration = &mut self.configuration;
                configuration.put(context, &mut self.paxos, ticket, version, text);
            }
            Input::GetConfiguration { ticket } => {
                self.configuration.get(context, &self.paxos, ticket);
            }
            Input::Claim(request) => {
                let is_voter = self.paxos.membership.voting_epoch() == Some(request.epoch)
                    && context.is_disk_usable();
                self.claims.claim(context, is_voter, request);
            }
            Input::WithdrawClaim { key, claim } => self.claims.withdraw(context, key, claim),
            Input::ProposeDuty(next) => self.duty.propose(context, &mut self.paxos, &next),
            Input::ShutDown => self.paxos.membership.shut_down(context),
            Input::Tick => self.tick(),
        }
    }

    fn peer_connected(&mut self, peer: NodeId, zone: Arc<str>) {
        let context = &mut self.context;
        self.paxos.membership.peer_connected(context, peer, zone);
        self.configuration.report_to(context, peer, &self.paxos);
    }

    fn peer_disconnected(&mut self, peer: NodeId) {
        let now = self.context.now;
        self.paxos.membership.peer_disconnected(now, peer);
        self.paxos.reports.remove(peer);
        self.configuration.peer_disconnected(peer);
        self.duty.peer_disconnected(peer);
        self.snapshots.peer_disconnected(peer);
    }

    fn tick(&mut self) {
        self.context.probe_disk();
        self.paxos.membership.tick(&mut self.context);
        self.propose_due_change();
        let position = self.claims.position();
        let recovery_points = &mut self.paxos.recovery_points;
        recovery_points.record_position(self.context.now, position);
        self.request_snapshots();
        self.finish_recovery();
        let Paxos {
            membership,
            proposer,
            ..
        } = &mut self.paxos;
        proposer.tick(&mut self.context, membership);
        self.configuration.tick(&mut self.context, &mut self.paxos);
        self.duty.tick(&mut self.context, &mut self.paxos);
        self.claims.tick(&mut self.context);
    }

    /// The highest configuration that this replica knows to be committed.
    pub fn committed_configuration(&self) -> Option<CommittedConfiguration> {
        self.configuration.committed(&self.paxos.acceptor)
    }

    /// The newest state of the usage duty that this replica knows to be chosen; `None` before the first one.
    pub fn duty(&self) -> Option<&DutyState> {
        self.duty.state()
    }

    /// The voting set that this replica has adopted; epoch 0 before the first one.
    pub fn voting_set(&self) -> &VotingSet {
        self.paxos.membership.voting_set()
    }

    /// Whether this replica can reach a majority of the voting set, itself included.
    pub fn has_quorum_contact(&self) -> bool {
        self.paxos.membership.has_quorum_contact()
    }

    /// Whether a connected controller has announced that its process is shutting down.
    pub fn is_shutting_down(&self, peer: NodeId) -> bool {
        self.paxos.membership.is_peer_shutting_down(peer)
    }

    /// Whether the process may exit after [`Input::ShutDown`]: a standby has replaced this replica, or none is
    /// connected.
    pub fn may_shut_down(&self) -> bool {
        self.paxos.membership.may_shut_down()
    }

    /// The claim that holds an operation key at this replica, durable or not.
    pub fn claim_holder(&self, key: KeyDigest) -> Option<HeldClaim> {
        self.claims.holder(key)
    }

    /// Snapshot of this replica's state for its status page.
    pub fn summary(&self) -> ReplicaSummary {
        let membership = &self.paxos.membership;
        ReplicaSummary {
            voting_set: membership.voting_set().clone(),
            has_complete_state: membership.has_complete_state(),
            is_recovering: membership.is_recovering(),
            is_voter: membership.is_voter(),
            generation: self.context.durable_generation(),
            is_disk_usable: self.context.is_disk_usable(),
            highest_accepted: self.configuration.highest_accepted(&self.paxos.acceptor),
            committed: self.configuration.committed_version(),
            claim_count: self.claims.len(),
            peers: membership.connected_peers(),
        }
    }
}
