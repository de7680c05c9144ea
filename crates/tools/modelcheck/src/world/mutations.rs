//! Implementation of mutations. They change inputs, effects and messages; the state machines under test are unchanged.

use super::network::{Link, Packet};
use super::{Controller, World};
use crate::mutation::Mutation;
use crate::simulation::UnsyncedWrites;
use rushcourse_consensus::{DurableState, Input};
use rushcourse_messages::{Ballot, DurableVote, Message, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId, Timestamp};

impl World<'_> {
    /// Applies the mutation to a message before its delivery. Returns the sender and the message that the receiver
    /// sees.
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

    /// Under `PromisesSkipped`, returns the promise that replaces a prepare message.
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

    /// Replaces the ballot of each reported vote by the one that this node has accepted in the slot, so that votes for
    /// other texts are counted.
    fn with_votes_for_own_text(&self, node: NodeId, mut message: Message) -> Message {
        if let Message::ReplicaStatus { votes, .. } = &mut message {
            for DurableVote { slot, ballot } in votes {
                *ballot = self.accepted_ballot(node, *slot).unwrap_or(*ballot);
            }
        }
        message
    }

    /// Returns the ballot of the value that a disk holds as accepted in a slot.
    fn accepted_ballot(&self, node: NodeId, slot: Slot) -> Option<Ballot> {
        let records = &self.controller(node).simulated.disk.durable().records;
        let stored = records.iter().find(|record| record.slot == slot)?;
        Some(stored.record.accepted.as_ref()?.ballot)
    }

    fn is_recovering(&self, node: NodeId) -> bool {
        let controller = self.controllers.get(&node);
        controller.is_some_and(Controller::is_recovering)
    }

    /// Epoch of the voting set that a controller or gateway has adopted; `Epoch::NONE` for a stopped controller.
    fn epoch(&self, node: NodeId) -> Epoch {
        if let Some(running) = self
            .controllers
            .get(&node)
            .and_then(|controller| controller.simulated.node())
        {
            return running.voting_set().epoch;
        }
        let gateway = self.gateways.get(&node);
        gateway.map_or(Epoch::NONE, |gateway| gateway.claims.voting_set().epoch)
    }

    /// Replaces the epoch of claim messages and reports by the receiver's epoch. `deliver_message` also withholds newer
    /// voting sets from gateways with pending claims, so that these keep their grants.
    fn with_epoch_of(&self, to: NodeId, mut message: Message) -> Message {
        if let Message::ClaimResponse { epoch, .. }
        | Message::ClaimRequest { epoch, .. }
        | Message::ReplicaStatus { epoch, .. } = &mut message
        {
            *epoch = self.epoch(to);
        }
        message
    }

    /// Sends claim requests for the new member also to the removed one, and attributes the removed member's responses
    /// to the new member.
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

    /// Under `ReportsNeverExpire`, prepends the latest report of each peer to an input of a node.
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

    /// Restarts a new member with its state marked as complete, so that it votes without snapshots.
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

    /// Treats each version that half of the disks hold as acknowledged.
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

/// Whether a record holds an accepted text of this version or a higher one.
fn has_accepted_version(
    SlotRecord { slot, record }: &SlotRecord,
    version: ConfigurationVersion,
) -> bool {
    let holds_version = matches!(slot, Slot::Configuration(stored) if *stored >= version);
    holds_version && record.accepted.is_some()
}

/// Marks the sender of a report as a non-voter without a recovery point, so that a recovering receiver learns nothing
/// about its own disk.
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

/// Returns a copy of a report that echoes the current time, so that the receiver considers it recent.
fn refreshed(now: Timestamp, report: &Message) -> Message {
    let mut report = report.clone();
    if let Message::ReplicaStatus { echoed, .. } = &mut report {
        *echoed = now.max(Timestamp::from_millis(1));
    }
    report
}
