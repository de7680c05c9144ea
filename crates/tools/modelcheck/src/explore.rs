//! Breadth-first search over the states of a scene. Each distinct state is visited once.

use crate::actions::Action;
use crate::mutation::Mutation;
use crate::scene::Scene;
use crate::violation::Violation;
use crate::world::World;
use std::collections::BTreeSet;

/// Limits of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of distinct states in the breadth-first search. Each state on the frontier takes about 4 KB.
    pub states: usize,
    /// Number of random walks after the search.
    pub walks: usize,
    /// Maximum number of actions in a walk.
    pub steps: usize,
    /// Seed of the random walks.
    pub seed: u64,
}

/// A violation and the actions that lead to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The violated rule, with details.
    pub violation: Violation,
    /// Actions that lead to the violation, starting after the scene's setup actions.
    pub trace: Vec<Action>,
    /// Whether the violation appeared only when the world settled after these actions.
    pub is_settled: bool,
}

/// Result of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Number of distinct states visited by the breadth-first search.
    pub states: usize,
    /// Number of actions up to which the search covered all states; one more if it found a counterexample.
    pub depth: usize,
    /// Whether the search visited all reachable states.
    pub is_complete: bool,
    /// Number of actions in all random walks together.
    pub walked: usize,
    /// Number of actions in the longest walk.
    pub longest_walk: usize,
    /// First violation, if any.
    pub counterexample: Option<Counterexample>,
}

/// Fingerprints of the visited states, and the steps that reconstruct the trace to each of them.
#[derive(Default)]
struct Visited {
    fingerprints: BTreeSet<u64>,
    /// One entry for each state except the initial one.
    steps: Vec<Step>,
}

struct Step {
    /// Index of the step to the preceding state; `None` for the initial state.
    previous: Option<usize>,
    action: Action,
}

/// A state whose successors have not been generated.
struct FrontierState<'a> {
    world: World<'a>,
    /// Index of the step that leads to the state; `None` for the initial state.
    step: Option<usize>,
}

impl Visited {
    /// Adds a state and returns the index of its step. Returns `None` if the state was visited before.
    fn insert(&mut self, world: &World, previous: Option<usize>, action: Action) -> Option<usize> {
        if !self.fingerprints.insert(world.fingerprint()) {
            return None;
        }
        self.steps.push(Step { previous, action });
        Some(self.steps.len() - 1)
    }

    /// Returns the actions from the initial state to the target of a step.
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

/// Searches the states of a scene level by level until it finds a violation, `max_states` is reached or no state is
/// left.
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

/// Generates the successors of a state and adds unvisited ones to the next frontier. Returns the first violation.
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
