//! The configuration: the highest committed version is in force.
//!
//! Each version is a slot whose text is chosen by ballots. So at most one text is committed under a version, even if
//! operators submit different texts at the same time and replicas fail; and the slot is decided once a majority is
//! connected. A replica learns that a version is committed from the votes that voters report as durable, so a
//! configuration that could still be lost is never served. Replicas that lag receive only the newest version.
//!
//! * `operator_calls.rs`: operators' calls that wait for a majority.

mod operator_calls;

use crate::context::Context;
use crate::durable_state::PruneBounds;
use crate::effect::{CommittedConfiguration, Effect};
use crate::log_event::LogEvent;
use crate::paxos::Paxos;
use crate::paxos::acceptor::Acceptor;
use crate::paxos::lagging_peers::LaggingPeers;
use crate::paxos::peer_reports::ReplicaStatus;
use crate::paxos::reproposal::Reproposal;
use operator_calls::OperatorCalls;
use rushcourse_messages::{Proposal, Slot};
use rushcourse_types::{ConfigurationVersion, NodeId, RequestToken, Ticket, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Interval between reports while nothing changes. Twice this interval has to be less than
/// `peer_reports::REPORT_TIMEOUT`, because a report is echoed up to one interval after its receipt.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// The committed configuration, pending operator calls, and reports to other replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationReplica {
    committed: ConfigurationVersion,
    operator_calls: OperatorCalls,
    reported_at: Timestamp,
    reproposal: Reproposal,
    lagging: LaggingPeers,
}

impl ConfigurationReplica {
    /// Highest version that this replica knows to be committed; `NONE` before the first one.
    pub fn committed_version(&self) -> ConfigurationVersion {
        self.committed
    }

    /// The configuration of the highest version that this replica knows to be committed.
    pub fn committed(&self, acceptor: &Acceptor) -> Option<CommittedConfiguration> {
        acceptor.committed_configuration(self.committed)
    }

    /// Highest version that is accepted or committed here.
    pub fn highest_accepted(&self, acceptor: &Acceptor) -> ConfigurationVersion {
        acceptor.highest_version(self.committed)
    }

    /// Handles the end of a session. Sending the committed version to the peer starts anew when it reconnects.
    pub fn peer_disconnected(&mut self, peer: NodeId) {
        self.lagging.remove(peer);
    }

    /// Sends one replica a report of this one's durable votes and committed version.
    pub fn report_to(&self, context: &mut Context, peer: NodeId, paxos: &Paxos) {
        let status = ReplicaStatus {
            // Zero is reserved for "no report received".
            sent_at: context.now.max(Timestamp::from_millis(1)),
            echoed: paxos.reports.last_sent_at(peer),
            epoch: paxos.membership.voting_set().epoch,
            is_voter: paxos.membership.is_voter(),
            is_disk_usable: context.is_disk_usable(),
            generation: context.durable_generation(),
            recovery_point: paxos.recovery_point_for(peer),
            committed: self.committed,
            duty: paxos.committed_duty,
            votes: paxos.acceptor.durable_votes(),
        };
        context.send(peer, status.into());
    }

    /// Sends a report to all connected replicas and restarts the report interval.
    pub fn report_to_all(&mut self, context: &mut Context, paxos: &Paxos) {
        self.reported_at = context.now;
        for peer in paxos.membership.connected_peers() {
            self.report_to(context, peer, paxos);
        }
    }

    /// Proposes an operator's new configuration. The call is answered with [`Effect::AnswerCall`].
    pub fn put(
        &mut self,
        context: &mut Context,
        paxos: &mut Paxos,
        ticket: Ticket,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
    ) {
        self.operator_calls
            .put(context, paxos, ticket, version, text, self.committed);
    }

    /// Starts a linearizable read of the committed configuration for an operator.
    pub fn get(&mut self, context: &mut Context, paxos: &Paxos, ticket: Ticket) {
        self.operator_calls
            .get(context, paxos, ticket, self.committed);
    }

    /// Counts a replica's response to a pending read.
    pub fn read_response(
        &mut self,
        from: NodeId,
        token: RequestToken,
        is_voter: bool,
        highest_accepted: ConfigurationVersion,
    ) {
        self.operator_calls
            .read_response(from, token, is_voter, highest_accepted);
    }

    /// Commits the highest chosen version, and answers calls whose outcome is known.
    pub fn update(&mut self, context: &mut Context, paxos: &mut Paxos) {
        self.commit_chosen(context, paxos);
        self.operator_calls
            .answer_finished(context, paxos, self.committed);
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
        self.reproposal.clear();
        paxos.proposer.slot_committed(Slot::Configuration(version));
        let bounds = PruneBounds {
            versions_below: version,
            ..PruneBounds::default()
        };
        paxos.acceptor.prune(context, bounds);
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

    /// Restarts pending calls in the new voting set and reports to all replicas.
    pub fn voting_set_changed(&mut self, context: &mut Context, paxos: &mut Paxos) {
        self.operator_calls
            .voting_set_changed(context, paxos, self.committed);
        self.report_to_all(context, paxos);
    }

    /// Performs periodic work: write retries, reports, and transfer of versions that others lack.
    pub fn tick(&mut self, context: &mut Context, paxos: &mut Paxos) {
        if context.is_disk_usable() {
            paxos.acceptor.retry_writes(context);
        }
        if context.now >= self.reported_at + REPORT_INTERVAL {
            self.report_to_all(context, paxos);
        }
        let newest = newest_undecided(paxos, self.committed);
        self.reproposal.tick(context, paxos, newest);
        if !self.committed.is_none() {
            let slot = Slot::Configuration(self.committed);
            self.lagging.push(context, paxos, slot);
        }
    }
}

fn newest_undecided(paxos: &Paxos, committed: ConfigurationVersion) -> Option<(Slot, Proposal)> {
    let mut above = paxos.acceptor.configurations_above(committed);
    let (version, proposal) = above.next()?;
    Some((Slot::Configuration(version), proposal.clone()))
}
