//! A small world: core directors with disks, frontend directors that claim one key, operators. What may happen next is a
//! list of moves; each is played on a copy.

use crate::moves::Move;
use crate::scenes::{Scene, TWIN};
use rushcourse_consensus::{ConsensusNode, DurableState, ReplicaSummary, WriteBatch};
use rushcourse_messages::{ClaimId, Message, NodeId, Slot, SlotRecord, VotingSet};
use rushcourse_routing::Claims;
use rushcourse_types::{ConfigurationVersion, Epoch, Incarnation, SessionId, Ticket, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// ms of one wait: the time for which votes count, so that five are longer than a wiped voter's silence.
pub(crate) const WAIT: u64 = 450;
/// `catch_up_s` of these worlds, ms: a member is missed for 0.6 of it, so that one wait is longer.
pub(crate) const CATCH_UP: u64 = 700;
/// Machines that these worlds are to bear the loss of.
pub(crate) const TOLERATED: usize = 1;
/// Operation keys bind longer than any world lasts.
pub(crate) const WINDOW: u64 = 60_000;
/// The time of day at the start, ms.
pub(crate) const DAY: u64 = 1_000_000;
pub(crate) const KEY: u128 = 7;
/// Numbers of claimants, and of tickets of reads, from here on.
pub(crate) const CLAIMANTS: NodeId = NodeId(100);
pub(crate) const READS: u64 = 1_000;
/// Lives of one core director at most; each has a number of its own.
pub(crate) const LIVES: u64 = 1_000;

/// What is on the way from one to the other.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Sent {
    Message(Message),
    /// The end of a session, or the beginning of one by its number, as the receiver will read it.
    Down,
    Up(SessionId),
}

#[derive(Clone, Debug)]
pub(crate) struct Core {
    pub register: Option<ConsensusNode>,
    pub stored: DurableState,
    /// The disk at the start of this world.
    pub old: DurableState,
    /// It never comes back; it is cut off; its process is held.
    pub gone: bool,
    pub apart: bool,
    pub frozen: bool,
    /// The sessions that this end knows of, by their numbers.
    pub sessions: BTreeMap<NodeId, SessionId>,
    pub writing: VecDeque<WriteBatch>,
    pub first: bool,
    /// How often it was started.
    pub incarnation: Incarnation,
    /// What this life had in force.
    pub in_force: ConfigurationVersion,
}

#[derive(Clone, Debug)]
pub(crate) struct Claimant {
    pub claims: Claims,
    pub begun: u32,
    pub won: Option<ClaimId>,
}

/// How often each may still happen.
#[derive(Clone, Debug)]
pub(crate) struct Left {
    pub powers: u32,
    pub wipes: u32,
    pub losses: u32,
    pub old_disks: u32,
    pub leaves: u32,
    pub cuts: u32,
    pub parts: u32,
    pub freezes: u32,
    pub waits: u32,
    pub reads: u32,
    pub puts: Vec<u64>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub(crate) now: u64,
    pub(crate) cores: BTreeMap<NodeId, Core>,
    pub(crate) claimants: BTreeMap<NodeId, Claimant>,
    pub(crate) links: BTreeMap<(NodeId, NodeId), VecDeque<Sent>>,
    /// The sessions that stand, by both ends, and the number of the last one.
    pub(crate) sessions: BTreeMap<(NodeId, NodeId), SessionId>,
    pub(crate) session: SessionId,
    pub(crate) left: Left,
    pub(crate) runs: u32,
    pub(crate) acked: u64,
    pub(crate) served: u64,
    /// The text in force under each number, at whichever director.
    pub(crate) texts: BTreeMap<u64, Arc<[u8]>>,
    /// Whose text each acknowledged order was, where no other was said to be in force.
    pub(crate) confirmed: BTreeMap<u64, u64>,
    /// What a read has to give at least, by ticket.
    pub(crate) floors: BTreeMap<Ticket, ConfigurationVersion>,
    pub(crate) sets: BTreeMap<u64, Vec<NodeId>>,
    /// The newest set that a core director adopted.
    pub(crate) newest: VotingSet,
    /// Who took whose place, in the newest set.
    pub(crate) replaced: BTreeMap<NodeId, NodeId>,
    /// What each told the other last of its votes, while the session stands.
    pub(crate) told: BTreeMap<(NodeId, NodeId), Message>,
    /// Orders that wait for their answer, and the core director that has them.
    pub(crate) open: BTreeMap<Ticket, NodeId>,
    pub(crate) broken: Option<String>,
}

impl Left {
    fn of(scene: &Scene) -> Left {
        Left {
            powers: scene.powers,
            wipes: scene.wipes,
            losses: scene.losses,
            old_disks: scene.old_disks,
            leaves: scene.leaves,
            cuts: scene.cuts,
            parts: scene.parts,
            freezes: scene.freezes,
            waits: scene.waits,
            reads: scene.reads,
            puts: scene.puts.to_vec(),
        }
    }
}

/// A core director before its start; spares are no members of the set that is there.
fn core(scene: &Scene, set: &VotingSet, n: NodeId) -> Core {
    let there = DurableState {
        voting_set: set.clone(),
        has_complete_state: true,
        ..DurableState::default()
    };
    let is_empty = scene.first || !set.contains(n);
    let stored = if is_empty {
        DurableState::default()
    } else {
        there
    };
    Core {
        register: None,
        old: stored.clone(),
        stored,
        gone: false,
        apart: false,
        frozen: false,
        sessions: BTreeMap::new(),
        writing: VecDeque::new(),
        first: scene.first,
        incarnation: Incarnation(0),
        in_force: ConfigurationVersion(0),
    }
}

/// The number that a put is of, and its text.
pub(crate) fn version(put: u64) -> u64 {
    put % TWIN
}

pub(crate) fn text(put: u64) -> Arc<[u8]> {
    Arc::from(put.to_string().as_bytes())
}

/// Each core director stands in a zone of its own.
pub(crate) fn zone(n: NodeId) -> Arc<str> {
    format!("zone-{n}").into()
}

/// Whether a disk's record is of an accepted text of this number or a higher one.
pub(crate) fn is_accepted(SlotRecord { slot, record }: &SlotRecord, number: u64) -> bool {
    matches!(slot, Slot::Configuration(v) if *v >= ConfigurationVersion(number))
        && record.accepted.is_some()
}

/// Whether this is a text that was sent under its number.
pub(crate) fn sent_as(number: u64, sent: &[u8]) -> bool {
    [text(number), text(number + TWIN)]
        .iter()
        .any(|t| **t == *sent)
}

impl World {
    pub fn new(scene: &Scene) -> World {
        let members: Vec<NodeId> = (1..=scene.cores).map(NodeId).collect();
        let set = VotingSet {
            epoch: Epoch(1),
            members: members.clone(),
        };
        let claimant = |n: NodeId| {
            let mut claims = Claims::new(n, Incarnation(1));
            claims.voting_set_reported(Timestamp::ZERO, NodeId(1), set.clone(), |_| true);
            Claimant {
                claims,
                begun: 0,
                won: None,
            }
        };
        let mut world = World {
            now: 0,
            cores: (1..=scene.cores + scene.spares)
                .map(NodeId)
                .map(|n| (n, core(scene, &set, n)))
                .collect(),
            claimants: (0..scene.claimants)
                .map(|n| NodeId(CLAIMANTS.0 + n))
                .map(|n| (n, claimant(n)))
                .collect(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            session: SessionId(0),
            left: Left::of(scene),
            runs: 0,
            acked: 0,
            served: 0,
            texts: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            floors: BTreeMap::new(),
            sets: BTreeMap::from([(1, members)]),
            newest: set.clone(),
            replaced: BTreeMap::new(),
            told: BTreeMap::new(),
            open: BTreeMap::new(),
            broken: None,
        };
        if scene.first {
            (world.newest, world.sets) = (VotingSet::default(), BTreeMap::new());
        }
        for n in world.cores.keys().copied().collect::<Vec<_>>() {
            world.start(scene, None, n);
        }
        if !scene.first {
            world.quiet(scene, None);
        }
        world
    }

    /// The world behind the opening of a scene, from where it is explored.
    pub fn opened(scene: &Scene) -> World {
        let mut world = World::new(scene);
        for what in scene.opening {
            world.play(scene, None, *what);
        }
        world.left = Left::of(scene);
        world
    }

    /// The rule that is broken here, if one is.
    pub fn violation(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// The newest set that a core director adopted.
    pub fn newest_set(&self) -> &VotingSet {
        &self.newest
    }

    /// How far a core director has come, while it is up.
    pub fn ready(&self, n: NodeId) -> Option<ReplicaSummary> {
        self.cores
            .get(&n)?
            .register
            .as_ref()
            .map(ConsensusNode::summary)
    }

    pub fn moves(&self, scene: &Scene) -> Vec<Move> {
        let frozen = |n: &NodeId| self.cores.get(n).is_some_and(|c| c.frozen);
        let arrives = self
            .links
            .iter()
            .filter(|(l, queue)| !queue.is_empty() && !frozen(&l.1));
        let mut all: Vec<Move> = arrives.map(|((a, b), _)| Move::Deliver(*a, *b)).collect();
        for (n, core) in &self.cores {
            self.moves_of(*n, core, &mut all);
        }
        for (n, claimant) in &self.claimants {
            all.extend(claimant.won.is_some().then_some(Move::Send(*n)));
            let free = claimant.claims.is_idle() && claimant.won.is_none();
            all.extend((free && claimant.begun < scene.claims).then_some(Move::Begin(*n)));
        }
        all.extend(self.left.puts.iter().map(|v| Move::Put(*v)));
        all.extend((self.left.waits > 0).then_some(Move::Wait));
        all
    }

    fn moves_of(&self, n: NodeId, core: &Core, all: &mut Vec<Move>) {
        if core.register.is_none() {
            all.extend((!core.gone).then_some(Move::Start(n)));
            return;
        }
        let left = &self.left;
        if core.frozen {
            all.push(Move::Thaw(n));
        } else {
            all.extend((!core.writing.is_empty()).then_some(Move::Sync(n)));
            all.extend((left.freezes > 0).then_some(Move::Freeze(n)));
            all.extend((left.reads > 0 && self.acked > 0).then_some(Move::Get(n)));
        }
        if left.powers > 0 {
            all.push(Move::Power(n));
            all.extend((!core.writing.is_empty()).then_some(Move::Kill(n)));
        }
        if self.may_lose(n) {
            all.extend((left.wipes > 0).then_some(Move::Wipe(n)));
            all.extend((left.losses > 0).then_some(Move::Lose(n)));
        }
        let removed = self.newest.epoch > Epoch(0) && !self.newest.contains(n);
        all.extend(
            (left.old_disks > 0 && removed && core.old.has_complete_state)
                .then_some(Move::OldDisk(n)),
        );
        all.extend((left.leaves > 0 && self.newest.contains(n)).then_some(Move::Leave(n)));
        if core.apart {
            all.push(Move::Join(n));
        } else {
            all.extend((left.parts > 0).then_some(Move::Part(n)));
        }
        if left.cuts > 0 {
            let up = self
                .cores
                .iter()
                .filter(|(m, c)| **m > n && c.register.is_some() && !c.apart);
            all.extend(up.filter(|_| !core.apart).map(|(m, _)| Move::Cut(n, *m)));
        }
    }

    /// A minority of disks may be lost at once, and is until it has been taught or replaced.
    fn may_lose(&self, n: NodeId) -> bool {
        let lost = |m: &&NodeId| {
            **m != n
                && self
                    .cores
                    .get(*m)
                    .is_none_or(|c| c.gone || !c.stored.has_complete_state)
        };
        let members = &self.newest.members;
        let most = members.len().saturating_sub(1) / 2;
        let known = self.newest.epoch > Epoch(0) && !self.newest.contains(n);
        known || members.iter().filter(lost).count() < most.max(1)
    }
}
