//! Model checker for the replicated control state. Runs the deterministic state machines of the gateway
//! (`ConsensusNode` of controllers, `Claims` of gateways) through the possible orders of message delivery, message
//! loss, crashes and disk loss in a small cluster, and checks safety and recovery rules in each state. The crate uses
//! no clock, disk or network.
//!
//! * `scene.rs`, `scenes/`, `setup_actions.rs`: the configurations that are explored.
//! * [`actions`]: the transitions of a state; `world/`: the state and the effect of each action; `checker.rs`,
//!   `violation.rs`: the rules.
//! * `mutation.rs`: safeguards that can be disabled, to verify that the checker reports the resulting violation.
//! * `explore.rs`: breadth-first search over distinct states; `walks.rs`: random walks, which reach greater depths.
//! * [`simulation`]: a controller with an in-memory disk, also used by the tests of `rushcourse-consensus`.

pub mod actions;
mod checker;
mod explore;
mod mutation;
mod random;
mod scene;
mod scenes;
mod setup_actions;
pub mod simulation;
mod submission;
mod violation;
mod walks;
mod world;

pub use actions::Action;
pub use explore::{Bounds, Counterexample, Findings};
pub use mutation::Mutation;
pub use scene::{Budget, Clients, Scene};
pub use scenes::scenes;
pub use submission::Submission;
pub use violation::{Unsettled, Violation};
pub use world::World;

/// Explores one scene: breadth-first search, followed by random walks if the search was neither exhaustive nor found a
/// violation. A mutation disables one safeguard. The result is deterministic for equal arguments.
pub fn explore(scene: &Scene, mutation: Option<Mutation>, bounds: Bounds) -> Findings {
    let mut findings = explore::breadth_first(scene, mutation, bounds.states);
    if findings.counterexample.is_none() && !findings.is_complete {
        walks::run_walks(scene, mutation, bounds, &mut findings);
    }
    findings
}
