//! The directors that run, one for each instance.

use crate::batch::{Batch, InstanceEvents, InstanceId};
use crate::wire::{self, Order};
use rushcourse_director_settings::settings;
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Ms};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Directors by instance.
#[derive(Default)]
pub struct Instances(BTreeMap<InstanceId, Director>);

impl Instances {
    /// Hands a batch over; answers the orders of all instances, each one's in its own order. An instance whose
    /// decisions panic says so and ends the day.
    pub fn handle(&mut self, batch: Batch) -> Vec<Order> {
        let mut orders = Vec::new();
        for (id, events) in batch.instances {
            let decided = catch_unwind(AssertUnwindSafe(|| self.decide(id, events, batch.clock)));
            match decided {
                Ok(actions) => {
                    orders.extend(
                        actions
                            .into_iter()
                            .filter_map(|action| wire::order(id, action)),
                    );
                }
                Err(panic) => orders.push(Order::Die {
                    director: id,
                    reason_text: panic_text(panic.as_ref()),
                }),
            }
        }
        orders
    }

    fn decide(&mut self, id: InstanceId, events: InstanceEvents, now: Ms) -> Vec<Action> {
        if events.is_stopped {
            self.0.remove(&id);
        }
        if let Some(start) = events.start {
            self.0.insert(id, Director::new(settings(start.options)));
        }
        match self.0.get_mut(&id) {
            Some(director) => director.handle(now, events.events),
            None => Vec::new(),
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let literal = panic.downcast_ref::<&str>().map(|text| text.to_string());
    literal
        .or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".into())
}
