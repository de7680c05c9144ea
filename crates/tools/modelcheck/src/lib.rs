//! Model checking of the consensus state: takes the pure steps that keep what a majority of disks holds
//! (`ConsensusNode` of the core directors, `Claims` of the frontend ones) through all orders of delivery, loss, crash and
//! wipe on a small world, and looks at each state for a broken rule. It imports no clock, disk or network.
//!
//! * `moves.rs`: what may happen next; `world.rs`: what there is, and which moves it has; `play.rs`: what a move does; `claimants.rs`: claims.
//! * `variants.rs`: what is altered on the way where a defence is taken out.
//! * `scenes.rs`: which world is explored, and the variants broken on purpose that have to be caught.
//! * `explore.rs`: breadth first with states counted, then long walks by lot; the way to a violation.

mod claimants;
mod explore;
mod moves;
mod play;
mod scenes;
mod variants;
mod world;

pub use explore::{Bounds, Found, explore};
pub use moves::Move;
pub use scenes::{Broken, SCENES, Scene};
pub use world::World;
