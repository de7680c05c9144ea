//! The step: inputs go to their part, what a disk has synced comes back to where it belongs.

use crate::acceptor::{Acceptor, Capacity};
use crate::agreement::Agreement;
use crate::claims::{ClaimRegistry, HeldClaim};
use crate::configuration::Versions;
use crate::context::{Context, PendingWrite};
use crate::durable_state::{BatchId, DurableState, PruneBounds};
use crate::effect::{CommittedConfiguration, Effect};
use crate::input::Input;
use crate::log_event::LogEvent;
use crate::membership::{Change, Membership};
use crate::proposer::{Intent, Proposer};
use crate::replicas::{HeldState, Replicas};
use crate::setup::Setup;
use crate::snapshot::Lessons;
use rushcourse_messages::{Ballot, Message, NodeId, Proposal, Slot, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest, Timestamp, WallTime};

/// ms for which a change of the set is tried before the need for it is looked at again.
const CHANGE_WAIT: u64 = 1_000;

/// How far a replica has come, for its status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSummary {
    /// The voting set that it counts in.
    pub voting_set: VotingSet,
    /// Whether it holds what a voter of its set has to hold.
    pub has_complete_state: bool,
    /// Whether it votes in its set.
    pub is_voter: bool,
    /// The highest version that it has accepted.
    pub highest_accepted: ConfigurationVersion,
    /// The version that it knows to be committed.
    pub committed: ConfigurationVersion,
    /// Claims of operation keys that it holds.
    pub claim_count: usize,
    /// Controllers in session with it.
    pub peers: Vec<NodeId>,
}

/// One replica of the control state.
#[derive(Clone, Debug)]
pub struct ConsensusNode {
    context: Context,
    agreement: Agreement,
    versions: Versions,
    claims: ClaimRegistry,
    lessons: Lessons,
    started: bool,
}

impl ConsensusNode {
    /// A replica at its start, with what its state file holds.
    pub fn new(setup: Setup, durable: DurableState) -> ConsensusNode {
        let DurableState {
            voting_set,
            has_complete_state,
            records,
            claims,
            hosts: _,
        } = durable;
        ConsensusNode {
            context: Context::new(setup.node),
            lessons: Lessons::new(setup.incarnation),
            claims: ClaimRegistry::new(setup.key_window, claims),
            agreement: Agreement {
                proposer: Proposer::new(setup.incarnation),
                membership: Membership::new(setup, voting_set, has_complete_state),
                acceptor: Acceptor::new(records),
                replicas: Replicas::default(),
            },
            versions: Versions::default(),
            started: false,
        }
    }

    /// One input at a moment of the steady clock. `wall` is the time of day, which is only shown to people.
    pub fn step(&mut self, now: Timestamp, wall: WallTime, input: Input) -> Vec<Effect> {
        (self.context.now, self.context.wall) = (now, wall);
        if !self.started {
            self.started = true;
            self.claims.start(now);
        }
        self.take(input);
        while let Some(message) = self.context.next_loopback() {
            self.heard(self.context.node, message);
        }
        self.adopt_chosen_set();
        self.versions.settle(&mut self.context, &mut self.agreement);
        self.context.take_effects()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::PeerConnected { peer, zone } => {
                self.agreement.membership.up(&mut self.context, peer, zone);
                self.versions.tell(&mut self.context, peer, &self.agreement);
            }
            Input::PeerDisconnected(peer) => self.down(peer),
            Input::MessageReceived { from, message } => self.heard(from, message),
            Input::BatchSynced(batch) => self.synced(batch),
            Input::BatchRefused(batch) => self.refused(batch),
            Input::PutConfiguration {
                ticket,
                version,
                text,
            } => {
                self.versions.put(
                    &mut self.context,
                    ticket,
                    version,
                    text,
                    &mut self.agreement,
                );
            }
            Input::GetConfiguration { ticket } => {
                self.versions
                    .get(&mut self.context, ticket, &self.agreement);
            }
            Input::Claim(request) => {
                let is_voter = self.agreement.membership.votes_in() == Some(request.epoch.0);
                self.claims.claim(&mut self.context, is_voter, request);
            }
            Input::WithdrawClaim { key, claim } => {
                self.claims.withdraw(&mut self.context, key, claim)
            }
            Input::ShutDown => self.agreement.membership.leave(&mut self.context),
            Input::Tick => self.tick(),
        }
    }

    fn down(&mut self, peer: NodeId) {
        self.agreement
            .membership
            .down(self.context.now.as_millis(), peer);
        self.agreement.replicas.forget(peer);
        self.versions.down(peer);
        self.lessons.down(peer);
    }

    fn tick(&mut self) {
        self.agreement.membership.tick(&mut self.context);
        self.change_set();
        let voters = self
            .agreement
            .membership
            .ask_for_lessons(self.context.now.as_millis());
        self.lessons.ask(
            &mut self.context,
            self.agreement.membership.set().epoch,
            voters,
        );
        self.agreement
            .proposer
            .tick(&mut self.context, &self.agreement.membership);
        self.versions.tick(&mut self.context, &mut self.agreement);
        self.claims.tick(&mut self.context);
    }

    /// Brings about a change of the set that is due: the spare is taught first, then the change is proposed.
    fn change_set(&mut self) {
        let Some(change) = self
            .agreement
            .membership
            .change_due(self.context.now.as_millis())
        else {
            return;
        };
        let slot = Slot::VotingSet(change.next.epoch);
        if self.agreement.proposer.is_proposing(slot) {
            return;
        }
        if !self.can_do_without(&change) {
            return;
        }
        let context = &mut self.context;
        if !self.agreement.membership.has_learned(change.with) {
            return self.agreement.membership.invite(context, change.with);
        }
        context.log(LogEvent::VotingSetChangeProposed {
            epoch: change.next.epoch,
            joining: change.with,
        });
        let value = change.next.to_value();
        let intent = Intent {
            slot,
            value,
            without: change.without,
            until: context.now.as_millis() + CHANGE_WAIT,
        };
        self.agreement
            .proposer
            .begin(context, &self.agreement.membership, intent);
    }

    /// Whether those that stay are enough to vote in the next set and to teach its newcomer: a member that does not
    /// remember yet is neither a voter nor a teacher.
    fn can_do_without(&self, change: &Change) -> bool {
        let set = self.agreement.membership.set();
        let (now, me) = (self.context.now.as_millis(), self.context.node);
        let votes = |m: &&NodeId| **m == me || self.agreement.replicas.is_voter(now, set, **m);
        let stay = set
            .members
            .iter()
            .filter(|m| Some(**m) != change.without)
            .filter(votes)
            .count();
        stay >= change.next.majority().max(change.next.snapshot_quorum())
    }

    fn adopt_chosen_set(&mut self) {
        let set = self.agreement.membership.set();
        let slot = Slot::VotingSet(set.epoch.next());
        let Some(accepted) = self.agreement.acceptor.accepted(slot) else {
            return;
        };
        let own = self.agreement.membership.votes()
            && self.agreement.acceptor.cast(slot) == Some(accepted.ballot);
        if !self.agreement.replicas.chosen(
            self.context.now.as_millis(),
            set,
            slot,
            accepted.ballot,
            own,
        ) {
            return;
        }
        if let Some(next) = VotingSet::from_value(&accepted.value) {
            self.agreement.membership.told(&mut self.context, next);
        }
    }

    fn heard(&mut self, peer: NodeId, message: Message) {
        let number = self.agreement.membership.set().epoch;
        match message {
            Message::VotingSet(set) => self.agreement.membership.told(&mut self.context, set),
            Message::ReplicaStatus {
                sent_at: stamp,
                echoed: echo,
                epoch: set,
                is_voter: votes,
                committed: in_force,
                votes: casts,
            } => {
                let held = HeldState {
                    stamp: stamp.as_millis(),
                    echo: echo.as_millis(),
                    set,
                    votes,
                    in_force,
                    casts,
                };
                self.agreement.replicas.heard(peer, held);
                // It has read nothing from here yet: with this one's stamp what it tells will count.
                if echo == Timestamp::from_millis(0) {
                    self.versions.tell(&mut self.context, peer, &self.agreement);
                }
            }
            Message::Prepare { epoch: set, .. }
            | Message::Promise { epoch: set, .. }
            | Message::Accept { epoch: set, .. }
            | Message::Reject { epoch: set, .. }
                if set != number =>
            {
                self.other_epoch(peer, set);
            }
            Message::Prepare {
                slot,
                ballot,
                removed: without,
                ..
            } => self.prepare(peer, slot, ballot, without),
            Message::Promise {
                slot,
                ballot,
                accepted,
                ..
            } => {
                let (context, membership) = (&mut self.context, &self.agreement.membership);
                self.agreement
                    .proposer
                    .promised(context, membership, peer, slot, ballot, accepted);
            }
            Message::Accept { slot, proposal, .. } => self.accept(peer, slot, proposal),
            Message::Reject { slot, promised, .. } => {
                self.agreement.proposer.refused(
                    self.context.now.as_millis(),
                    &self.agreement.membership,
                    slot,
                    promised,
                );
            }
            Message::ReadRequest { token, .. } => {
                let highest = self.versions.highest(&self.agreement.acceptor);
                let votes = self.agreement.membership.votes();
                self.context.send(
                    peer,
                    Message::ReadResponse {
                        token,
                        epoch: number,
                        is_voter: votes,
                        highest_accepted: ConfigurationVersion(highest),
                    },
                );
            }
            Message::ReadResponse {
                token,
                epoch: set,
                is_voter: votes,
                highest_accepted: highest,
            } if set == number => {
                self.versions.told_held(peer, token, votes, highest);
            }
            Message::SnapshotRequest { epoch: set, after }
                if self.agreement.membership.votes_in() == Some(set.0) =>
            {
                let held = (&self.claims, &self.agreement.acceptor);
                self.lessons
                    .teach(&mut self.context, peer, set, after, held);
            }
            Message::SnapshotChunk(lesson) => {
                let (keys, acceptor) = (&mut self.claims, &mut self.agreement.acceptor);
                let (membership, in_force) =
                    (&mut self.agreement.membership, self.versions.version());
                self.lessons.take(
                    &mut self.context,
                    peer,
                    lesson,
                    membership,
                    (keys, acceptor),
                    ConfigurationVersion(in_force),
                );
            }
            Message::LearnerInvitation { epoch: set } => {
                self.agreement
                    .membership
                    .invited(&mut self.context, peer, set)
            }
            Message::LearnerReady { epoch: set } => {
                self.agreement.membership.spare_learned(peer, set)
            }
            Message::ShuttingDown => self.agreement.membership.peer_leaves(peer),
            _ => {}
        }
    }

    fn prepare(&mut self, peer: NodeId, slot: Slot, ballot: Ballot, without: Option<NodeId>) {
        let membership = &self.agreement.membership;
        let (set, agrees) = (
            membership.set().epoch,
            membership.votes() && membership.may_leave_out(without),
        );
        if agrees && self.is_open(peer, slot) {
            self.agreement
                .acceptor
                .prepare(&mut self.context, peer, set, slot, ballot);
        }
    }

    /// A message of another set's epoch counts for nothing; who is behind is told of the newer set.
    fn other_epoch(&mut self, peer: NodeId, set: Epoch) {
        if set < self.agreement.membership.set().epoch {
            self.context.send(
                peer,
                Message::VotingSet(self.agreement.membership.set().clone()),
            );
        }
    }

    /// Whether a slot is still open here; who proposes for a settled one is told so.
    fn is_open(&mut self, peer: NodeId, slot: Slot) -> bool {
        let open = match slot {
            Slot::Configuration(version) => {
                version >= ConfigurationVersion(self.versions.version())
            }
            Slot::VotingSet(number) => number == self.agreement.membership.set().epoch.next(),
        };
        if !open {
            self.versions.tell(&mut self.context, peer, &self.agreement);
        }
        open
    }

    fn accept(&mut self, peer: NodeId, slot: Slot, proposal: Proposal) {
        let set = self.agreement.membership.set();
        let votes = self.agreement.membership.votes();
        let useful = match slot {
            Slot::Configuration(version) => {
                version >= ConfigurationVersion(self.versions.version())
            }
            Slot::VotingSet(number) => votes && number == set.epoch.next(),
        };
        if !useful {
            return;
        }
        let number = set.epoch;
        let chosen = self.agreement.replicas.chosen(
            self.context.now.as_millis(),
            set,
            slot,
            proposal.ballot,
            false,
        );
        let refused = self.agreement.acceptor.promised(slot) > proposal.ballot;
        let capacity = match (votes, chosen) {
            (true, true) if refused => Capacity::Chosen,
            (true, _) => Capacity::Voter,
            (false, true) => Capacity::Chosen,
            (false, false) => Capacity::Copy,
        };
        self.agreement
            .acceptor
            .accept(&mut self.context, peer, number, slot, proposal, capacity);
    }

    fn synced(&mut self, batch: BatchId) {
        let context = &mut self.context;
        let number = self.agreement.membership.set().epoch;
        match context.end_write(batch) {
            Some(PendingWrite::VotingSet(set)) => self.adopted(set),
            Some(PendingWrite::Promise {
                proposer: to,
                slot,
                ballot,
            }) if self.agreement.membership.votes() => {
                self.agreement
                    .acceptor
                    .promise_synced(context, number, to, slot, ballot);
            }
            Some(PendingWrite::Accepted { slot, ballot }) => {
                if self.agreement.acceptor.accept_synced(slot, ballot) {
                    self.versions.announce(&mut self.context, &self.agreement);
                }
            }
            Some(PendingWrite::Claim { key, claim }) => {
                let votes_in = self.agreement.membership.votes_in();
                self.claims
                    .claim_synced(context, votes_in.map(Epoch), key, claim);
            }
            Some(PendingWrite::Snapshot {
                keys,
                completed_epoch: complete,
            }) => self.taught(&keys, complete),
            Some(PendingWrite::Promise { .. } | PendingWrite::Untracked) | None => {}
        }
    }

    fn adopted(&mut self, set: VotingSet) {
        if !self.agreement.membership.adopted(&mut self.context, set) {
            return;
        }
        if !self.agreement.membership.remembers() {
            self.agreement.acceptor.stop_counting();
        }
        self.agreement.acceptor.prune(
            &mut self.context,
            PruneBounds {
                versions_below: ConfigurationVersion::NONE,
                epochs_through: self.agreement.membership.set().epoch,
            },
        );
        self.agreement
            .proposer
            .set_changed(self.context.now.as_millis());
        self.versions
            .set_changed(&mut self.context, &mut self.agreement);
    }

    /// What a voter taught is on this disk.
    fn taught(&mut self, keys: &[KeyDigest], complete: Option<Epoch>) {
        self.claims.install_synced(keys);
        let Some(set) = complete else { return };
        self.agreement
            .membership
            .lessons_synced(&mut self.context, set);
        if self.agreement.membership.votes() {
            self.agreement.acceptor.counts_synced();
            self.versions.announce(&mut self.context, &self.agreement);
        }
    }

    /// A write that the disk refused is no vote and no copy: it is taken back, and tried again where it must be.
    fn refused(&mut self, batch: BatchId) {
        let context = &mut self.context;
        match context.end_write(batch) {
            Some(PendingWrite::VotingSet(_)) => self.agreement.membership.set_refused(),
            Some(PendingWrite::Promise { slot, .. } | PendingWrite::Accepted { slot, .. }) => {
                self.agreement.acceptor.write_refused(slot);
            }
            Some(PendingWrite::Claim { key, claim }) => {
                self.claims.claim_refused(context, key, claim)
            }
            Some(PendingWrite::Snapshot { keys, .. }) => {
                self.claims.install_refused(&keys);
                self.agreement.membership.lesson_refused();
                self.lessons.refused();
            }
            Some(PendingWrite::Untracked) | None => {}
        }
    }

    /// The configuration that this replica knows to be committed.
    pub fn committed_configuration(&self) -> Option<CommittedConfiguration> {
        self.versions.in_force(&self.agreement.acceptor)
    }

    /// The voting set that this replica counts in.
    pub fn voting_set(&self) -> &VotingSet {
        self.agreement.membership.set()
    }

    /// Whether a majority of the set is in session with this replica, itself counted.
    pub fn has_quorum_contact(&self) -> bool {
        self.agreement.membership.in_company()
    }

    /// Whether a process that is to end may do so now: no standby could take its place in the set, or one has.
    pub fn may_shut_down(&self) -> bool {
        self.agreement.membership.may_end()
    }

    /// Who holds an operation key at this replica.
    pub fn claim_holder(&self, key: KeyDigest) -> Option<HeldClaim> {
        self.claims.holder(key)
    }

    /// How far this replica has come.
    pub fn summary(&self) -> ReplicaSummary {
        ReplicaSummary {
            voting_set: self.agreement.membership.set().clone(),
            has_complete_state: self.agreement.membership.remembers(),
            is_voter: self.agreement.membership.votes(),
            highest_accepted: ConfigurationVersion(self.versions.highest(&self.agreement.acceptor)),
            committed: ConfigurationVersion(self.versions.version()),
            claim_count: self.claims.len(),
            peers: self.agreement.membership.peers(),
        }
    }
}
