//! Random walks from the start of a world to where nothing more can happen.

use crate::explore::{Bounds, Counterexample, Findings};
use crate::moves::Move;
use crate::mutation::Mutation;
use crate::random::XorShift;
use crate::scene::Scene;
use crate::world::World;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How a walk chooses its moves.
#[derive(Clone, Copy)]
enum Gait {
    /// All moves alike.
    Even,
    /// Three times in four, what is under way goes on before anything new is begun, is lost, or time passes: it gets
    /// further than a walk that is as likely to lose as to go on.
    ProgressFirst,
    /// Each move has a speed of its own for the whole walk, so that a link, a disk or time itself may be far slower than
    /// the others.
    Speeds {
        /// Gives other speeds to another walk.
        seed: u64,
    },
}

/// Speeds are powers of `SPEED_BASE`, and there are `SPEEDS` of them.
const SPEED_BASE: u64 = 8;
const SPEEDS: u64 = 4;
/// A walk by `Gait::ProgressFirst` takes any move once in so many.
const ANY_MOVE_EACH: u64 = 4;

impl Gait {
    fn of_walk(number: usize, seed: u64) -> Gait {
        match number % 3 {
            0 => Gait::Even,
            1 => Gait::ProgressFirst,
            _ => Gait::Speeds {
                seed: number as u64 ^ seed,
            },
        }
    }

    fn choose(self, random: &mut XorShift, moves: &[Move]) -> Move {
        match self {
            Gait::Even => random.choose(moves),
            Gait::ProgressFirst => {
                let progress = moves.iter().copied().filter(Move::is_progress);
                let progress: Vec<Move> = progress.collect();
                let is_progress_taken = !progress.is_empty() && random.below(ANY_MOVE_EACH) != 0;
                random.choose(if is_progress_taken { &progress } else { moves })
            }
            Gait::Speeds { seed } => choose_by_speed(random, moves, seed),
        }
    }
}

fn choose_by_speed(random: &mut XorShift, moves: &[Move], seed: u64) -> Move {
    let speeds: Vec<u64> = moves.iter().map(|what| speed(*what, seed)).collect();
    let mut left = random.below(speeds.iter().sum());
    for (what, speed) in moves.iter().zip(speeds) {
        if left < speed {
            return *what;
        }
        left -= speed;
    }
    moves[0]
}

/// How often a move is chosen on a walk, for each time that the slowest is.
fn speed(what: Move, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (what, seed).hash(&mut hasher);
    SPEED_BASE.pow((hasher.finish() % SPEEDS) as u32)
}

/// Walks until a rule is broken, or all walks are done, and adds what was met to the findings.
pub(crate) fn walk(
    scene: &Scene,
    mutation: Option<Mutation>,
    bounds: Bounds,
    findings: &mut Findings,
) {
    let mut random = XorShift::new(bounds.seed);
    let start = World::opened(scene, mutation);
    for number in 0..bounds.walks {
        let gait = Gait::of_walk(number, bounds.seed);
        let (mut world, way) = walk_once(&start, gait, bounds.steps, &mut random);
        let is_closed =
            world.violation().is_none() && scene.closed_each > 0 && number % scene.closed_each == 0;
        if is_closed {
            world.close();
        }
        if let Some(violation) = world.violation() {
            findings.counterexample = Some(Counterexample {
                violation: violation.clone(),
                way,
                is_closed,
            });
            return;
        }
        findings.walked += way.len();
        findings.longest_walk = findings.longest_walk.max(way.len());
    }
}

/// One walk to its end, or to where a rule is broken.
fn walk_once<'a>(
    start: &World<'a>,
    gait: Gait,
    most_steps: usize,
    random: &mut XorShift,
) -> (World<'a>, Vec<Move>) {
    let (mut world, mut way) = (start.clone(), Vec::new());
    while way.len() < most_steps && world.violation().is_none() {
        let moves = world.moves();
        if moves.is_empty() {
            break;
        }
        let what = gait.choose(random, &moves);
        world.play(what);
        way.push(what);
    }
    (world, way)
}
