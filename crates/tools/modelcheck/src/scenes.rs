//! What is explored: how many directors, which calls, how many faults; and what is broken on purpose.

use crate::moves::Move::{self, Cut, Deliver, Freeze, Part, Put, Settle, Sync, Wait, Wipe};
use rushcourse_types::NodeId;

/// Puts from here on are of the numbers from 0 on once more, with other texts.
pub const TWIN: u64 = 101;

/// A defence taken out on purpose: exploring has to find the rule that it keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// A disk that was emptied votes as if it had forgotten nothing (TWICE).
    VoteAfterWipe,
    /// An operator is answered once half of the disks hold a version (LOST).
    AcknowledgeAtHalf,
    /// The disk says that it holds a batch before it does (TWICE, LOST).
    AnswerBeforeSync,
    /// Votes on a claim count however late they are looked at (TWICE).
    VotesWithoutEnd,
    /// Disks that hold another text under the same number count for one's own (CONFIG).
    TwinTextsCount,
    /// Votes of different sets add up (TWICE).
    EpochUnchecked,
    /// A newcomer is taken in untaught, and votes at once (TWICE).
    LearnerCounts,
    /// The vote of one whose place was taken counts for its successor's (TWICE).
    RemovedCounts,
    /// What others told of their votes counts without end (CONFIG).
    ToldWithoutEnd,
    /// A proposer brings its text without a promise (CONFIG).
    BallotsSkipped,
}

impl Broken {
    pub fn name(self) -> &'static str {
        match self {
            Broken::VoteAfterWipe => "vote-after-wipe",
            Broken::AcknowledgeAtHalf => "acknowledge-at-half",
            Broken::AnswerBeforeSync => "answer-before-sync",
            Broken::VotesWithoutEnd => "votes-without-end",
            Broken::TwinTextsCount => "twin-texts-count",
            Broken::EpochUnchecked => "epoch-unchecked",
            Broken::LearnerCounts => "learner-counts",
            Broken::RemovedCounts => "removed-counts",
            Broken::ToldWithoutEnd => "told-without-end",
            Broken::BallotsSkipped => "ballots-skipped",
        }
    }
}

/// One world to explore.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub name: &'static str,
    /// Core directors, 2 to 5, that are members of the set which is there, and those that aren't.
    pub cores: u32,
    pub spares: u32,
    /// Frontend directors that claim one key, and claims that each begins at most.
    pub claimants: u32,
    pub claims: u32,
    /// Versions that operators put, each at another core director; reads at most.
    pub puts: &'static [u64],
    pub reads: u32,
    /// Losses of power, of disks, and of machines for good; older disks put back; machines that leave; at most.
    pub powers: u32,
    pub wipes: u32,
    pub losses: u32,
    pub old_disks: u32,
    pub leaves: u32,
    /// Sessions that break, machines that are cut off, processes that are held, at most.
    pub cuts: u32,
    pub parts: u32,
    pub freezes: u32,
    /// Waits of 450 ms at most.
    pub waits: u32,
    /// Whether the set is made in this world, or there from the start.
    pub first: bool,
    /// Whether what core directors say to each other arrives at once: fewer orders, seen deeper.
    pub eager: bool,
    /// Whether an end of a session hears of its break only once it has read all that came before.
    pub late: bool,
    /// What happens before the exploring begins; its faults and waits are not counted.
    pub opening: &'static [Move],
    /// Each of how many walks is closed at its end, 0 for none: faults end, and all must come to rest.
    pub closed_each: usize,
    /// Walks by lot behind the breadth: as many as its broken variants want, and some more.
    pub walks: usize,
    /// Which broken variants it has to catch.
    pub catches: &'static [Broken],
}

impl Scene {
    /// Whether disks are lost in it.
    pub fn wipes(&self) -> bool {
        self.wipes > 0 || self.opening.iter().any(|what| matches!(what, Wipe(_)))
    }
}

const NOTHING: Scene = Scene {
    name: "",
    cores: 3,
    spares: 0,
    claimants: 0,
    claims: 0,
    puts: &[],
    reads: 0,
    powers: 0,
    wipes: 0,
    losses: 0,
    old_disks: 0,
    leaves: 0,
    cuts: 0,
    parts: 0,
    freezes: 0,
    waits: 0,
    first: false,
    eager: false,
    late: false,
    opening: &[],
    closed_each: 0,
    walks: 20_000,
    catches: &[],
};

/// All have been up for longer than one that lost its disk is silent.
const STANDS: [Move; 10] = [
    Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle,
];

/// Member 3 is cut off, and spare 4 has been taught: at the next wait the change is proposed.
#[rustfmt::skip]
const DUE: [Move; 17] = [
    Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle,
    Part(NodeId(3)), Wait, Settle, Wait, Settle, Wait, Settle,
];

/// The change has just been proposed: what asks for promises is on the way.
#[rustfmt::skip]
const PROPOSED: [Move; 18] = [
    Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle,
    Part(NodeId(3)), Wait, Settle, Wait, Settle, Wait, Settle, Wait,
];

/// The change is made, and the newcomer votes; claimants haven't heard of it.
#[rustfmt::skip]
const REPLACED: [Move; 21] = [
    Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle,
    Part(NodeId(3)), Wait, Settle, Wait, Settle, Wait, Settle,
    Wait, Settle, Wait, Settle,
];

/// Text 5 has its promises; members 1 and 2 voted for it and know so of each other, 4 and 5 were cut off from it, and
/// what 1 said to 3 is on the way. Then 1 is held, and 2 loses its disk and is taught by the others.
#[rustfmt::skip]
const HELD: [Move; 27] = [
    Put(5), Deliver(NodeId(1), NodeId(2)), Deliver(NodeId(1), NodeId(3)), Sync(NodeId(1)), Sync(NodeId(2)), Sync(NodeId(3)), Deliver(NodeId(2), NodeId(1)), Deliver(NodeId(3), NodeId(1)), Sync(NodeId(1)),
    Deliver(NodeId(1), NodeId(2)), Sync(NodeId(2)), Deliver(NodeId(2), NodeId(1)), Cut(NodeId(1), NodeId(4)), Cut(NodeId(1), NodeId(5)), Freeze(NodeId(1)), Wipe(NodeId(2)),
    Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle,
];

pub const SCENES: [Scene; 23] = [
    Scene {
        name: "keys-power",
        claimants: 2,
        claims: 1,
        powers: 1,
        waits: 1,
        catches: &[Broken::AnswerBeforeSync],
        ..NOTHING
    },
    Scene {
        name: "keys-wiped",
        claimants: 2,
        claims: 1,
        wipes: 1,
        waits: 6,
        eager: true,
        walks: 120_000,
        catches: &[Broken::VoteAfterWipe, Broken::VotesWithoutEnd],
        ..NOTHING
    },
    Scene {
        name: "keys-taught",
        claimants: 2,
        claims: 1,
        wipes: 2,
        waits: 8,
        ..NOTHING
    },
    Scene {
        name: "keys-again",
        cores: 4,
        claimants: 2,
        claims: 2,
        powers: 1,
        waits: 2,
        ..NOTHING
    },
    Scene {
        name: "configuration-power",
        puts: &[5, 7],
        reads: 1,
        powers: 3,
        waits: 1,
        catches: &[Broken::AnswerBeforeSync],
        ..NOTHING
    },
    Scene {
        name: "configuration-wiped",
        puts: &[5],
        reads: 1,
        powers: 2,
        wipes: 1,
        waits: 6,
        catches: &[Broken::AcknowledgeAtHalf],
        ..NOTHING
    },
    Scene {
        name: "configuration-twins",
        cores: 4,
        puts: &[5, 5 + TWIN],
        reads: 1,
        powers: 2,
        cuts: 1,
        waits: 2,
        catches: &[Broken::TwinTextsCount],
        ..NOTHING
    },
    Scene {
        name: "configuration-cut",
        cores: 4,
        puts: &[5, 7],
        reads: 2,
        cuts: 2,
        waits: 1,
        ..NOTHING
    },
    Scene {
        name: "voting-set",
        cores: 4,
        puts: &[5],
        powers: 2,
        cuts: 1,
        waits: 5,
        first: true,
        ..NOTHING
    },
    Scene {
        name: "replaced-keys",
        spares: 1,
        claimants: 2,
        claims: 1,
        waits: 3,
        eager: true,
        opening: &DUE,
        closed_each: 50,
        catches: &[Broken::LearnerCounts],
        ..NOTHING
    },
    Scene {
        name: "replaced-votes",
        spares: 1,
        claimants: 2,
        claims: 1,
        waits: 1,
        eager: true,
        opening: &REPLACED,
        catches: &[Broken::EpochUnchecked, Broken::RemovedCounts],
        ..NOTHING
    },
    Scene {
        name: "replaced-twice",
        spares: 2,
        claimants: 2,
        claims: 1,
        losses: 2,
        waits: 14,
        eager: true,
        opening: &STANDS,
        closed_each: 50,
        ..NOTHING
    },
    Scene {
        name: "replaced-in-cut",
        cores: 5,
        spares: 1,
        claimants: 2,
        claims: 1,
        losses: 1,
        parts: 2,
        waits: 8,
        eager: true,
        opening: &STANDS,
        closed_each: 50,
        walks: 10_000,
        ..NOTHING
    },
    Scene {
        name: "replaced-wiped",
        cores: 5,
        spares: 1,
        claimants: 2,
        claims: 1,
        losses: 1,
        wipes: 2,
        waits: 10,
        eager: true,
        opening: &STANDS,
        closed_each: 50,
        walks: 10_000,
        ..NOTHING
    },
    Scene {
        name: "replaced-old-disk",
        spares: 1,
        claimants: 2,
        claims: 1,
        old_disks: 1,
        powers: 1,
        waits: 8,
        eager: true,
        opening: &DUE,
        closed_each: 50,
        ..NOTHING
    },
    Scene {
        name: "replaced-power",
        spares: 1,
        claimants: 2,
        claims: 1,
        powers: 4,
        waits: 4,
        eager: true,
        opening: &DUE,
        closed_each: 50,
        ..NOTHING
    },
    Scene {
        name: "replaced-configuration",
        spares: 1,
        puts: &[5, 7],
        reads: 1,
        powers: 2,
        waits: 5,
        opening: &DUE,
        closed_each: 50,
        walks: 10_000,
        ..NOTHING
    },
    Scene {
        name: "replaced-second",
        spares: 2,
        claimants: 2,
        claims: 1,
        losses: 1,
        waits: 8,
        eager: true,
        opening: &REPLACED,
        closed_each: 50,
        walks: 10_000,
        ..NOTHING
    },
    Scene {
        name: "replaced-proposed",
        spares: 1,
        puts: &[5, 7],
        reads: 1,
        powers: 2,
        waits: 5,
        opening: &PROPOSED,
        closed_each: 50,
        walks: 10_000,
        ..NOTHING
    },
    Scene {
        name: "replaced-leaving",
        spares: 2,
        claimants: 2,
        claims: 1,
        leaves: 2,
        powers: 1,
        waits: 8,
        eager: true,
        opening: &STANDS,
        closed_each: 50,
        walks: 10_000,
        ..NOTHING
    },
    Scene {
        name: "twins-split",
        cores: 4,
        puts: &[5, 5 + TWIN],
        reads: 1,
        losses: 1,
        cuts: 1,
        waits: 3,
        closed_each: 1,
        walks: 2_000,
        ..NOTHING
    },
    Scene {
        name: "twins-skipped",
        puts: &[5, 5 + TWIN],
        powers: 1,
        waits: 2,
        catches: &[Broken::BallotsSkipped],
        ..NOTHING
    },
    Scene {
        name: "told-late",
        cores: 5,
        puts: &[5 + TWIN],
        waits: 2,
        late: true,
        opening: &HELD,
        catches: &[Broken::ToldWithoutEnd],
        walks: 10_000,
        ..NOTHING
    },
];
