//! Breadth first over all orders, each state once; then random walks behind it.

use crate::actions::Action;
use crate::mutation::Mutation;
use crate::scene::Scene;
use crate::violation::Violation;
use crate::world::World;
use std::collections::BTreeSet;

/// How far to look.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// States looked at breadth first, at most: some 4 KB each while they are on the frontier.
    pub states: usize,
    /// Random walks.
    pub walks: usize,
    /// Moves of one walk at most.
    pub steps: usize,
    /// Other walks for other seeds.
    pub seed: u64,
}

/// A rule that is broken, and the way there.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The rule.
    pub violation: Violation,
    /// The moves that lead there, from behind the scene's opening.
    pub trace: Vec<Action>,
    /// Whether the rule was broken only once faults had ended behind these moves.
    pub is_settled: bool,
}

/// What exploring found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Different states that were met breadth first.
    pub states: usize,
    /// The depth to which all of them were seen.
    pub depth: usize,
    /// Whether no state is left that was not seen.
    pub is_complete: bool,
    /// States met on walks.
    pub walked: usize,
    /// Moves of the longest walk.
    pub longest_walk: usize,
    /// The first rule that was found broken.
    pub counterexample: Option<Counterexample>,
}

/// The states that were met breadth first, and the way to each.
#[derive(Default)]
struct Visited {
    fingerprints: BTreeSet<u64>,
    /// For each state but the first: the state before it, and the move between them.
    steps: Vec<Step>,
}

struct Step {
    /// The index of the state before; `None`: it is the first state.
    previous: Option<usize>,
    action: Action,
}

/// A state whose moves were not all played yet.
struct FrontierState<'a> {
    world: World<'a>,
    /// The index of its step; `None`: it is the first state.
    step: Option<usize>,
}

impl Visited {
    /// Notes a state, unless it was met before.
    fn insert(&mut self, world: &World, previous: Option<usize>, action: Action) -> Option<usize> {
        if !self.fingerprints.insert(world.fingerprint()) {
            return None;
        }
        self.steps.push(Step { previous, action });
        Some(self.steps.len() - 1)
    }

    /// The moves that lead to a state.
    fn trace_to(&self, index: usize) -> Vec<Action> {
        let mut trace = Vec::new();
        let mut next = Some(index);
        while let Some(step) = next.map(|index| &self.steps[index]) {
            trace.push(step.action);
            next = step.previous;
        }
        trace.reverse();
        trace
    }

    fn findings(&self, depth: usize) -> Findings {
        Findings {
            states: self.fingerprints.len(),
            depth,
            ..Findings::default()
        }
    }
}

/// Explores one scene breadth first, with all defences or one taken out. The same bounds give the same figures.
pub(crate) fn breadth_first(
    scene: &Scene,
    mutation: Option<Mutation>,
    max_states: usize,
) -> Findings {
    let start = World::after_setup(scene, mutation);
    let mut visited = Visited::default();
    visited.fingerprints.insert(start.fingerprint());
    let mut frontier = vec![FrontierState {
        world: start,
        step: None,
    }];
    let mut depth = 0;
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for state in frontier {
            if let Some(counterexample) = expand(&state, &mut visited, &mut next) {
                return Findings {
                    counterexample: Some(counterexample),
                    ..visited.findings(depth + 1)
                };
            }
            if visited.fingerprints.len() >= max_states {
                return visited.findings(depth);
            }
        }
        frontier = next;
        depth += 1;
    }
    Findings {
        is_complete: true,
        ..visited.findings(depth)
    }
}

/// Plays all moves of a state; states that were not met before go to the next frontier.
fn expand<'a>(
    state: &FrontierState<'a>,
    visited: &mut Visited,
    next: &mut Vec<FrontierState<'a>>,
) -> Option<Counterexample> {
    for action in state.world.enabled_actions() {
        let mut world = state.world.clone();
        world.apply(action);
        let Some(step) = visited.insert(&world, state.step, action) else {
            continue;
        };
        if let Some(violation) = world.violation() {
            return Some(Counterexample {
                violation: violation.clone(),
                trace: visited.trace_to(step),
                is_settled: false,
            });
        }
        next.push(FrontierState {
            world,
            step: Some(step),
        });
    }
    None
}
