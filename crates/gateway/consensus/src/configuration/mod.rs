//! The configuration: the highest version that was chosen holds.
//!
//! Each version is a slot, and its text is chosen by ballots: so however operators race, and whatever is lost, one text
//! at most is committed under a version, and the slot is decided once a majority is connected. A replica learns that a
//! version is committed from what the voters report of their disks; nothing that could still be lost is ever served.
//! Replicas that lag get the newest version only.
//!
//! * `operator_calls.rs`: operators' calls that wait for a majority.
//! * `lagging_peers.rs`: sends the committed version to replicas that lack it.

mod lagging_peers;
mod operator_calls;

use crate::context::Context;
use crate::durable_state::PruneBounds;
use crate::effect::{CommittedConfiguration, Effect};
use crate::log_event::LogEvent;
use crate::paxos::Paxos;
use crate::paxos::acceptor::Acceptor;
use crate::paxos::peer_reports::ReplicaStatus;
use crate::paxos::proposer::ProposalRequest;
use lagging_peers::LaggingPeers;
use operator_calls::OperatorCalls;
use rushcourse_messages::{Ballot, Proposal, Slot};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId, RequestToken, Ticket, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Between two reports of what is held, when nothing changed. Two of them are shorter than
/// `peer_reports::REPORT_TIMEOUT`, as a report is echoed up to this time after it was read.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// For how long an accepted version may stay open before a voter proposes it again, and what each rank adds: its
/// proposer may be gone.
const COMPLETION_DELAY: Duration = Duration::from_millis(400);
const COMPLETION_DELAY_PER_RANK: Duration = Duration::from_millis(150);
/// For how long a voter tries to get such a version chosen before it looks again.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A version that is accepted here and not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenVersion {
    version: ConfigurationVersion,
    ballot: Ballot,
    since: Timestamp,
}

/// This replica's part in the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationReplica {
    committed: ConfigurationVersion,
    calls: OperatorCalls,
    reported_at: Timestamp,
    open: Option<OpenVersion>,
    lagging: LaggingPeers,
}

impl ConfigurationReplica {
    /// The version that this replica knows to be committed.
    pub fn committed_version(&self) -> ConfigurationVersion {
        self.committed
    }

    /// The configuration that this replica knows to be committed.
    pub fn committed(&self, acceptor: &Acceptor) -> Option<CommittedConfiguration> {
        acceptor.committed_configuration(self.committed)
    }

    /// The highest version that is accepted here or committed.
    pub fn highest_accepted(&self, acceptor: &Acceptor) -> ConfigurationVersion {
        acceptor.highest_version(self.committed)
    }

    /// The session with a peer broke.
    pub fn peer_disconnected(&mut self, peer: NodeId) {
        self.lagging.forget(peer);
    }

    /// Reports to one replica what this one holds.
    pub fn report_to(&self, context: &mut Context, peer: NodeId, paxos: &Paxos) {
        let status = ReplicaStatus {
            // Zero stands for no report.
            sent_at: context.now.max(Timestamp::from_millis(1)),
            echoed: paxos.reports.last_sent_at(peer),
            epoch: paxos.membership.voting_set().epoch,
            is_voter: paxos.membership.is_voter(),
            is_disk_usable: context.is_disk_usable(),
            generation: context.durable_generation(),
            recovery_point: paxos.recovery_point_for(peer),
            committed: self.committed,
            votes: paxos.acceptor.durable_votes(),
        };
        context.send(peer, status.into());
    }

    /// Reports to all replicas what this one holds.
    pub fn report_to_all(&mut self, context: &mut Context, paxos: &Paxos) {
        self.reported_at = context.now;
        for peer in paxos.membership.connected_peers() {
            self.report_to(context, peer, paxos);
        }
    }

    /// An operator's new configuration.
    pub fn put(
        &mut self,
        context: &mut Context,
        paxos: &mut Paxos,
        ticket: Ticket,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
    ) {
        self.calls
            .put(context, paxos, ticket, version, text, self.committed);
    }

    /// An operator asks for the committed configuration.
    pub fn get(&mut self, context: &mut Context, paxos: &Paxos, ticket: Ticket) {
        self.calls.get(context, paxos, ticket, self.committed);
    }

    /// A replica's answer to a read.
    pub fn read_response(
        &mut self,
        from: NodeId,
        token: RequestToken,
        is_voter: bool,
        highest_accepted: ConfigurationVersion,
    ) {
        self.calls
            .read_response(from, token, is_voter, highest_accepted);
    }

    /// Commits what is chosen, and answers calls whose outcome is known.
    pub fn update(&mut self, context: &mut Context, paxos: &mut Paxos) {
        self.commit_chosen(context, paxos);
        self.calls.answer_ended(context, paxos, self.committed);
    }

    fn commit_chosen(&mut self, context: &mut Context, paxos: &mut Paxos) {
        let is_chosen = |(version, proposal): &(ConfigurationVersion, &Proposal)| {
            let slot = Slot::Configuration(*version);
            paxos.is_chosen(context.now, slot, proposal.ballot)
        };
        let mut above = paxos.acceptor.configurations_above(self.committed);
        let Some((version, proposal)) = above.find(is_chosen) else {
            return;
        };
        let text = proposal.value.clone();
        drop(above);
        self.committed = version;
        self.open = None;
        paxos.proposer.configuration_committed(version);
        let decided = PruneBounds {
            versions_below: version,
            epochs_through: Epoch::NONE,
        };
        paxos.acceptor.prune(context, decided);
        context.log(LogEvent::ConfigurationCommitted {
            version,
            epoch: paxos.membership.voting_set().epoch,
        });
        context.push(Effect::ConfigurationCommitted(CommittedConfiguration {
            version,
            text,
        }));
        self.report_to_all(context, paxos);
    }

    /// Another voting set is adopted.
    pub fn voting_set_changed(&mut self, context: &mut Context, paxos: &mut Paxos) {
        self.calls
            .voting_set_changed(context, paxos, self.committed);
        self.report_to_all(context, paxos);
    }

    /// Does what is due.
    pub fn tick(&mut self, context: &mut Context, paxos: &mut Paxos) {
        if context.is_disk_usable() {
            paxos.acceptor.retry_writes(context);
        }
        if context.now >= self.reported_at + REPORT_INTERVAL {
            self.report_to_all(context, paxos);
        }
        self.complete_open_version(context, paxos);
        self.lagging.push(context, paxos, self.committed);
    }

    /// Proposes the highest accepted version again if it has not been committed in time.
    fn complete_open_version(&mut self, context: &mut Context, paxos: &mut Paxos) {
        let highest = paxos.acceptor.configurations_above(self.committed).next();
        let Some((version, proposal)) = highest else {
            self.open = None;
            return;
        };
        let ballot = proposal.ballot;
        let value = proposal.value.clone();
        let is_same = |open: &OpenVersion| (open.version, open.ballot) == (version, ballot);
        let open = self.open.filter(is_same).unwrap_or(OpenVersion {
            version,
            ballot,
            since: context.now,
        });
        self.open = Some(open);
        let membership = &paxos.membership;
        let delay = COMPLETION_DELAY + COMPLETION_DELAY_PER_RANK * membership.rank();
        let may_propose = membership.is_voter() && membership.has_quorum_contact();
        if may_propose && context.now >= open.since + delay {
            let request = ProposalRequest {
                slot: Slot::Configuration(version),
                value,
                removed: None,
                expires_at: context.now + COMPLETION_TIMEOUT,
            };
            paxos.propose(context, request);
        }
    }
}
