//! A batch by instance.

use crate::error::AdapterError;
use crate::wire::{self, Provision};
use rushcourse_policy::interface::{Event, Ms};
use serde_json::Value;
use std::collections::BTreeMap;

/// The number of an instance.
pub type InstanceId = u64;

/// What a batch brings to one instance.
#[derive(Default)]
pub struct InstanceEvents {
    /// The start that came before the events, if any.
    pub start: Option<Provision>,
    /// The instance was stopped before that.
    pub is_stopped: bool,
    /// The events since, in order.
    pub events: Vec<Event>,
}

impl InstanceEvents {
    fn add(&mut self, kind: &str, value: Value) -> Result<(), serde_json::Error> {
        match kind {
            "Provision" => {
                self.start = Some(serde_json::from_value(value)?);
                self.events.clear();
            }
            "Teardown" => {
                *self = InstanceEvents {
                    is_stopped: true,
                    ..InstanceEvents::default()
                };
            }
            _ => self.events.extend(wire::event(kind, value)?),
        }
        Ok(())
    }
}

/// A batch: what happened until one moment of the simulated clock.
pub struct Batch {
    /// Its own number.
    pub number: u64,
    /// The time.
    pub clock: Ms,
    /// What it brings to each instance that it names.
    pub instances: BTreeMap<InstanceId, InstanceEvents>,
}

impl Batch {
    /// Reads a line of the input; `line_number` counts from 1.
    ///
    /// # Errors
    ///
    /// The line is no batch, or a field of an event that the policy needs is missing or has a wrong type.
    pub fn parse(text: &str, line_number: u64) -> Result<Batch, AdapterError> {
        let batch: wire::Batch =
            serde_json::from_str(text).map_err(|source| AdapterError::Batch {
                batch: line_number,
                source,
            })?;
        let mut instances: BTreeMap<InstanceId, InstanceEvents> = BTreeMap::new();
        for value in batch.input {
            let head: wire::Head = match serde::Deserialize::deserialize(&value) {
                Ok(head) => head,
                Err(source) => {
                    return Err(AdapterError::EventHead {
                        batch: batch.n,
                        event: value,
                        source,
                    });
                }
            };
            let instance = instances.entry(head.director).or_default();
            instance
                .add(&head.m, value)
                .map_err(|source| AdapterError::EventFields {
                    batch: batch.n,
                    kind: head.m,
                    source,
                })?;
        }
        Ok(Batch {
            number: batch.n,
            clock: batch.clock,
            instances,
        })
    }
}
