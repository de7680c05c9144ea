//! Messages from other controllers and from this replica to itself.

use super::ConsensusNode;
use crate::paxos::acceptor::AcceptRole;
use crate::paxos::peer_reports::ReplicaStatus;
use rushcourse_messages::{Ballot, Message, Proposal, Slot, SnapshotCursor};
use rushcourse_types::{Epoch, NodeId, RequestToken, Timestamp};

impl ConsensusNode {
    /// Handles a message from another controller. Messages that don't concern consensus are ignored.
    pub(super) fn handle_message(&mut self, peer: NodeId, message: Message) {
        let context = &mut self.context;
        let membership = &mut self.paxos.membership;
        match message {
            Message::Prepare { epoch, .. }
            | Message::Promise { epoch, .. }
            | Message::Accept { epoch, .. }
            | Message::Reject { epoch, .. } => {
                if epoch == membership.voting_set().epoch {
                    self.handle_ballot_message(peer, message);
                } else {
                    self.handle_epoch_mismatch(peer, epoch);
                }
            }
            Message::ReplicaStatus { .. } => self.handle_replica_status(peer, message),
            Message::ReadRequest { token, .. } => self.answer_read(peer, token),
            Message::ReadResponse { .. } => self.handle_read_response(peer, message),
            Message::SnapshotRequest { epoch, after } => self.send_snapshot(peer, epoch, after),
            Message::SnapshotChunk(chunk) => {
                let committed = self.configuration.committed_version();
                let (claims, paxos) = (&mut self.claims, &mut self.paxos);
                self.snapshots
                    .receive(context, peer, chunk, claims, paxos, committed);
                self.finish_recovery();
            }
            Message::VotingSet(voting_set) => membership.learn_voting_set(context, voting_set),
            Message::LearnerInvitation { epoch } => {
                membership.accept_invitation(context, peer, epoch);
            }
            Message::LearnerReady { epoch } => membership.standby_ready(peer, epoch),
            Message::ShuttingDown => membership.peer_shutting_down(peer),
            _ => {}
        }
    }

    /// Handles a ballot message whose epoch is the current one.
    fn handle_ballot_message(&mut self, peer: NodeId, message: Message) {
        let context = &mut self.context;
        let (membership, proposer) = (&self.paxos.membership, &mut self.paxos.proposer);
        match message {
            Message::Prepare {
                slot,
                ballot,
                removed,
                ..
            } => self.prepare(peer, slot, ballot, removed),
            Message::Promise {
                slot,
                ballot,
                accepted,
                ..
            } => proposer.promise_received(context, membership, peer, slot, ballot, accepted),
            Message::Accept { slot, proposal, .. } => self.accept(peer, slot, proposal),
            Message::Reject { slot, promised, .. } => {
                proposer.rejected(context.now, membership, slot, promised);
            }
            _ => {}
        }
    }

    /// Discards a ballot message of another epoch. A sender with an older voting set receives the current one.
    fn handle_epoch_mismatch(&mut self, peer: NodeId, epoch: Epoch) {
        let voting_set = self.paxos.membership.voting_set();
        if epoch < voting_set.epoch {
            let newer = Message::VotingSet(voting_set.clone());
            self.context.send(peer, newer);
        }
    }

    /// Promises a ballot if this replica votes, agrees to the removal of the member or holder, and the slot is undecided.
    fn prepare(&mut self, proposer: NodeId, slot: Slot, ballot: Ballot, removed: Option<NodeId>) {
        let membership = &self.paxos.membership;
        let epoch = membership.voting_set().epoch;
        let may_vote = membership.is_voter() && self.context.is_disk_usable();
        let agrees = match slot {
            Slot::UsageDuty(_) => membership.may_replace_holder(removed),
            Slot::VotingSet(_) | Slot::Configuration(_) => membership.may_remove(removed),
        };
        if !may_vote || !agrees {
            return;
        }
        if !self.is_open(slot) {
            // The slot is decided; the report tells the lagging proposer.
            let context = &mut self.context;
            if matches!(slot, Slot::UsageDuty(_)) {
                self.duty.send_newest(context, proposer, &self.paxos);
            }
            return self.configuration.report_to(context, proposer, &self.paxos);
        }
        let acceptor = &mut self.paxos.acceptor;
        acceptor.prepare(&mut self.context, proposer, epoch, slot, ballot);
    }

    /// Whether proposals for a slot are still accepted: it is undecided, or belongs to the committed version or state,
    /// which a replica may have to propose again to learn that it is chosen.
    fn is_open(&self, slot: Slot) -> bool {
        match slot {
            Slot::Configuration(version) => version >= self.configuration.committed_version(),
            Slot::VotingSet(epoch) => epoch == self.voting_set().epoch.next(),
            Slot::UsageDuty(sequence) => {
                let lowest = self.paxos.acceptor.lowest_open_duty();
                sequence >= lowest.max(self.paxos.committed_duty)
            }
        }
    }

    /// Accepts a proposal for an undecided slot, with a vote or as a copy.
    fn accept(&mut self, proposer: NodeId, slot: Slot, proposal: Proposal) {
        let is_voter = self.paxos.membership.is_voter();
        let may_accept = is_voter || !matches!(slot, Slot::VotingSet(_));
        if !may_accept || !self.is_open(slot) {
            return;
        }
        let ballot = proposal.ballot;
        let now = self.context.now;
        let is_chosen = self.paxos.is_chosen_by_others(now, slot, ballot);
        let has_promised_higher = self.paxos.acceptor.promised(slot) > ballot;
        let role = match (is_voter, is_chosen) {
            (true, true) if has_promised_higher => AcceptRole::Chosen,
            (true, _) => AcceptRole::Voter,
            (false, true) => AcceptRole::Chosen,
            (false, false) => AcceptRole::Copy,
        };
        let epoch = self.paxos.membership.voting_set().epoch;
        let (context, acceptor) = (&mut self.context, &mut self.paxos.acceptor);
        acceptor.accept(context, proposer, epoch, slot, proposal, role);
    }

    fn handle_replica_status(&mut self, peer: NodeId, message: Message) {
        let Message::ReplicaStatus {
            sent_at,
            echoed,
            epoch,
            is_voter,
            is_disk_usable,
            generation,
            recovery_point,
            committed,
            duty,
            votes,
        } = message
        else {
            return;
        };
        let status = ReplicaStatus {
            sent_at,
            echoed,
            epoch,
            is_voter,
            is_disk_usable,
            generation,
            recovery_point,
            committed,
            duty,
            votes,
        };
        self.learn_generations(peer, &status);
        let membership = &mut self.paxos.membership;
        membership.disk_reported(self.context.now, peer, is_disk_usable);
        self.paxos.reports.insert(peer, status);
        // The peer has not received a report from this replica yet. Its own reports count here only once they echo one.
        if echoed == Timestamp::ZERO {
            let context = &mut self.context;
            self.configuration.report_to(context, peer, &self.paxos);
        }
        self.finish_recovery();
    }

    fn answer_read(&mut self, peer: NodeId, token: RequestToken) {
        let membership = &self.paxos.membership;
        let response = Message::ReadResponse {
            token,
            epoch: membership.voting_set().epoch,
            is_voter: membership.is_voter(),
            highest_accepted: self.configuration.highest_accepted(&self.paxos.acceptor),
        };
        self.context.send(peer, response);
    }

    fn handle_read_response(&mut self, peer: NodeId, message: Message) {
        let Message::ReadResponse {
            token,
            epoch,
            is_voter,
            highest_accepted,
        } = message
        else {
            return;
        };
        if epoch == self.paxos.membership.voting_set().epoch {
            self.configuration
                .read_response(peer, token, is_voter, highest_accepted);
        }
    }

    /// Sends a snapshot to a learner if this replica may send snapshots in the learner's epoch.
    fn send_snapshot(&mut self, peer: NodeId, epoch: Epoch, after: Option<SnapshotCursor>) {
        if self.paxos.membership.may_send_snapshots(epoch) {
            let context = &mut self.context;
            self.snapshots
                .send(context, peer, after, &self.claims, &self.paxos);
        }
    }
}
