//! How a member that starts finds out whether its disk still holds what a voter has to hold.
//!
//! The disk may be an older copy, of this very voting set: put back by hand, or by a machine that lost its last writes.
//! A copy from which a promise, a vote or a claim is missing must not vote, and nothing on it says so. So a member that
//! starts with its disk *recovers*: it casts no vote until it has got, from `VotingSet::snapshot_quorum` other voters,
//! what came to them since they last heard of the generation of its disk (`recovery_points.rs`). That is some seconds'
//! worth of claims. A disk of a lower generation than a voter has heard of is an older copy: this replica then lacks
//! state, and all of it is sent.
//!
//! **Why it is enough.** A claim that was won with a grant of this replica was granted by `majority - 1` others; one of
//! those is among the senders. Either the disk's generation covers that grant, or the sender's recovery point lies before
//! the claim. Promises and votes come whole with each snapshot.
//!
//! Grants, promises and votes that were under way when the process ended must have taken effect or expired before the
//! snapshots are made, so a recovering member waits as long as one that lost its disk. It does not wait, and needs no
//! quorum of senders, where the others can't form a majority without it (`is_urgent`): then more replicas are starting
//! than may be lost at once. It goes on once all members in session have answered, by a snapshot or by a report that
//! they don't vote, and either a majority does not vote, or no further session came for a while. So where power is lost
//! everywhere all voters forget the others' generations, and all disks are trusted: what holds then is what the disks
//! hold.

use super::{Membership, StateStanding};
use crate::context::{Context, PendingWrite};
use crate::durable_state::WriteOperation;
use crate::log_event::LogEvent;
use rushcourse_types::{Generation, NodeId, Timestamp};
use std::time::Duration;

/// For how long after its start a recovering member waits for sessions with all other members, where it does not know
/// that a majority does not vote (ours: sessions of machines that start together stand within some hundred ms).
const SESSION_WAIT: Duration = Duration::from_millis(600);

impl Membership {
    /// Whether this replica is a member that does not know yet whether its disk is the newest one that it had.
    pub fn is_recovering(&self) -> bool {
        self.standing == StateStanding::Recovering && self.is_member()
    }

    /// Looks whether the other voters are a majority without this replica. `votes`: a member reported lately that it votes
    /// in this set.
    pub fn update_urgency(&mut self, votes: impl Fn(NodeId) -> bool) {
        let members = self.voting_set.members.iter();
        let voters = members.filter(|member| votes(**member));
        self.progress.is_urgent = voters.count() < self.voting_set.majority();
    }

    /// A voter has heard of a generation of this replica's disk. Returns true if the disk turns out to be an older copy
    /// by it.
    pub fn generation_reported(
        &mut self,
        context: &mut Context,
        voter: NodeId,
        reported: Generation,
    ) -> bool {
        let known = &mut self.known_generations;
        known.highest_reported = known.highest_reported.max(reported);
        // Copies of what this disk held meanwhile must be known as older ones too.
        context.raise_generation(known.highest_reported);
        let stored = known.stored;
        if !self.is_recovering() || reported <= stored {
            return false;
        }
        self.standing = StateStanding::Incomplete;
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

    /// Whether this replica, which recovers, has heard all that it is to wait for. Where enough voters have sent their
    /// snapshots it is done by that alone (`Membership::snapshot_received`). `was_no_voter`: a member reported in its
    /// present session that it does not vote.
    pub fn is_recovery_answered(
        &self,
        now: Timestamp,
        was_no_voter: impl Fn(NodeId) -> bool,
    ) -> bool {
        if !self.is_recovering() || self.progress.is_installing || self.started_at.is_none() {
            return false;
        }
        let has_answered =
            |member: &NodeId| self.progress.senders.contains(member) || was_no_voter(*member);
        let members = self.voting_set.members.iter().copied();
        let others: Vec<NodeId> = members
            .filter(|member| *member != self.setup.node)
            .collect();
        if others.iter().all(has_answered) {
            return true;
        }
        let is_connected = |member: &&NodeId| self.peers.is_connected(**member);
        let has_silent_peer = !others.iter().filter(is_connected).all(has_answered);
        let no_voters = others.iter().filter(|member| was_no_voter(**member));
        let is_needed = no_voters.count() + 1 >= self.voting_set.majority();
        let has_waited = self.uptime(now) >= SESSION_WAIT && self.has_quorum_contact();
        !has_silent_peer && (is_needed || has_waited)
    }

    /// This replica, which recovers, has heard all that it is to wait for; that is being written.
    pub fn recovery_answered(&mut self) {
        self.progress.is_installing = true;
    }
}
