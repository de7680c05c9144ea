//! A gateway without its hosts and clients: it selects its primary controller and confirms the tables that it is sent.

use rushcourse_messages::{Message, NodeId};
use rushcourse_routing::{ControllerSelection, PrimaryChange};
use rushcourse_types::Timestamp;
use std::sync::Arc;

/// Attempts that a gateway reports for each service and interval: any number, since only the size of the report counts.
const REPORTED_ATTEMPTS: u32 = 40;
const REPORT_INTERVAL_MS: u32 = 1_000;

/// A message that a gateway sends to a controller.
pub struct Outgoing {
    pub to: NodeId,
    pub message: Message,
}

/// A gateway that has a session with each controller.
pub struct SimulatedGateway {
    controllers: ControllerSelection,
    /// Bytes in frames since they were last taken.
    received_bytes: u64,
}

impl SimulatedGateway {
    /// `controllers`: node and zone of each.
    pub fn new(
        node: NodeId,
        zone: &str,
        controllers: impl IntoIterator<Item = (NodeId, Arc<str>)>,
    ) -> SimulatedGateway {
        let mut selection = ControllerSelection::new(node, zone);
        for (controller, zone) in controllers {
            selection.controller_connected(controller, &zone);
        }
        SimulatedGateway {
            controllers: selection,
            received_bytes: 0,
        }
    }

    /// Takes a message in a frame of so many bytes, and gives what is sent because of it.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: Message,
        frame_bytes: u64,
    ) -> Vec<Outgoing> {
        self.received_bytes += frame_bytes;
        match message {
            Message::ControllerStatus {
                is_synchronized, ..
            } => {
                self.controllers
                    .set_synchronized(now, from, is_synchronized);
                self.select_primary(now)
            }
            Message::TableReplacement {
                service, revision, ..
            }
            | Message::TableUpdate {
                service, revision, ..
            } => vec![Outgoing {
                to: from,
                message: Message::TableApplied { service, revision },
            }],
            _ => Vec::new(),
        }
    }

    /// Selects another primary controller where that is due.
    pub fn select_primary(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let Some(PrimaryChange { selected, released }) = self.controllers.select(now) else {
            return Vec::new();
        };
        let selection = |to: NodeId, is_primary: bool| Outgoing {
            to,
            message: Message::PrimarySelected(is_primary),
        };
        let released = released.map(|node| selection(node, false));
        released
            .into_iter()
            .chain([selection(selected, true)])
            .collect()
    }

    /// What the gateway reports of its attempts, a message for each service.
    pub fn load_reports(&self, services: &[Arc<str>]) -> Vec<Outgoing> {
        let Some(primary) = self.controllers.primary() else {
            return Vec::new();
        };
        let report = |service: &Arc<str>| Outgoing {
            to: primary,
            message: Message::LoadReport {
                service: service.clone(),
                attempts: REPORTED_ATTEMPTS,
                failures: 0,
                interval_ms: REPORT_INTERVAL_MS,
            },
        };
        services.iter().map(report).collect()
    }

    /// Bytes that were received since the last call.
    pub fn take_received_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.received_bytes)
    }
}
