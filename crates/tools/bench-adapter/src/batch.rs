//! Parsing of batches, grouped by instance.

use crate::error::AdapterError;
use crate::wire::{self, Provision};
use rushcourse_policy::interface::{Event, Ms};
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of a director that the adapter hosts, chosen by the bench.
pub type InstanceId = u64;

/// Events of a batch for one instance.
#[derive(Default)]
pub struct InstanceEvents {
    /// Last start in the batch, if any. It precedes all `events`.
    pub start: Option<Provision>,
    /// Whether the batch stops the instance, before `start` and all `events`.
    pub is_stopped: bool,
    /// Events after the last start or stop, in order.
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
            _ => self.events.extend(wire::parse_event(kind, value)?),
        }
        Ok(())
    }
}

/// Events up to a time of the bench's clock.
pub struct Batch {
    /// Number of the batch, which the reply repeats.
    pub number: u64,
    /// Time of the batch, in ms.
    pub clock: Ms,
    /// Events by instance; other instances have none.
    pub instances: BTreeMap<InstanceId, InstanceEvents>,
}

impl Batch {
    /// Parses a line of the input; `line_number` counts from 1.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a batch, or a required field of an event is missing or has a wrong type.
    pub fn parse(text: &str, line_number: u64) -> Result<Batch, AdapterError> {
        let batch: wire::Batch =
            serde_json::from_str(text).map_err(|source| AdapterError::Batch {
                batch: line_number,
                source,
            })?;
        let mut instances: BTreeMap<InstanceId, InstanceEvents> = BTreeMap::new();
        for value in batch.events {
            let header: wire::EventHeader = match serde::Deserialize::deserialize(&value) {
                Ok(header) => header,
                Err(source) => {
                    return Err(AdapterError::EventHead {
                        batch: batch.number,
                        event: value,
                        source,
                    });
                }
            };
            let instance = instances.entry(header.instance).or_default();
            instance
                .add(&header.kind, value)
                .map_err(|source| AdapterError::EventFields {
                    batch: batch.number,
                    kind: header.kind,
                    source,
                })?;
        }
        Ok(Batch {
            number: batch.number,
            clock: batch.clock,
            instances,
        })
    }
}
