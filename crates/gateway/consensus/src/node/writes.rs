//! Completion of writes: runs the action that was pending on a batch once the disk has synced or refused it.

use super::ConsensusNode;
use crate::context::PendingWrite;
use crate::durable_state::{BatchId, PruneBounds};
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, KeyDigest};

impl ConsensusNode {
    pub(super) fn batch_synced(&mut self, batch: BatchId) {
        let was_usable = self.context.is_disk_usable();
        let Some(pending) = self.context.batch_synced(batch) else {
            return;
        };
        self.report_disk_change(was_usable);
        let context = &mut self.context;
        let membership = &self.paxos.membership;
        match pending {
            PendingWrite::VotingSet(voting_set) => self.adopt_voting_set(voting_set, true),
            PendingWrite::Promise {
                proposer,
                slot,
                ballot,
            } => {
                if let Some(epoch) = membership.voting_epoch() {
                    let acceptor = &mut self.paxos.acceptor;
                    acceptor.promise_synced(context, proposer, epoch, slot, ballot);
                }
            }
            PendingWrite::Accepted { slot, ballot } => {
                if self.paxos.acceptor.accept_synced(slot, ballot) {
                    self.configuration.report_to_all(context, &self.paxos);
                }
            }
            PendingWrite::Claim { key, claim } => {
                let voting_epoch = membership.voting_epoch();
                self.claims.claim_synced(context, voting_epoch, key, claim);
            }
            PendingWrite::Snapshot {
                keys,
                completed_epoch,
            } => self.snapshot_synced(&keys, completed_epoch),
            PendingWrite::Probe | PendingWrite::Untracked => {}
        }
    }

    /// Reports to all peers as soon as the disk starts or stops refusing writes.
    fn report_disk_change(&mut self, was_usable: bool) {
        if self.context.is_disk_usable() != was_usable {
            let context = &mut self.context;
            self.configuration.report_to_all(context, &self.paxos);
        }
    }

    /// Adopts a voting set that is newer than the current one. With `is_stored` false the disk refused the set, and
    /// this replica doesn't vote in it.
    fn adopt_voting_set(&mut self, voting_set: VotingSet, is_stored: bool) {
        let context = &mut self.context;
        if !self.paxos.membership.adopt(context, voting_set, is_stored) {
            return;
        }
        if self.paxos.membership.lacks_state() {
            self.paxos.acceptor.stop_voting();
        }
        let voting_set = self.paxos.membership.voting_set();
        self.paxos.recovery_points.retain_members(voting_set);
        let bounds = PruneBounds {
            epochs_through: self.paxos.membership.voting_set().epoch,
            ..PruneBounds::default()
        };
        self.paxos.acceptor.prune(context, bounds);
        self.paxos.proposer.voting_set_changed(context.now);
        self.configuration
            .voting_set_changed(context, &mut self.paxos);
    }

    /// Handles the sync of a snapshot chunk. `completed_epoch` is set if the chunk completed the last snapshot that was
    /// needed.
    fn snapshot_synced(&mut self, keys: &[KeyDigest], completed_epoch: Option<Epoch>) {
        self.claims.install_synced(keys);
        let Some(epoch) = completed_epoch else {
            return;
        };
        let context = &mut self.context;
        self.paxos.membership.install_synced(context, epoch);
        if self.paxos.membership.is_voter() {
            self.paxos.acceptor.start_voting_synced();
            self.configuration.report_to_all(context, &self.paxos);
        }
    }

    /// Handles the disk's refusal of a batch: reverts it in memory, or marks it for a retry if it must not be lost.
    pub(super) fn batch_refused(&mut self, batch: BatchId) {
        let was_usable = self.context.is_disk_usable();
        let Some(pending) = self.context.batch_refused(batch) else {
            return;
        };
        match pending {
            PendingWrite::VotingSet(voting_set) => {
                if self.paxos.membership.write_refused(&voting_set) {
                    self.adopt_voting_set(voting_set, false);
                }
            }
            PendingWrite::Promise { slot, .. } | PendingWrite::Accepted { slot, .. } => {
                self.paxos.acceptor.write_refused(slot);
            }
            PendingWrite::Claim { key, claim } => {
                self.claims.claim_refused(&mut self.context, key, claim);
            }
            PendingWrite::Snapshot { keys, .. } => {
                self.claims.install_refused(&keys);
                self.paxos.membership.install_refused();
                self.snapshots.install_refused();
            }
            PendingWrite::Probe | PendingWrite::Untracked => {}
        }
        self.report_disk_change(was_usable);
    }
}
