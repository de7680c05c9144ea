//! Random walks through the states of a scene, up to a violation, a state without enabled actions or a length limit.

use crate::actions::Action;
use crate::explore::{Bounds, Counterexample, Findings};
use crate::mutation::Mutation;
use crate::random::XorShift;
use crate::scene::Scene;
use crate::world::World;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How a walk selects the next action.
#[derive(Clone, Copy)]
enum Strategy {
    /// All enabled actions are equally likely.
    Uniform,
    /// Prefers actions that make progress over faults, new calls and waits in 3 of 4 steps, which reaches greater
    /// depths than uniform selection.
    PreferProgress,
    /// Each action has a fixed weight for the whole walk, which simulates links, disks or clocks of different speeds.
    Weighted {
        /// Determines the weights of the actions.
        seed: u64,
    },
}

/// Weights are the powers of `WEIGHT_BASE` with exponents below `WEIGHT_LEVELS`.
const WEIGHT_BASE: u64 = 8;
const WEIGHT_LEVELS: u64 = 4;
/// Interval, in selections on average, at which `Strategy::PreferProgress` selects among all actions.
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
    let mut remaining = random.below(weights.iter().sum());
    for (action, weight) in actions.iter().zip(weights) {
        if remaining < weight {
            return *action;
        }
        remaining -= weight;
    }
    actions[0]
}

/// Returns the relative frequency of an action on the walks of a seed.
fn weight(action: Action, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (action, seed).hash(&mut hasher);
    WEIGHT_BASE.pow((hasher.finish() % WEIGHT_LEVELS) as u32)
}

/// Runs the walks of a scene until one finds a violation, and adds the results to `findings`.
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

/// Runs one walk up to a violation, `max_steps` actions or a state without enabled actions.
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
