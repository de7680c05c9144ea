//! A gateway without hosts and clients: selects its primary controller, confirms received tables and renews its lease.

use rushcourse_messages::{Message, NodeId};
use rushcourse_routing::{
    ConfigurationLease, ControllerSelection, LeaseResponse, LeaseTargets, PrimaryChange,
};
use rushcourse_types::{ConfigurationVersion, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Attempts in each load report; arbitrary, because only the size of the report matters.
const REPORTED_ATTEMPTS: u32 = 40;
const REPORT_INTERVAL_MS: u32 = 1_000;

/// A message from a gateway to a controller.
pub struct Outgoing {
    pub to: NodeId,
    pub message: Message,
}

/// A gateway with a session to each controller.
pub struct SimulatedGateway {
    controllers: ControllerSelection,
    lease: ConfigurationLease,
    nodes: Vec<NodeId>,
    /// Bytes received since the last call of `take_received_bytes`, including frame headers.
    received_bytes: u64,
}

impl SimulatedGateway {
    /// Creates a gateway that is connected to these controllers, given by node id and zone. `revocation` is the bound
    /// that its lease keeps.
    pub fn new(
        node: NodeId,
        zone: &str,
        revocation: Duration,
        controllers: impl IntoIterator<Item = (NodeId, Arc<str>)>,
    ) -> SimulatedGateway {
        let mut selection = ControllerSelection::new(node, zone);
        let mut nodes = Vec::new();
        for (controller, zone) in controllers {
            selection.controller_connected(controller, &zone);
            nodes.push(controller);
        }
        SimulatedGateway {
            controllers: selection,
            lease: ConfigurationLease::new(revocation),
            nodes,
            received_bytes: 0,
        }
    }

    /// Handles a message whose frame has `frame_bytes` bytes. Returns the responses.
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
            Message::ConfigurationLeaseResponse {
                sent_at,
                version,
                age,
            } => {
                let response = LeaseResponse {
                    sent_at,
                    version,
                    age: age.into(),
                };
                self.lease
                    .response_received(now, ConfigurationVersion(u64::MAX), response);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the requests that renew the lease, if they are due.
    pub fn lease_requests(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let targets = match self.lease.next_request(now, self.controllers.primary()) {
            Some(LeaseTargets::Primary(primary)) => vec![primary],
            Some(LeaseTargets::AllControllers) => self.nodes.clone(),
            None => Vec::new(),
        };
        let request = |to: NodeId| Outgoing {
            to,
            message: Message::ConfigurationLeaseRequest { sent_at: now },
        };
        targets.into_iter().map(request).collect()
    }

    /// Changes the primary controller if a change is due. Returns the messages to the old and the new one.
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

    /// Returns the load reports to the primary controller, one per service; empty without a primary.
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

    /// Returns the bytes received since the last call.
    pub fn take_received_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.received_bytes)
    }
}
