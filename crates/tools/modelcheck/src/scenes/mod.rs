//! Definitions of the explored scenes.
//!
//! * `keys.rs`, `configuration.rs`, `duty.rs`: what the voting set decides.
//! * `replacement.rs`: changes of the voting set.
//! * `rivals.rs`: competing proposers.
//! * `basics.rs`: parts that scenes share.

mod basics;
mod configuration;
mod duty;
mod keys;
mod replacement;
mod rivals;

use crate::scene::Scene;

/// All scenes, in the order in which the program runs them.
pub fn scenes() -> impl Iterator<Item = &'static Scene> {
    let groups: [&'static [Scene]; 5] = [
        &keys::SCENES,
        &configuration::SCENES,
        &replacement::SCENES,
        &rivals::SCENES,
        &duty::SCENES,
    ];
    groups.into_iter().flatten()
}
