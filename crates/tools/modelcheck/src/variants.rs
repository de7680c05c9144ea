//! What a variant that is broken on purpose alters on the way: effects, inputs and messages. The steps themselves are the
//! product's own.

use crate::scenes::{Broken, Scene};
use crate::world::{Sent, World};
use rushcourse_consensus::{ConsensusNode, Input, WriteOperation};
use rushcourse_messages::{DurableVote, Message, NodeId, Slot, VotingSet};
use rushcourse_types::{Epoch, Timestamp};

/// Whether a batch makes this replica a member that does not remember.
pub(crate) fn joins(n: NodeId, ops: &[WriteOperation]) -> bool {
    let member = ops
        .iter()
        .any(|op| matches!(op, WriteOperation::StoreVotingSet(set) if set.contains(n)));
    member && ops.contains(&WriteOperation::MarkStateIncomplete)
}

/// The promise that a proposer takes for given, where it does not ask for it.
pub(crate) fn unasked(broken: Option<Broken>, message: &Message) -> Option<Message> {
    match message {
        Message::Prepare {
            epoch: set,
            slot,
            ballot,
            ..
        } if broken == Some(Broken::BallotsSkipped) => {
            let (set, slot, ballot) = (*set, *slot, *ballot);
            Some(Message::Promise {
                epoch: set,
                slot,
                ballot,
                accepted: None,
            })
        }
        _ => None,
    }
}

/// What was told, as if it had been told just now.
fn as_of(now: u64, message: &Message) -> Message {
    let mut message = message.clone();
    if let Message::ReplicaStatus { echoed: echo, .. } = &mut message {
        *echo = Timestamp::from_millis(now.max(1));
    }
    message
}

impl World {
    /// A message as the receiver takes it, and from whom.
    pub(crate) fn altered(
        &mut self,
        scene: &Scene,
        broken: Option<Broken>,
        from: NodeId,
        to: NodeId,
        message: Message,
    ) -> (NodeId, Message) {
        if matches!(message, Message::ReplicaStatus { .. })
            && scene.catches.contains(&Broken::ToldWithoutEnd)
        {
            self.told.insert((from, to), message.clone());
        }
        match broken {
            Some(Broken::TwinTextsCount) => (from, self.as_own(to, message)),
            Some(Broken::EpochUnchecked) => (from, self.in_epoch_of(to, message)),
            Some(Broken::RemovedCounts) => self.for_newcomer(from, to, message),
            Some(Broken::LearnerCounts) => {
                if let Message::LearnerInvitation { epoch: set } = message {
                    self.post(scene, to, from, Message::LearnerReady { epoch: set });
                }
                (from, message)
            }
            _ => (from, message),
        }
    }

    /// Votes for whatever text as if they were for the one that this disk holds under that number.
    fn as_own(&self, n: NodeId, message: Message) -> Message {
        let Message::ReplicaStatus {
            sent_at: stamp,
            echoed: echo,
            epoch: set,
            is_voter: votes,
            committed: in_force,
            votes: casts,
        } = message
        else {
            return message;
        };
        let records = &self.cores[&n].stored.records;
        let own = |slot: Slot| {
            records
                .iter()
                .find(|r| r.slot == slot)
                .and_then(|r| r.record.accepted.as_ref())
        };
        let alter = |cast: DurableVote| DurableVote {
            ballot: own(cast.slot).map_or(cast.ballot, |a| a.ballot),
            ..cast
        };
        let casts = casts.into_iter().map(alter).collect();
        Message::ReplicaStatus {
            sent_at: stamp,
            echoed: echo,
            epoch: set,
            is_voter: votes,
            committed: in_force,
            votes: casts,
        }
    }

    /// The number of the set that one counts in.
    fn epoch(&self, n: NodeId) -> Epoch {
        let core = self
            .cores
            .get(&n)
            .and_then(|c| c.register.as_ref())
            .map(ConsensusNode::voting_set);
        let claimant = self.claimants.get(&n).map(|c| c.claims.voting_set());
        core.or(claimant)
            .map_or(Epoch(0), |set: &VotingSet| set.epoch)
    }

    /// A vote or an asking as if it were of the receiver's set. A claim that is under way goes on when the set changes, and
    /// keeps its votes (`deliver` passes no newer set on to it).
    fn in_epoch_of(&self, to: NodeId, message: Message) -> Message {
        let set = self.epoch(to);
        match message {
            Message::ClaimResponse {
                key,
                claim,
                verdict,
                ..
            } => Message::ClaimResponse {
                epoch: set,
                key,
                claim,
                verdict,
            },
            Message::ClaimRequest { key, claim, .. } => Message::ClaimRequest {
                epoch: set,
                key,
                claim,
            },
            Message::ReplicaStatus {
                sent_at: stamp,
                echoed: echo,
                is_voter: votes,
                committed: in_force,
                votes: casts,
                ..
            } => Message::ReplicaStatus {
                sent_at: stamp,
                echoed: echo,
                epoch: set,
                is_voter: votes,
                committed: in_force,
                votes: casts,
            },
            other => other,
        }
    }

    /// The one whose place was taken is asked like its successor, and its vote counts for that one's.
    fn for_newcomer(&mut self, from: NodeId, to: NodeId, message: Message) -> (NodeId, Message) {
        match message {
            Message::ClaimRequest {
                epoch: set,
                key,
                claim,
            } if self.replaced.contains_key(&to) => {
                let message = Message::ClaimRequest {
                    epoch: set,
                    key,
                    claim,
                };
                let queue = self
                    .links
                    .entry((from, NodeId(self.replaced[&to].0)))
                    .or_default();
                queue.push_back(Sent::Message(message.clone()));
                (from, message)
            }
            Message::ClaimRequest { key, claim, .. }
                if self.replaced.values().any(|left| *left == to) =>
            {
                (
                    from,
                    Message::ClaimRequest {
                        epoch: Epoch(self.epoch(to).0),
                        key,
                        claim,
                    },
                )
            }
            Message::ClaimResponse {
                key,
                claim,
                verdict,
                ..
            } if self.replaced.values().any(|left| *left == from) => {
                let joined = self
                    .replaced
                    .iter()
                    .find(|r| *r.1 == from)
                    .map_or(from, |r| *r.0);
                (
                    joined,
                    Message::ClaimResponse {
                        epoch: Epoch(self.epoch(to).0),
                        key,
                        claim,
                        verdict,
                    },
                )
            }
            other => (from, other),
        }
    }

    /// An input, behind all that the others told last, where that counts without end.
    pub(crate) fn with_told(&self, broken: Option<Broken>, n: NodeId, input: Input) -> Vec<Input> {
        let mut inputs = Vec::new();
        if broken == Some(Broken::ToldWithoutEnd) {
            let told = self.told.iter().filter(|t| t.0.1 == n);
            inputs.extend(told.map(|((from, _), message)| Input::MessageReceived {
                from: *from,
                message: as_of(self.now, message),
            }));
        }
        inputs.push(input);
        inputs
    }

    /// A newcomer that votes as soon as it is a member.
    pub(crate) fn counts_at_once(&mut self, scene: &Scene, broken: Option<Broken>, n: NodeId) {
        self.end(scene, broken, n, true);
        self.cores
            .get_mut(&n)
            .expect("known")
            .stored
            .has_complete_state = true;
        self.start(scene, broken, n);
    }
}
