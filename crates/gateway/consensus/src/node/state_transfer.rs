//! Gets what a voter has to hold: as a member that lost it, as one that recovers after its start, or as a standby that
//! was invited.

use super::ConsensusNode;
use crate::context::PendingWrite;
use crate::durable_state::WriteOperation;
use crate::paxos::peer_reports::{PeerReport, ReplicaStatus};
use crate::snapshot::SnapshotSource;
use rushcourse_types::NodeId;

impl ConsensusNode {
    /// Requests snapshots where they are wanted.
    pub(super) fn request_snapshots(&mut self) {
        let now = self.context.now;
        let (membership, reports) = (&mut self.paxos.membership, &self.paxos.reports);
        if membership.is_recovering() {
            let voting_set = membership.voting_set().clone();
            membership.update_urgency(|member| reports.is_voter(now, &voting_set, member));
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

    /// A member as the source of a snapshot. One that recovers asks only those that have said that they vote, and from
    /// where they know that its disk may have a gap.
    fn snapshot_source(&self, voter: NodeId) -> Option<SnapshotSource> {
        let (membership, reports) = (&self.paxos.membership, &self.paxos.reports);
        if !membership.is_recovering() {
            return Some(SnapshotSource { voter, from: None });
        }
        let report = reports.voter_report(self.context.now, membership.voting_set(), voter)?;
        let from = report.recovery_point().map(|point| point.cursor);
        Some(SnapshotSource { voter, from })
    }

    /// What a voter reports of its own disk, and of this replica's.
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

    /// Votes again after a start, once all have answered that could tell what the disk lacks.
    pub(super) fn finish_recovery(&mut self) {
        let (membership, reports) = (&mut self.paxos.membership, &self.paxos.reports);
        let was_no_voter = |member: NodeId| {
            let report = reports.get(member);
            report.is_some_and(PeerReport::was_no_voter)
        };
        if !membership.is_recovery_answered(self.context.now, was_no_voter) {
            return;
        }
        membership.recovery_answered();
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
