//! Model checking of the control state: takes the pure steps that keep what a majority of disks holds (`ConsensusNode`
//! of controllers, `Claims` of gateways) through all orders of delivery, loss, crash and wipe on a small world, and
//! looks at each state for a broken rule. It imports no clock, disk or network.
//!
//! * `scene.rs`, `scenes.rs`, `openings.rs`: which worlds are explored.
//! * [`actions`]: what may happen next; `world/`: what there is, and what each move does to it; `checker.rs`,
//!   `violation.rs`: the rules.
//! * `mutation.rs`: defences that are taken out on purpose, which have to be caught.
//! * `explore.rs`: breadth first with states counted; `walks.rs`: long random walks behind that.
//! * [`simulation`]: a controller with a disk in memory, also for the timelines of `rushcourse-consensus`.

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
pub use scenes::SCENES;
pub use submission::Submission;
pub use violation::{Unsettled, Violation};
pub use world::World;

/// Explores one scene, with all defences or one taken out. The same bounds give the same figures.
pub fn explore(scene: &Scene, mutation: Option<Mutation>, bounds: Bounds) -> Findings {
    let mut findings = explore::breadth_first(scene, mutation, bounds.states);
    if findings.counterexample.is_none() && !findings.is_complete {
        walks::run_walks(scene, mutation, bounds, &mut findings);
    }
    findings
}
