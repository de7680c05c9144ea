//! The step: inputs go to their part, what a disk has synced comes back to where it belongs.

use crate::acceptor::{Acceptor, Capacity};
use crate::agreement::Agreement;
use crate::context::{Context, Waits};
use crate::effects::{Claim, Effect, Stored};
use crate::keys::{Asker, Keys};
use crate::lessons::Lessons;
use crate::membership::{Change, Membership, Setup};
use crate::proposer::{Intent, Proposer};
use crate::replicas::{HeldState, Replicas};
use crate::versions::Versions;
use rushcourse_messages::{Ballot, ClaimId, Message, NodeId, Proposal, Slot, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest, SessionId, Ticket, Timestamp};
use std::sync::Arc;

/// ms for which a change of the set is tried before the need for it is looked at again.
const CHANGE_WAIT: u64 = 1_000;

#[derive(Clone, Debug)]
pub enum Input {
    /// A session with a controller stands, or broke.
    Up {
        peer: NodeId,
        zone: Arc<str>,
    },
    Down(NodeId),
    Heard(NodeId, Message),
    /// The disk holds a batch, or refused it.
    Synced(u64),
    Refused(u64),
    /// A checked configuration of an operator.
    Put {
        ticket: Ticket,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
    },
    Get {
        ticket: Ticket,
    },
    /// A frontend director's claim, by its session.
    Claim {
        session: SessionId,
        set: Epoch,
        key: KeyDigest,
        claim: ClaimId,
    },
    Withdraw {
        key: KeyDigest,
        claim: ClaimId,
    },
    /// The process is to end: a spare may take its place.
    Leave,
    Tick,
}

/// How far a replica has come, for its pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ready {
    pub set: VotingSet,
    pub remembers: bool,
    pub votes: bool,
    /// The highest version that it has accepted.
    pub held: u64,
    pub in_force: ConfigurationVersion,
    pub claims: usize,
    pub peers: Vec<NodeId>,
}

#[derive(Clone, Debug)]
pub struct Register {
    context: Context,
    agreement: Agreement,
    versions: Versions,
    keys: Keys,
    lessons: Lessons,
    started: bool,
}

impl Register {
    pub fn new(setup: Setup, stored: Stored) -> Register {
        let Stored {
            set,
            remembers,
            records,
            claims,
            hosts: _,
        } = stored;
        Register {
            context: Context::new(setup.me),
            lessons: Lessons::new(setup.incarnation),
            keys: Keys::new(setup.key_window_ms, claims),
            agreement: Agreement {
                proposer: Proposer::new(setup.incarnation),
                membership: Membership::new(setup, set, remembers),
                acceptor: Acceptor::new(records),
                replicas: Replicas::default(),
            },
            versions: Versions::default(),
            started: false,
        }
    }

    /// One input at a steady clock (`now`, ms) and the time of day (`wall`, ms since 1970; only for pages).
    pub fn step(&mut self, now: u64, wall: u64, input: Input) -> Vec<Effect> {
        (self.context.now, self.context.wall) = (now, wall);
        if !self.started {
            self.started = true;
            self.keys.start(now);
        }
        self.take(input);
        while let Some(message) = self.context.local.pop_front() {
            self.heard(self.context.me, message);
        }
        self.adopt_chosen_set();
        self.versions.settle(&mut self.context, &mut self.agreement);
        std::mem::take(&mut self.context.out)
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Up { peer, zone } => {
                self.agreement.membership.up(&mut self.context, peer, zone);
                self.versions.tell(&mut self.context, peer, &self.agreement);
            }
            Input::Down(peer) => self.down(peer),
            Input::Heard(peer, message) => self.heard(peer, message),
            Input::Synced(batch) => self.synced(batch),
            Input::Refused(batch) => self.refused(batch),
            Input::Put {
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
            Input::Get { ticket } => {
                self.versions
                    .get(&mut self.context, ticket, &self.agreement);
            }
            Input::Claim {
                session,
                set,
                key,
                claim,
            } => {
                let votes = self.agreement.membership.votes_in() == Some(set.0);
                self.keys
                    .claim(&mut self.context, votes, Asker { session, set }, key, claim);
            }
            Input::Withdraw { key, claim } => self.keys.withdraw(&mut self.context, key, claim),
            Input::Leave => self.agreement.membership.leave(&mut self.context),
            Input::Tick => self.tick(),
        }
    }

    fn down(&mut self, peer: NodeId) {
        self.agreement.membership.down(self.context.now, peer);
        self.agreement.replicas.forget(peer);
        self.versions.down(peer);
        self.lessons.down(peer);
    }

    fn tick(&mut self) {
        self.agreement.membership.tick(&mut self.context);
        self.change_set();
        let voters = self.agreement.membership.ask_for_lessons(self.context.now);
        self.lessons.ask(
            &mut self.context,
            self.agreement.membership.set().epoch,
            voters,
        );
        self.agreement
            .proposer
            .tick(&mut self.context, &self.agreement.membership);
        self.versions.tick(&mut self.context, &mut self.agreement);
        self.keys.tick(&mut self.context);
    }

    /// Brings about a change of the set that is due: the spare is taught first, then the change is proposed.
    fn change_set(&mut self) {
        let Some(change) = self.agreement.membership.change_due(self.context.now) else {
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
        context.say(format!(
            "event=set_change number={} with={}",
            change.next.epoch, change.with
        ));
        let value = change.next.to_value();
        let intent = Intent {
            slot,
            value,
            without: change.without,
            until: context.now + CHANGE_WAIT,
        };
        self.agreement
            .proposer
            .begin(context, &self.agreement.membership, intent);
    }

    /// Whether those that stay are enough to vote in the next set and to teach its newcomer: a member that does not
    /// remember yet is neither a voter nor a teacher.
    fn can_do_without(&self, change: &Change) -> bool {
        let set = self.agreement.membership.set();
        let (now, me) = (self.context.now, self.context.me);
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
        if !self
            .agreement
            .replicas
            .chosen(self.context.now, set, slot, accepted.ballot, own)
        {
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
                    self.context.now,
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
                let held = (&self.keys, &self.agreement.acceptor);
                self.lessons
                    .teach(&mut self.context, peer, set, after, held);
            }
            Message::SnapshotChunk(lesson) => {
                let (keys, acceptor) = (&mut self.keys, &mut self.agreement.acceptor);
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
        let chosen =
            self.agreement
                .replicas
                .chosen(self.context.now, set, slot, proposal.ballot, false);
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

    fn synced(&mut self, batch: u64) {
        let context = &mut self.context;
        let number = self.agreement.membership.set().epoch;
        match context.done(batch) {
            Some(Waits::Set(set)) => self.adopted(set),
            Some(Waits::Promise { to, slot, ballot }) if self.agreement.membership.votes() => {
                self.agreement
                    .acceptor
                    .promise_synced(context, number, to, slot, ballot);
            }
            Some(Waits::Accepted { slot, ballot }) => {
                if self.agreement.acceptor.accept_synced(slot, ballot) {
                    self.versions.announce(&mut self.context, &self.agreement);
                }
            }
            Some(Waits::Claim { key, claim }) => {
                let votes_in = self.agreement.membership.votes_in();
                self.keys.synced(context, votes_in, key, claim);
            }
            Some(Waits::Taught { keys, complete }) => self.taught(&keys, complete),
            Some(Waits::Promise { .. } | Waits::Nothing) | None => {}
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
            ConfigurationVersion(0),
            self.agreement.membership.set().epoch,
        );
        self.agreement.proposer.set_changed(self.context.now);
        self.versions
            .set_changed(&mut self.context, &mut self.agreement);
    }

    /// What a voter taught is on this disk.
    fn taught(&mut self, keys: &[KeyDigest], complete: Option<u64>) {
        self.keys.taught_synced(keys);
        let Some(set) = complete else { return };
        self.agreement
            .membership
            .lessons_synced(&mut self.context, Epoch(set));
        if self.agreement.membership.votes() {
            self.agreement.acceptor.counts_synced();
            self.versions.announce(&mut self.context, &self.agreement);
        }
    }

    /// A write that the disk refused is no vote and no copy: it is taken back, and tried again where it must be.
    fn refused(&mut self, batch: u64) {
        let context = &mut self.context;
        match context.done(batch) {
            Some(Waits::Set(_)) => self.agreement.membership.set_refused(),
            Some(Waits::Promise { slot, .. } | Waits::Accepted { slot, .. }) => {
                self.agreement.acceptor.write_refused(slot);
            }
            Some(Waits::Claim { key, claim }) => self.keys.refused(context, key, claim),
            Some(Waits::Taught { keys, .. }) => {
                self.keys.taught_refused(&keys);
                self.agreement.membership.lesson_refused();
                self.lessons.refused();
            }
            Some(Waits::Nothing) | None => {}
        }
    }

    pub fn in_force(&self) -> Option<(ConfigurationVersion, Arc<[u8]>)> {
        self.versions.in_force(&self.agreement.acceptor)
    }

    pub fn set(&self) -> &VotingSet {
        self.agreement.membership.set()
    }

    /// Whether a majority of the set is in session with this replica, itself counted.
    pub fn in_company(&self) -> bool {
        self.agreement.membership.in_company()
    }

    /// Whether a process that is to end may do so now: no spare could take its place in the set, or one has.
    pub fn may_end(&self) -> bool {
        self.agreement.membership.may_end()
    }

    /// The claim of a key that this replica holds, and whether its disk has it.
    pub fn held(&self, key: KeyDigest) -> Option<(Claim, bool)> {
        self.keys.held(key)
    }

    pub fn ready(&self) -> Ready {
        Ready {
            set: self.agreement.membership.set().clone(),
            remembers: self.agreement.membership.remembers(),
            votes: self.agreement.membership.votes(),
            held: self.versions.highest(&self.agreement.acceptor),
            in_force: ConfigurationVersion(self.versions.version()),
            claims: self.keys.len(),
            peers: self.agreement.membership.peers(),
        }
    }
}
