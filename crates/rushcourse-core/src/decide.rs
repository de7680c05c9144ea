//! Every decision of a director. Its types stand in `interface.rs`, its plain records in `state.rs`.

use crate::interface::*;

pub struct Director {}

impl Director {
    pub fn new(_settings: Settings, _seed: u64) -> Director {
        Director {}
    }

    pub fn handle(&mut self, _now: Ms, _events: Vec<Event>) -> Vec<Action> {
        Vec::new()
    }
}
