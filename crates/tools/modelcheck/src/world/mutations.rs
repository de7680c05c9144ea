//! What a mutation alters on the way: effects, inputs and messages. The steps themselves are the product's own.

use super::network::{Link, Packet};
use super::{Controller, World};
use crate::mutation::Mutation;
use crate::simulation::UnsyncedWrites;
use rushcourse_consensus::{DurableState, Input};
use rushcourse_messages::{Ballot, DurableVote, Message, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId, Timestamp};

impl World<'_> {
    /// A message as the receiver takes it, and from whom.
    pub(super) fn mutate_message(
        &mut self,
        from: NodeId,
        to: NodeId,
        message: Message,
    ) -> (NodeId, Message) {
        let is_report = matches!(message, Message::ReplicaStatus { .. });
        if is_report && self.scene.catches.contains(&Mutation::ReportsNeverExpire) {
            self.last_reports.insert(Link { from, to }, message.clone());
        }
        let skips_recovery = self.mutation.is_some_and(Mutation::skips_recovery);
        if skips_recovery && self.is_recovering(to) {
            return (from, without_recovery_data(message));
        }
        match self.mutation {
            Some(Mutation::RivalTextsCount) => (from, self.with_votes_for_own_text(to, message)),
            Some(Mutation::EpochUnchecked) => (from, self.with_epoch_of(to, message)),
            Some(Mutation::RemovedCounts) => self.count_for_new_member(from, to, message),
            Some(Mutation::LearnerCounts) => {
                if let Message::LearnerInvitation { epoch } = message {
                    self.send(to, from, Message::LearnerReady { epoch });
                }
                (from, message)
            }
            _ => (from, message),
        }
    }

    /// The promise that a proposer takes for given, where it does not ask for it.
    pub(super) fn implicit_promise(&self, message: &Message) -> Option<Message> {
        match *message {
            Message::Prepare {
                epoch,
                slot,
                ballot,
                ..
            } if self.has_mutation(Mutation::PromisesSkipped) => Some(Message::Promise {
                epoch,
                slot,
                ballot,
                accepted: None,
            }),
            _ => None,
        }
    }

    /// Votes for whatever text as if they were for the one that this disk holds under that version.
    fn with_votes_for_own_text(&self, node: NodeId, mut message: Message) -> Message {
        if let Message::ReplicaStatus { votes, .. } = &mut message {
            for DurableVote { slot, ballot } in votes {
                *ballot = self.accepted_ballot(node, *slot).unwrap_or(*ballot);
            }
        }
        message
    }

    /// The ballot of what a disk holds as accepted for a slot.
    fn accepted_ballot(&self, node: NodeId, slot: Slot) -> Option<Ballot> {
        let records = &self.controller(node).simulated.disk.durable().records;
        let stored = records.iter().find(|record| record.slot == slot)?;
        Some(stored.record.accepted.as_ref()?.ballot)
    }

    fn is_recovering(&self, node: NodeId) -> bool {
        let controller = self.controllers.get(&node);
        controller.is_some_and(Controller::is_recovering)
    }

    /// The epoch of the set that a node counts in.
    fn epoch(&self, node: NodeId) -> Epoch {
        if let Some(running) = self
            .controllers
            .get(&node)
            .and_then(|found| found.simulated.node())
        {
            return running.voting_set().epoch;
        }
        let gateway = self.gateways.get(&node);
        gateway.map_or(Epoch::NONE, |gateway| gateway.claims.voting_set().epoch)
    }

    /// A vote or a request as if it were of the receiver's set. A claim that is under way goes on when the set changes,
    /// and keeps its votes (a newer set is not passed on to it).
    fn with_epoch_of(&self, to: NodeId, mut message: Message) -> Message {
        if let Message::ClaimResponse { epoch, .. }
        | Message::ClaimRequest { epoch, .. }
        | Message::ReplicaStatus { epoch, .. } = &mut message
        {
            *epoch = self.epoch(to);
        }
        message
    }

    /// The one whose place was taken is asked like its successor, and its vote counts for that one's.
    fn count_for_new_member(
        &mut self,
        from: NodeId,
        to: NodeId,
        mut message: Message,
    ) -> (NodeId, Message) {
        let Some(replacement) = self.checker.replacement() else {
            return (from, message);
        };
        let (epoch_of_receiver, mut sender) = (self.epoch(to), from);
        match &mut message {
            Message::ClaimRequest { .. } if to == replacement.joined => {
                let link = Link {
                    from,
                    to: replacement.removed,
                };
                self.network.push(link, Packet::Message(message.clone()));
            }
            Message::ClaimRequest { epoch, .. } if to == replacement.removed => {
                *epoch = epoch_of_receiver;
            }
            Message::ClaimResponse { epoch, .. } if from == replacement.removed => {
                *epoch = epoch_of_receiver;
                sender = replacement.joined;
            }
            _ => {}
        }
        (sender, message)
    }

    /// An input, behind all that the others reported last, where that counts without end.
    pub(super) fn with_stale_reports(&self, node: NodeId, input: Input) -> Vec<Input> {
        let mut inputs = Vec::new();
        if self.has_mutation(Mutation::ReportsNeverExpire) {
            let to_node = self.last_reports.iter().filter(|(link, _)| link.to == node);
            inputs.extend(to_node.map(|(link, report)| Input::MessageReceived {
                from: link.from,
                message: refreshed(self.now, report),
            }));
        }
        inputs.push(input);
        inputs
    }

    /// A newcomer that votes as soon as it is a member.
    pub(super) fn restart_as_voter(&mut self, node: NodeId) {
        self.stop(node, UnsyncedWrites::Written);
        let disk = &mut self.controller_mut(node).simulated.disk;
        let durable = DurableState {
            has_complete_state: true,
            ..disk.durable().clone()
        };
        disk.replace(durable);
        self.start(node);
    }

    /// A version counts as acknowledged once half of the disks hold it.
    pub(super) fn acknowledge_at_half(&mut self) {
        for submission in self.scene.clients.submissions {
            let version = submission.version();
            let disks = self.controllers.values();
            let holding = disks.filter(|controller| {
                let records = &controller.simulated.disk.durable().records;
                records
                    .iter()
                    .any(|record| has_accepted_version(record, version))
            });
            if 2 * holding.count() as u32 + 1 >= self.scene.members {
                self.checker.assume_acknowledged(version);
            }
        }
    }
}

/// Whether a record is of an accepted text of this version or a higher one.
fn has_accepted_version(
    SlotRecord { slot, record }: &SlotRecord,
    version: ConfigurationVersion,
) -> bool {
    *slot >= Slot::Configuration(version) && record.accepted.is_some()
}

/// A report, as of a controller that has just started and knows nothing of the others' disks.
fn without_recovery_data(mut message: Message) -> Message {
    if let Message::ReplicaStatus {
        is_voter,
        recovery_point,
        ..
    } = &mut message
    {
        *is_voter = false;
        *recovery_point = None;
    }
    message
}

/// A report, as if it had been made just now.
fn refreshed(now: Timestamp, report: &Message) -> Message {
    let mut report = report.clone();
    if let Message::ReplicaStatus { echoed, .. } = &mut report {
        *echoed = now.max(Timestamp::from_millis(1));
    }
    report
}
