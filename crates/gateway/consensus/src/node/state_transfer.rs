//! State transfer to this replica: as a member that lacks state, as one that recovers after its start, or as a standby
//! that was invited.

use super::ConsensusNode;
use crate::context::PendingWrite;
use crate::durable_state::WriteOperation;
use crate::paxos::peer_reports::{PeerReport, ReplicaStatus};
use crate::snapshot::SnapshotSource;
use rushcourse_types::NodeId;

impl ConsensusNode {
    /// Requests snapshots if this replica needs them and a request is due.
    pub(super) fn request_snapshots(&mut self) {
        let now = self.context.now;
        let (membership, reports) = (&mut self.paxos.membership, &self.paxos.reports);
        if membership.is_recovering() {
            let voting_set = membership.voting_set().clone();
            membership
                .update_needed_for_majority(|member| reports.is_voter(now, &voting_set, member));
        }
        let members = membership.snapshot_sources(now);
        let sources: Vec<SnapshotSource> = members
            .into_iter()
            .filter_map(|member| self.snapshot_source(member))
            .collect();
        if sources.is_empty() {
            return;
        }
        let membership = &mut self.paxos.membership;
        membership.snapshots_requested(now);
        let epoch = membership.voting_set().epoch;
        self.snapshots.request(&mut self.context, epoch, sources);
    }

    /// Describes a member as a snapshot source. A recovering replica asks only members that have reported that they
    /// vote, and starts from their recovery points.
    fn snapshot_source(&self, voter: NodeId) -> Option<SnapshotSource> {
        let (membership, reports) = (&self.paxos.membership, &self.paxos.reports);
        if !membership.is_recovering() {
            return Some(SnapshotSource { voter, from: None });
        }
        let report = reports.voter_report(self.context.now, membership.voting_set(), voter)?;
        let from = report.recovery_point().map(|point| point.cursor);
        Some(SnapshotSource { voter, from })
    }

    /// Processes a voter's report of its own disk's generation and of its recovery point for this replica.
    pub(super) fn learn_generations(&mut self, peer: NodeId, status: &ReplicaStatus) {
        let (context, paxos) = (&mut self.context, &mut self.paxos);
        if !status.is_voter || !paxos.membership.voting_set().contains(peer) {
            return;
        }
        let recovery_points = &mut paxos.recovery_points;
        recovery_points.voter_reported(peer, status.echoed, status.generation);
        let Some(point) = status.recovery_point else {
            return;
        };
        let membership = &mut paxos.membership;
        if membership.generation_reported(context, peer, point.generation) {
            paxos.acceptor.stop_voting();
        }
    }

    /// Starts voting after a restart, once all members that could reveal a gap in the disk have answered.
    pub(super) fn finish_recovery(&mut self) {
        let (membership, reports) = (&mut self.paxos.membership, &self.paxos.reports);
        let was_non_voter = |member: NodeId| {
            let report = reports.get(member);
            report.is_some_and(PeerReport::was_non_voter)
        };
        if !membership.has_recovery_answers(self.context.now, was_non_voter) {
            return;
        }
        membership.mark_installing();
        let epoch = membership.voting_set().epoch;
        let mut operations = self.paxos.acceptor.start_voting();
        operations.push(WriteOperation::MarkStateComplete);
        let pending = PendingWrite::Snapshot {
            keys: Vec::new(),
            completed_epoch: Some(epoch),
        };
        self.context.write(operations, pending);
    }
}
