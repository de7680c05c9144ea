//! A configuration that was read again: where relay and discovery are from now on, and when a file that could
//! not be used is looked at again.

use crate::boundary::{Effect, Places, Reread, Weight};
use crate::desk::Desk;
use rushcourse_core::interface::Ms;
use rushcourse_xds::Rules;

/// ms until a file that could not be used is looked at again, and how often: it may be half written.
const AGAIN_AFTER: Ms = 200.0;
const AGAIN_MOST: u32 = 25;

#[derive(Default)]
pub struct Reload {
    again: Option<Ms>,
    tries: u32,
}

impl Reload {
    /// The places that hold from now on, and how streams are served, if the file could be used.
    pub fn read(
        &mut self,
        desk: &mut Desk,
        held: Places,
        read: Result<Reread, String>,
    ) -> Option<(Places, Option<Rules>)> {
        match read {
            Ok(Reread { places, streams, left }) => {
                *self = Reload::default();
                desk.counters.add("reloads", 1);
                desk.note(Weight::Info, "reload", || {
                    let same = if places == held { "; nothing has moved" } else { "" };
                    format!("relay {}, discovery {}{same}", places.relay, places.discovery)
                });
                left.into_iter().for_each(|text| desk.note(Weight::Warning, "reload", || text));
                Some((places, streams))
            }
            Err(why) => {
                if self.tries == 0 {
                    desk.counters.add("reloads_failed", 1);
                    desk.note(Weight::Error, "reload", || format!("{why}; nothing is changed"));
                }
                self.tries += 1;
                self.again = (self.tries <= AGAIN_MOST).then_some(desk.now + AGAIN_AFTER);
                None
            }
        }
    }

    /// Told to reload: a new set of tries.
    pub fn told(&mut self) {
        *self = Reload::default();
    }

    pub fn advance(&mut self, desk: &mut Desk) -> Option<Ms> {
        if self.again.is_some_and(|at| desk.now >= at) {
            self.again = None;
            desk.ask(Effect::Reread);
        }
        self.again
    }
}
