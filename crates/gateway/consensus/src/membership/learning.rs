//! State transfer to this replica: as a member that lacks state or recovers, or as a standby that was invited to learn.

use super::{Membership, StateCompleteness};
use crate::context::Context;
use crate::log_event::LogEvent;
use rushcourse_messages::Message;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::time::Duration;

/// Minimum uptime before a member without complete state requests snapshots. Longer than the time for which any vote or
/// promise that it gave before the loss is counted (450 ms for claims in `rushcourse-routing`, 800 ms for
/// `proposer::PROMISE_TIMEOUT`, 1,700 ms for `peer_reports::REPORT_TIMEOUT`), so that each of them has taken effect or
/// expired before the snapshots are made.
const SNAPSHOT_REQUEST_DELAY: Duration = Duration::from_millis(2_200);
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which a standby keeps requesting snapshots after an invitation.
const INVITATION_TIMEOUT: Duration = Duration::from_millis(3_000);

impl Membership {
    /// Handles an invitation to learn. A standby that has already learned in this epoch reports that it is ready.
    pub fn accept_invitation(&mut self, context: &mut Context, from: NodeId, epoch: Epoch) {
        if epoch != self.voting_set.epoch || self.is_member() {
            return;
        }
        if self.progress.ready_for == epoch {
            context.send(from, Message::LearnerReady { epoch });
        } else {
            self.progress.invitation_expires_at = context.now + INVITATION_TIMEOUT;
        }
    }

    /// Whether this replica currently needs snapshots.
    pub fn is_learning(&self, now: Timestamp) -> bool {
        if self.progress.is_installing || self.voting_set.epoch.is_none() || self.needs_rewrite {
            return false;
        }
        if self.is_member() {
            let has_waited = self.uptime(now) >= SNAPSHOT_REQUEST_DELAY;
            match self.completeness {
                StateCompleteness::Incomplete => has_waited,
                StateCompleteness::Recovering => has_waited || self.progress.is_needed_for_majority,
                StateCompleteness::Complete => false,
            }
        } else {
            now < self.progress.invitation_expires_at
                && self.progress.ready_for != self.voting_set.epoch
        }
    }

    /// Members to request snapshots from now; empty if no request is due.
    pub fn snapshot_sources(&self, now: Timestamp) -> Vec<NodeId> {
        if !self.is_learning(now) || now < self.progress.requested_at + SNAPSHOT_REQUEST_INTERVAL {
            return Vec::new();
        }
        let members = self.voting_set.members.iter().copied();
        let sources = members.chain(self.predecessor);
        sources
            .filter(|source| self.peers.is_connected(*source))
            .collect()
    }

    /// Starts the interval until the next request.
    pub fn snapshots_requested(&mut self, now: Timestamp) {
        self.progress.requested_at = now;
    }

    /// Counts the complete snapshot of one member. Returns the epoch of the voting set once enough members have sent
    /// theirs.
    pub fn snapshot_received(&mut self, from: NodeId) -> Option<Epoch> {
        self.progress.senders.insert(from);
        let has_quorum = self.progress.senders.len() >= self.voting_set.snapshot_quorum();
        self.progress.is_installing = has_quorum;
        has_quorum.then_some(self.voting_set.epoch)
    }

    /// Handles the disk's refusal of received state: senders are counted anew.
    pub fn install_refused(&mut self) {
        self.progress.abort();
    }

    /// Completes the state transfer in an epoch once its state is on disk: a member becomes complete, and a standby
    /// reports that it is ready to join.
    pub fn install_synced(&mut self, context: &mut Context, epoch: Epoch) {
        if epoch != self.voting_set.epoch || !self.progress.is_installing {
            return;
        }
        self.progress.is_installing = false;
        if self.is_member() {
            self.completeness = StateCompleteness::Complete;
            context.log(LogEvent::SnapshotInstalled {
                epoch,
                senders: self.progress.senders.len(),
            });
        } else {
            self.progress.ready_for = epoch;
            for peer in self.connected_peers() {
                context.send(peer, Message::LearnerReady { epoch });
            }
        }
        self.progress.senders.clear();
    }
}
