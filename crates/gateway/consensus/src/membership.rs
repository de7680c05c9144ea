//! The voting set, who of it remembers, and how it changes.
//!
//! Nobody is told how many core machines there are. At the first start the seed with the lowest address gathers who is
//! there and proposes set number 1 once; it holds it on its own disk before it tells it, so there is one number 1. From
//! then on set n + 1 is chosen by a majority of set n, by ballots, and differs from it by one member that takes the place
//! of another, or is added. The number is the epoch: votes, promises and claims carry it, and a replica that has adopted
//! a set refuses those of an earlier one.
//!
//! A member *remembers* if it has been a member without a gap since it last did, with its disk; or was taught. One that
//! does not remember (a newcomer, one that lost its disk, one that was out of the set for a while) casts no vote until
//! `VotingSet::teachers` other members that remember, and that have adopted this very set, have told it what they hold.
//!
//! **Invariant.** With `f` members that don't remember: each claim that was won, and each proposal that was chosen, in
//! this set or an earlier one, is held by at least `majority - f` of the members that remember.
//! - Winning or choosing: a majority votes, and only members that remember do.
//! - A disk lost: one holder less, `f` one more. One taught: it asked `size - majority + 1` members that remember; of
//!   these `size - f` at least `majority - f` hold it; so one of the teachers does, and `f` is one less.
//! - A member replaced: one holder less at most, and the newcomer doesn't remember: `f` one more. One added: the majority
//!   grows by one at most, and `f` by one.
//! - A vote of set n that is given after its voter's teaching of n + 1 does not exist: the teacher has adopted n + 1.
//!
//! So two claims of one key can't both be won, within a set or across sets: the second one needs a majority of members that
//! remember, `size - f` of them, and shares one with the holders of the first.

use crate::context::{Context, PendingWrite};
use crate::durable_state::{PruneBounds, WriteOperation};
use crate::effect::Effect;
use crate::log_event::LogEvent;
use crate::setup::Setup;
use rushcourse_messages::{Message, NodeId, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// ms after its start, and after the last replica that came, until the first set is proposed (ours: sessions of
/// machines that start together stand within some hundred ms; the operator's first configuration waits for it).
const GATHER: u64 = 900;
const GATHER_QUIET: u64 = 300;
/// ms after its start before a member that doesn't remember asks to be taught: longer than votes and promises that it
/// may have given before the loss are counted (`VOTE_WAIT` of `rushcourse-routing`, 450; `proposer::BALLOT_WAIT`, 800;
/// `replicas::TOLD_COUNTS`, 1,700), so that each has come to something or to nothing by then.
pub(crate) const FORGOT_WAIT: u64 = 2_200;
/// ms between two requests for lessons, and between two invitations of a spare.
const ASK_EVERY: u64 = 400;
/// ms for which a spare goes on asking after it was invited.
const LEARN_WAIT: u64 = 3_000;
/// ms that each place in the set adds before a change is proposed, so that one proposer begins.
const CHANGE_RANK: u64 = 300;
/// Share of `catch_up_s` for which a voter is missed before a spare takes its place. The rest is left for teaching, so
/// that the next loss is borne `catch_up_s` after the first; a shorter absence (a restart, a freeze, a short cut) changes
/// nothing.
const ABSENT_SHARE: f64 = 0.6;
/// Voters of the first set at most, where `fault_tolerance` doesn't want more (ours): each claim costs a vote of each.
const VOTERS_MOST: usize = 5;
/// Voters that are wanted at least: fewer can't lose one.
const VOTERS_LEAST: usize = 3;

/// A change of the set that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub next: VotingSet,
    pub with: NodeId,
    pub without: Option<NodeId>,
}

#[derive(Clone, Debug)]
pub(crate) struct Membership {
    setup: Setup,
    set: VotingSet,
    /// Number of a set that is being written.
    writing: u64,
    remembers: bool,
    /// Members that have taught this replica since it adopted the set.
    taught_by: BTreeSet<NodeId>,
    /// What was taught is being written.
    teaching: bool,
    asked_at: u64,
    /// A spare asks for lessons until then.
    learning_until: u64,
    /// The set whose voters have taught this spare.
    learned: u64,
    started: Option<u64>,
    last_up: u64,
    /// Replicas in session, and their zones.
    peers: BTreeMap<NodeId, Arc<str>>,
    absent_since: BTreeMap<NodeId, u64>,
    /// Replicas that said that they end.
    leaving: BTreeSet<NodeId>,
    leaves: bool,
    /// Spares that have been taught, and by the voters of which set.
    spares_learned: BTreeMap<NodeId, Epoch>,
    invited_at: u64,
}

impl Membership {
    pub fn new(setup: Setup, set: VotingSet, remembers: bool) -> Membership {
        Membership {
            setup,
            set,
            writing: 0,
            remembers,
            taught_by: BTreeSet::new(),
            teaching: false,
            asked_at: 0,
            learning_until: 0,
            learned: 0,
            started: None,
            last_up: 0,
            peers: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            leaving: BTreeSet::new(),
            leaves: false,
            spares_learned: BTreeMap::new(),
            invited_at: 0,
        }
    }

    pub fn set(&self) -> &VotingSet {
        &self.set
    }

    pub fn remembers(&self) -> bool {
        self.remembers
    }

    pub fn is_member(&self) -> bool {
        self.set.contains(self.setup.node)
    }

    /// Whether this replica casts votes in its set.
    pub fn votes(&self) -> bool {
        self.remembers && self.set.epoch > Epoch(0) && self.is_member()
    }

    /// The number of the set that this replica votes in.
    pub fn votes_in(&self) -> Option<u64> {
        self.votes().then_some(self.set.epoch.0)
    }

    pub fn peers(&self) -> Vec<NodeId> {
        self.peers.keys().copied().collect()
    }

    fn is_here(&self, node: NodeId) -> bool {
        node == self.setup.node || self.peers.contains_key(&node)
    }

    /// Members of the set that are in session with this replica, itself counted.
    pub fn reached_members(&self) -> Vec<NodeId> {
        self.set
            .members
            .iter()
            .copied()
            .filter(|m| self.is_here(*m))
            .collect()
    }

    pub fn in_company(&self) -> bool {
        self.set.epoch > Epoch(0) && self.reached_members().len() >= self.set.majority()
    }

    /// This replica's place among the members that are in session; spares come last.
    pub fn rank(&self) -> u64 {
        let reached = self.reached_members();
        reached
            .iter()
            .position(|m| *m == self.setup.node)
            .unwrap_or(reached.len()) as u64
    }

    pub fn up(&mut self, context: &mut Context, peer: NodeId, zone: Arc<str>) {
        self.peers.insert(peer, zone);
        self.absent_since.remove(&peer);
        self.leaving.remove(&peer);
        self.last_up = context.now.as_millis();
        if self.set.epoch > Epoch(0) {
            context.send(peer, Message::VotingSet(self.set.clone()));
        }
        if self.leaves {
            context.send(peer, Message::ShuttingDown);
        }
    }

    pub fn down(&mut self, now: u64, peer: NodeId) {
        self.peers.remove(&peer);
        self.spares_learned.remove(&peer);
        self.absent_since.insert(peer, now);
        if !self.set.contains(peer) {
            self.leaving.remove(&peer);
            self.absent_since.remove(&peer);
        }
    }

    pub fn peer_leaves(&mut self, peer: NodeId) {
        if self.peers.contains_key(&peer) {
            self.leaving.insert(peer);
        }
    }

    /// This replica is about to end: the others may put a spare in its place.
    pub fn leave(&mut self, context: &mut Context) {
        self.leaves = true;
        for peer in self.peers() {
            context.send(peer, Message::ShuttingDown);
        }
    }

    /// Whether nothing is gained by waiting: it is no member, or no spare could take its place.
    pub fn may_end(&self) -> bool {
        !self.is_member() || self.spares().next().is_none()
    }

    // The set.

    /// A set that another replica has adopted, or that is chosen.
    pub fn told(&mut self, context: &mut Context, set: VotingSet) {
        if set.epoch > self.set.epoch && set.epoch > Epoch(self.writing) {
            self.write(context, set);
        }
    }

    /// Whether this replica goes on remembering as a member of `next`. At the first start there is nothing that it could
    /// have forgotten: no claim was ever granted.
    fn will_remember(&self, next: &VotingSet) -> bool {
        let first =
            self.setup.is_first_start && self.set.epoch == Epoch(0) && next.epoch == Epoch(1);
        let follows = self.set.epoch > Epoch(0) && next.epoch == self.set.epoch.next();
        next.contains(self.setup.node) && (first || follows && self.is_member() && self.remembers)
    }

    fn write(&mut self, context: &mut Context, set: VotingSet) {
        self.writing = set.epoch.0;
        let remembers = if self.will_remember(&set) {
            WriteOperation::MarkStateComplete
        } else {
            WriteOperation::MarkStateIncomplete
        };
        let prune = WriteOperation::PruneRecords(PruneBounds {
            versions_below: ConfigurationVersion::NONE,
            epochs_through: set.epoch,
        });
        context.write(
            vec![
                WriteOperation::StoreVotingSet(set.clone()),
                remembers,
                prune,
            ],
            PendingWrite::VotingSet(set),
        );
    }

    pub fn set_refused(&mut self) {
        self.writing = self.set.epoch.0;
    }

    /// The disk holds the set. True if this replica counts in it from now on.
    pub fn adopted(&mut self, context: &mut Context, set: VotingSet) -> bool {
        if set.epoch <= self.set.epoch {
            return false;
        }
        self.remembers = self.will_remember(&set);
        self.set = set;
        self.taught_by.clear();
        self.teaching = false;
        self.asked_at = 0;
        self.spares_learned.clear();
        self.absent_since.retain(|node, _| self.set.contains(*node));
        // Frontend directors hear of it before any vote is refused for its sake.
        context.push(Effect::VotingSetAdopted(self.set.clone()));
        for peer in self.peers() {
            context.send(peer, Message::VotingSet(self.set.clone()));
        }
        context.log(LogEvent::VotingSetAdopted {
            voting_set: self.set.clone(),
            has_complete_state: self.remembers,
        });
        true
    }

    fn proposes_first(&self, now: u64, age: u64) -> bool {
        self.setup.is_first_start
            && self.setup.seeds.iter().min() == Some(&self.setup.node)
            && self.setup.seeds.iter().all(|seed| self.is_here(*seed))
            && age >= GATHER
            && now >= self.last_up + GATHER_QUIET
    }

    /// The first set: all that are here, or as many as are to vote, spread over zones.
    fn first_set(&self) -> VotingSet {
        let mut left: BTreeMap<NodeId, Arc<str>> = self.peers.clone();
        left.insert(self.setup.node, self.setup.zone.clone());
        let most = VOTERS_MOST.max(2 * self.setup.tolerated_losses + 1);
        let mut by_zone: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut members = Vec::new();
        while members.len() < most {
            let fewest = |m: &&NodeId| (by_zone.get(&left[*m]).copied().unwrap_or(0), **m);
            let Some(member) = left.keys().min_by_key(fewest).copied() else {
                break;
            };
            let zone = left.remove(&member).unwrap_or_default();
            *by_zone.entry(zone).or_default() += 1;
            members.push(member);
        }
        members.sort_unstable();
        VotingSet {
            epoch: Epoch(1),
            members,
        }
    }

    // Changes.

    /// Replicas in session that are no members, and stay.
    fn spares(&self) -> impl Iterator<Item = NodeId> {
        let spare = |n: &NodeId| !self.set.contains(*n) && !self.leaving.contains(n);
        self.peers.keys().copied().filter(spare)
    }

    fn absent_bound(&self) -> u64 {
        (self.setup.catch_up.as_millis() as f64 * ABSENT_SHARE) as u64
    }

    /// When a member's place is to be taken by this replica's proposal, if it is missed.
    fn due_at(&self, member: NodeId) -> Option<u64> {
        let delay = self.rank() * CHANGE_RANK;
        if self.leaving.contains(&member) {
            return Some(delay);
        }
        if self.is_here(member) {
            return None;
        }
        let since = self
            .absent_since
            .get(&member)
            .copied()
            .or(self.started)
            .unwrap_or(0);
        Some(since + self.absent_bound() + delay)
    }

    /// Whether this replica, asked for a promise, agrees that a member is left out.
    pub fn may_leave_out(&self, member: Option<NodeId>) -> bool {
        member.is_none_or(|m| match m == self.setup.node {
            true => self.leaves,
            false => self.leaving.contains(&m) || !self.peers.contains_key(&m),
        })
    }

    /// The spare that is taken first: of a zone with the fewest voters.
    fn best_spare(&self, without: Option<NodeId>) -> Option<NodeId> {
        let others = self.set.members.iter().filter(|m| Some(**m) != without);
        let zones: Vec<&Arc<str>> = others.filter_map(|m| self.zone_of(*m)).collect();
        let voters = |spare: &NodeId| {
            let zone = self.zone_of(*spare);
            zones.iter().filter(|z| Some(**z) == zone).count()
        };
        self.spares().min_by_key(|s| (voters(s), *s))
    }

    fn zone_of(&self, node: NodeId) -> Option<&Arc<str>> {
        if node == self.setup.node {
            Some(&self.setup.zone)
        } else {
            self.peers.get(&node)
        }
    }

    /// The change that this replica is to bring about now, if there is one.
    pub fn change_due(&self, now: u64) -> Option<Change> {
        if !self.votes() || !self.in_company() || self.leaves {
            return None;
        }
        let due = |m: &NodeId| self.due_at(*m).filter(|at| now >= *at).map(|at| (at, *m));
        let without = self.set.members.iter().filter_map(due).min().map(|d| d.1);
        let wanted = VOTERS_LEAST.max(2 * self.setup.tolerated_losses + 1);
        if without.is_none() && self.set.members.len() >= wanted {
            return None;
        }
        let with = self.best_spare(without)?;
        let stay = self
            .set
            .members
            .iter()
            .copied()
            .filter(|m| Some(*m) != without);
        let mut members: Vec<NodeId> = stay.chain([with]).collect();
        members.sort_unstable();
        Some(Change {
            next: VotingSet {
                epoch: self.set.epoch.next(),
                members,
            },
            with,
            without,
        })
    }

    pub fn has_learned(&self, spare: NodeId) -> bool {
        self.spares_learned.get(&spare) == Some(&self.set.epoch)
    }

    /// Asks a spare to be taught, now and then.
    pub fn invite(&mut self, context: &mut Context, spare: NodeId) {
        if context.now.as_millis() >= self.invited_at + ASK_EVERY {
            self.invited_at = context.now.as_millis();
            context.send(
                spare,
                Message::LearnerInvitation {
                    epoch: self.set.epoch,
                },
            );
        }
    }

    pub fn spare_learned(&mut self, spare: NodeId, set: Epoch) {
        self.spares_learned.insert(spare, set);
    }

    // Being taught.

    /// This spare is asked to be taught.
    pub fn invited(&mut self, context: &mut Context, from: NodeId, set: Epoch) {
        if set != self.set.epoch || self.is_member() {
            return;
        }
        if self.learned == set.0 {
            context.send(from, Message::LearnerReady { epoch: set });
        } else {
            self.learning_until = context.now.as_millis() + LEARN_WAIT;
        }
    }

    /// Whether what voters of the set tell is wanted now.
    pub fn is_learning(&self, now: u64) -> bool {
        let age = now.saturating_sub(self.started.unwrap_or(now));
        let lost = self.is_member() && !self.remembers && age >= FORGOT_WAIT;
        let spare =
            !self.is_member() && now < self.learning_until && self.learned != self.set.epoch.0;
        !self.teaching && self.set.epoch > Epoch(0) && (lost || spare)
    }

    /// The voters to ask for lessons now.
    pub fn ask_for_lessons(&mut self, now: u64) -> Vec<NodeId> {
        if !self.is_learning(now) || now < self.asked_at + ASK_EVERY {
            return Vec::new();
        }
        self.asked_at = now;
        self.set
            .members
            .iter()
            .copied()
            .filter(|m| self.peers.contains_key(m))
            .collect()
    }

    /// One more voter has taught this replica. The set's number once they are enough.
    pub fn lesson(&mut self, from: NodeId) -> Option<u64> {
        self.taught_by.insert(from);
        let enough = self.taught_by.len() >= self.set.snapshot_quorum();
        self.teaching = enough;
        enough.then_some(self.set.epoch.0)
    }

    pub fn lesson_refused(&mut self) {
        self.teaching = false;
        self.taught_by.clear();
    }

    /// The disk holds all that was taught by voters of this set.
    pub fn lessons_synced(&mut self, context: &mut Context, set: Epoch) {
        if set != self.set.epoch || !self.teaching {
            return;
        }
        self.teaching = false;
        if self.is_member() {
            self.remembers = true;
            context.log(LogEvent::SnapshotInstalled {
                epoch: set,
                senders: self.taught_by.len(),
            });
        } else {
            self.learned = set.0;
            for peer in self.peers() {
                context.send(peer, Message::LearnerReady { epoch: set });
            }
        }
        self.taught_by.clear();
    }

    pub fn tick(&mut self, context: &mut Context) {
        let started = *self.started.get_or_insert(context.now.as_millis());
        let age = context.now.as_millis() - started;
        if self.set.epoch == Epoch(0)
            && self.writing == 0
            && self.proposes_first(context.now.as_millis(), age)
        {
            let set = self.first_set();
            self.write(context, set);
        }
    }
}
