//! How this replica gets complete state by snapshots: as a member that lacks it or that recovers, or as a standby that was
//! invited.

use super::{Membership, StateStanding};
use crate::context::Context;
use crate::log_event::LogEvent;
use rushcourse_messages::Message;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::time::Duration;

/// After its start, when a member without complete state first requests snapshots: longer than votes and promises that
/// it may have given before the loss are counted (votes on claims in `rushcourse-routing`, 450 ms;
/// `proposer::PROMISE_TIMEOUT`, 800 ms; `peer_reports::REPORT_TIMEOUT`, 1,700 ms), so that each has taken effect or
/// expired by then.
const SNAPSHOT_REQUEST_DELAY: Duration = Duration::from_millis(2_200);
/// Between two requests for snapshots.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// For how long a standby goes on requesting snapshots after it was invited.
const INVITATION_TIMEOUT: Duration = Duration::from_millis(3_000);

impl Membership {
    /// This standby is asked to become a learner.
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

    /// Whether snapshots of voters of the set are wanted now.
    pub fn is_learning(&self, now: Timestamp) -> bool {
        if self.progress.is_installing || self.voting_set.epoch.is_none() || self.is_unstored {
            return false;
        }
        if self.is_member() {
            let is_old_enough = self.uptime(now) >= SNAPSHOT_REQUEST_DELAY;
            match self.standing {
                StateStanding::Incomplete => is_old_enough,
                StateStanding::Recovering => is_old_enough || self.progress.is_urgent,
                StateStanding::Complete => false,
            }
        } else {
            now < self.progress.invitation_expires_at
                && self.progress.ready_for != self.voting_set.epoch
        }
    }

    /// The members to request snapshots from now.
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

    /// Snapshots are requested now.
    pub fn snapshots_requested(&mut self, now: Timestamp) {
        self.progress.requested_at = now;
    }

    /// The whole snapshot of one more voter has arrived. Returns the set's epoch once they are enough.
    pub fn snapshot_received(&mut self, from: NodeId) -> Option<Epoch> {
        self.progress.senders.insert(from);
        let is_enough = self.progress.senders.len() >= self.voting_set.snapshot_quorum();
        self.progress.is_installing = is_enough;
        is_enough.then_some(self.voting_set.epoch)
    }

    /// The disk refused what snapshots contained.
    pub fn install_refused(&mut self) {
        self.progress.abort();
    }

    /// The disk holds all that enough voters of a set sent.
    pub fn install_synced(&mut self, context: &mut Context, epoch: Epoch) {
        if epoch != self.voting_set.epoch || !self.progress.is_installing {
            return;
        }
        self.progress.is_installing = false;
        if self.is_member() {
            self.standing = StateStanding::Complete;
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
