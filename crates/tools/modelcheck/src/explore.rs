//! Breadth first over all orders, each state once; then random walks behind it.

use crate::moves::Move;
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
    pub way: Vec<Move>,
    /// Whether the rule was broken only once faults had ended behind these moves.
    pub is_closed: bool,
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
    before: Option<usize>,
    what: Move,
}

/// A state whose moves were not all played yet.
struct Unexplored<'a> {
    world: World<'a>,
    /// The index of its step; `None`: it is the first state.
    step: Option<usize>,
}

impl Visited {
    /// Notes a state, unless it was met before.
    fn insert(&mut self, world: &World, before: Option<usize>, what: Move) -> Option<usize> {
        if !self.fingerprints.insert(world.fingerprint()) {
            return None;
        }
        self.steps.push(Step { before, what });
        Some(self.steps.len() - 1)
    }

    /// The moves that lead to a state.
    fn way_to(&self, index: usize) -> Vec<Move> {
        let mut way = Vec::new();
        let mut next = Some(index);
        while let Some(step) = next.map(|index| &self.steps[index]) {
            way.push(step.what);
            next = step.before;
        }
        way.reverse();
        way
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
    most_states: usize,
) -> Findings {
    let start = World::opened(scene, mutation);
    let mut visited = Visited::default();
    visited.fingerprints.insert(start.fingerprint());
    let mut frontier = vec![Unexplored {
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
            if visited.fingerprints.len() >= most_states {
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
    state: &Unexplored<'a>,
    visited: &mut Visited,
    next: &mut Vec<Unexplored<'a>>,
) -> Option<Counterexample> {
    for what in state.world.moves() {
        let mut world = state.world.clone();
        world.play(what);
        let Some(step) = visited.insert(&world, state.step, what) else {
            continue;
        };
        if let Some(violation) = world.violation() {
            return Some(Counterexample {
                violation: violation.clone(),
                way: visited.way_to(step),
                is_closed: false,
            });
        }
        next.push(Unexplored {
            world,
            step: Some(step),
        });
    }
    None
}
