//! Random walks from the start of a world to where nothing more can happen.

use crate::actions::Action;
use crate::explore::{Bounds, Counterexample, Findings};
use crate::mutation::Mutation;
use crate::random::XorShift;
use crate::scene::Scene;
use crate::world::World;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How a walk chooses its moves.
#[derive(Clone, Copy)]
enum Strategy {
    /// All moves alike.
    Uniform,
    /// Three times in four, what is under way goes on before anything new is begun, is lost, or time passes: it gets
    /// further than a walk that is as likely to lose as to go on.
    PreferProgress,
    /// Each move has a speed of its own for the whole walk, so that a link, a disk or time itself may be far slower than
    /// the others.
    Weighted {
        /// Gives other speeds to another walk.
        seed: u64,
    },
}

/// Speeds are powers of `WEIGHT_BASE`, and there are `WEIGHT_LEVELS` of them.
const WEIGHT_BASE: u64 = 8;
const WEIGHT_LEVELS: u64 = 4;
/// A walk by `Strategy::PreferProgress` takes any move once in so many.
const UNIFORM_CHOICE_INTERVAL: u64 = 4;

impl Strategy {
    fn for_walk(walk_index: usize, seed: u64) -> Strategy {
        match walk_index % 3 {
            0 => Strategy::Uniform,
            1 => Strategy::PreferProgress,
            _ => Strategy::Weighted {
                seed: walk_index as u64 ^ seed,
            },
        }
    }

    fn choose(self, random: &mut XorShift, actions: &[Action]) -> Action {
        match self {
            Strategy::Uniform => random.choose(actions),
            Strategy::PreferProgress => {
                let progress = actions.iter().copied().filter(Action::is_progress);
                let progress: Vec<Action> = progress.collect();
                let is_progress_taken =
                    !progress.is_empty() && random.below(UNIFORM_CHOICE_INTERVAL) != 0;
                random.choose(if is_progress_taken {
                    &progress
                } else {
                    actions
                })
            }
            Strategy::Weighted { seed } => choose_weighted(random, actions, seed),
        }
    }
}

fn choose_weighted(random: &mut XorShift, actions: &[Action], seed: u64) -> Action {
    let weights: Vec<u64> = actions.iter().map(|action| weight(*action, seed)).collect();
    let mut left = random.below(weights.iter().sum());
    for (action, weight) in actions.iter().zip(weights) {
        if left < weight {
            return *action;
        }
        left -= weight;
    }
    actions[0]
}

/// How often a move is chosen on a walk, for each time that the slowest is.
fn weight(action: Action, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (action, seed).hash(&mut hasher);
    WEIGHT_BASE.pow((hasher.finish() % WEIGHT_LEVELS) as u32)
}

/// Walks until a rule is broken, or all walks are done, and adds what was met to the findings.
pub(crate) fn run_walks(
    scene: &Scene,
    mutation: Option<Mutation>,
    bounds: Bounds,
    findings: &mut Findings,
) {
    let mut random = XorShift::new(bounds.seed);
    let start = World::after_setup(scene, mutation);
    for walk_index in 0..bounds.walks {
        let strategy = Strategy::for_walk(walk_index, bounds.seed);
        let (mut world, trace) = run_walk(&start, strategy, bounds.steps, &mut random);
        let is_settled = world.violation().is_none()
            && scene.settle_every_nth_walk > 0
            && walk_index % scene.settle_every_nth_walk == 0;
        if is_settled {
            world.settle();
        }
        if let Some(violation) = world.violation() {
            findings.counterexample = Some(Counterexample {
                violation: violation.clone(),
                trace,
                is_settled,
            });
            return;
        }
        findings.walked += trace.len();
        findings.longest_walk = findings.longest_walk.max(trace.len());
    }
}

/// One walk to its end, or to where a rule is broken.
fn run_walk<'a>(
    start: &World<'a>,
    strategy: Strategy,
    max_steps: usize,
    random: &mut XorShift,
) -> (World<'a>, Vec<Action>) {
    let (mut world, mut trace) = (start.clone(), Vec::new());
    while trace.len() < max_steps && world.violation().is_none() {
        let actions = world.enabled_actions();
        if actions.is_empty() {
            break;
        }
        let action = strategy.choose(random, &actions);
        world.apply(action);
        trace.push(action);
    }
    (world, trace)
}
