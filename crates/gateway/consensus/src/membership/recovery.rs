//! Recovery: how a member that starts verifies that its disk still has complete state.
//!
//! The disk may hold an older copy from the same voting set, because it was restored by hand or because the machine
//! lost its last writes. A replica whose copy lacks a promise, a vote or a claim must not vote, and nothing in the copy
//! reveals the gap. So a member that starts with its disk *recovers*: it casts no vote until
//! `VotingSet::snapshot_quorum` other voters have sent it all claims that they received since they last learned of the
//! generation of its disk (`recovery_points.rs`). That amounts to the claims of a few seconds. If a voter knows of a
//! higher generation than the one on disk, the disk is an older copy: this replica then lacks state and receives full
//! snapshots.
//!
//! **Why this is sufficient.** A claim that was won with a grant of this replica was also granted by `majority - 1`
//! others, and at least one of them is among the senders. Either the generation of the disk covers that grant, or the
//! sender's recovery point precedes the claim. Promises and votes are included completely in every snapshot.
//!
//! Grants, promises and votes that were in flight when the process ended must have taken effect or expired before the
//! snapshots are made, so a recovering member waits as long as one that lost its disk. It neither waits nor needs a
//! quorum of senders if the others can't form a majority without it (`is_needed_for_majority`): in that case more
//! replicas are starting than may be lost at once. It then proceeds once all connected members have answered, either
//! with a snapshot or with a report that they don't vote, and either a majority doesn't vote or no further session was
//! established for some time. After a loss of power on all machines no voter knows the generations of the others, so
//! all disks are trusted: the state of the deployment is what the disks hold.

use super::{Membership, StateCompleteness};
use crate::context::{Context, PendingWrite};
use crate::durable_state::WriteOperation;
use crate::log_event::LogEvent;
use rushcourse_types::{Generation, NodeId, Timestamp};
use std::time::Duration;

/// Time after its start for which a recovering member waits for sessions with all other members, unless it knows that a
/// majority doesn't vote.
/// Machines that start together have established their sessions within some hundred milliseconds.
const SESSION_WAIT: Duration = Duration::from_millis(600);

impl Membership {
    /// Whether this replica is a member that has not verified yet that its disk is the newest one that it had.
    pub fn is_recovering(&self) -> bool {
        self.completeness == StateCompleteness::Recovering && self.is_member()
    }

    /// Updates whether the other voters lack a majority without this replica. `votes` tells whether a member has
    /// recently reported that it votes in this set.
    pub fn update_needed_for_majority(&mut self, votes: impl Fn(NodeId) -> bool) {
        let members = self.voting_set.members.iter();
        let voters = members.filter(|member| votes(**member));
        self.progress.is_needed_for_majority = voters.count() < self.voting_set.majority();
    }

    /// Handles the generation that a voter knows of for this replica's disk. Returns true if it reveals that the disk
    /// is an older copy.
    pub fn generation_reported(
        &mut self,
        context: &mut Context,
        voter: NodeId,
        reported: Generation,
    ) -> bool {
        let known = &mut self.known_generations;
        known.highest_reported = known.highest_reported.max(reported);
        // Keeps later generations above the reported one, so that copies of the present disk are recognized as older
        // ones too.
        context.raise_generation(known.highest_reported);
        let stored = known.stored;
        if !self.is_recovering() || reported <= stored {
            return false;
        }
        self.completeness = StateCompleteness::Incomplete;
        self.progress.restart();
        context.write(
            vec![WriteOperation::MarkStateIncomplete],
            PendingWrite::Untracked,
        );
        context.log(LogEvent::OlderDiskFound {
            stored,
            reported,
            voter,
        });
        true
    }

    /// Whether this recovering replica has received all the answers that it has to wait for. Enough snapshots end
    /// recovery by themselves (`Membership::snapshot_received`). `was_non_voter` tells whether a member has reported in
    /// its current session that it doesn't vote.
    pub fn has_recovery_answers(
        &self,
        now: Timestamp,
        was_non_voter: impl Fn(NodeId) -> bool,
    ) -> bool {
        if !self.is_recovering() || self.progress.is_installing || self.started_at.is_none() {
            return false;
        }
        let has_answered =
            |member: &NodeId| self.progress.senders.contains(member) || was_non_voter(*member);
        let members = self.voting_set.members.iter().copied();
        let others: Vec<NodeId> = members
            .filter(|member| *member != self.setup.node)
            .collect();
        if others.iter().all(has_answered) {
            return true;
        }
        let is_connected = |member: &&NodeId| self.peers.is_connected(**member);
        let has_pending_answer = !others.iter().filter(is_connected).all(has_answered);
        let non_voters = others.iter().filter(|member| was_non_voter(**member));
        let majority_not_voting = non_voters.count() + 1 >= self.voting_set.majority();
        let has_waited = self.uptime(now) >= SESSION_WAIT && self.has_quorum_contact();
        !has_pending_answer && (majority_not_voting || has_waited)
    }

    /// Marks the state of a recovered replica as being written.
    pub fn mark_installing(&mut self) {
        self.progress.is_installing = true;
    }
}
