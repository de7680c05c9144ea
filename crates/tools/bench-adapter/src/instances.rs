//! The directors that the adapter hosts.

use crate::batch::{Batch, InstanceEvents, InstanceId};
use crate::wire::{self, Order};
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Ms};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Running directors by instance number.
#[derive(Default)]
pub struct Instances(BTreeMap<InstanceId, Director>);

impl Instances {
    /// Passes a batch to its instances. Returns their orders grouped by instance. If an instance panics, a `Die` order
    /// takes the place of its orders.
    pub fn handle(&mut self, batch: Batch) -> Vec<Order> {
        let mut orders = Vec::new();
        for (id, events) in batch.instances {
            let result = catch_unwind(AssertUnwindSafe(|| self.dispatch(id, events, batch.clock)));
            match result {
                Ok(actions) => {
                    orders.extend(
                        actions
                            .into_iter()
                            .filter_map(|action| wire::encode_action(id, action)),
                    );
                }
                Err(panic) => orders.push(Order::ReportPanic {
                    director: id,
                    message: panic_message(panic.as_ref()),
                }),
            }
        }
        orders
    }

    fn dispatch(&mut self, id: InstanceId, events: InstanceEvents, now: Ms) -> Vec<Action> {
        if events.is_stopped {
            self.0.remove(&id);
        }
        if let Some(start) = events.start {
            self.0.insert(id, Director::new(start.settings.to_policy()));
        }
        match self.0.get_mut(&id) {
            Some(director) => director.handle(now, events.events),
            None => Vec::new(),
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let literal = panic.downcast_ref::<&str>().map(|text| text.to_string());
    literal
        .or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".into())
}
