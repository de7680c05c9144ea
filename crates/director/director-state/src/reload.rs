//! A configuration that was read again: where relay and discovery are from now on, and when a file that could
//! not be used is looked at again.

use crate::boundary::{Effect, Places, Reread, Weight};
use crate::step_context::StepContext;
use rushcourse_policy::interface::Ms;
use rushcourse_xds::StreamConfig;

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
        context: &mut StepContext,
        held: Places,
        read: Result<Reread, String>,
    ) -> Option<(Places, Option<StreamConfig>)> {
        match read {
            Ok(Reread {
                places,
                streams,
                left,
            }) => {
                *self = Reload::default();
                context.counters.add("reloads", 1);
                context.note(Weight::Info, "reload", || {
                    let same = if places == held {
                        "; nothing has moved"
                    } else {
                        ""
                    };
                    format!(
                        "relay {}, discovery {}{same}",
                        places.relay, places.discovery
                    )
                });
                left.into_iter()
                    .for_each(|text| context.note(Weight::Warning, "reload", || text));
                Some((places, streams))
            }
            Err(why) => {
                if self.tries == 0 {
                    context.counters.add("reloads_failed", 1);
                    context.note(Weight::Error, "reload", || {
                        format!("{why}; nothing is changed")
                    });
                }
                self.tries += 1;
                self.again = (self.tries <= AGAIN_MOST).then_some(context.now + AGAIN_AFTER);
                None
            }
        }
    }

    /// Told to reload: a new set of tries.
    pub fn requested(&mut self) {
        *self = Reload::default();
    }

    pub fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        if self.again.is_some_and(|at| context.now >= at) {
            self.again = None;
            context.ask(Effect::Reread);
        }
        self.again
    }
}
