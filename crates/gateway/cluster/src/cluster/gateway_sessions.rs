//! Gateway sessions: opening and closing, incoming messages, and outgoing table updates.

use crate::cluster::Cluster;
use crate::policy_adapter::Load;
use crate::service_tables::{GatewayUpdate, TableEndpoint, Withdrawal};
use rushcourse_messages::{EndpointWeight, HostRecord, HostState, Message};
use rushcourse_types::{NodeId, SessionId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

impl Cluster {
    pub(super) fn open_gateway_session(
        &mut self,
        session: SessionId,
        gateway: NodeId,
        zone: Arc<str>,
    ) {
        self.gateways.add_session(session, gateway, zone);
        // Forces a broadcast, since the new session has not received the status.
        self.announced_status = None;
        self.broadcast_gateway_sessions();
    }

    pub(super) fn close_gateway_session(&mut self, now: Timestamp, session: SessionId) {
        let Some(gateway) = self.gateways.remove_session(session) else {
            return;
        };
        if self.is_primary_by(gateway, session) {
            self.release_gateway(now, gateway);
        }
        self.broadcast_gateway_sessions();
    }

    pub(super) fn handle_gateway_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: Message,
    ) {
        let Some(gateway) = self.gateways.gateway_of(session) else {
            return;
        };
        let is_primary = self.is_primary_by(gateway, session);
        match message {
            Message::PrimarySelected(true) if self.is_synchronized() => {
                self.adopt_gateway(now, gateway, session);
            }
            Message::PrimarySelected(_) if is_primary => self.release_gateway(now, gateway),
            Message::TableApplied { service, revision } if is_primary => {
                let updates = self
                    .distribution
                    .acknowledge(now, gateway, &service, revision);
                self.send_updates(now, updates);
            }
            Message::LoadReport {
                service,
                attempts,
                failures,
                interval_ms,
            } if is_primary => {
                let load = Load {
                    attempts,
                    failures,
                    interval: Duration::from_millis(u64::from(interval_ms)),
                };
                let updates = self.distribution.report_load(now, gateway, &service, load);
                self.send_updates(now, updates);
            }
            _ => {}
        }
    }

    /// Sends each update over the session that its gateway selected for its tables. Withdrawals are sent before the
    /// table, since they take effect immediately.
    pub(super) fn send_updates(&mut self, now: Timestamp, updates: Vec<GatewayUpdate>) {
        for update in updates {
            let Some(session) = self.primary_gateways.get(&update.gateway).copied() else {
                continue;
            };
            let states = self.host_states(now, &update.withdrawals);
            if !states.is_empty() {
                self.send_to_gateway(session, Message::HostStates(states));
            }
            let message = self.table_message(now, update);
            self.send_to_gateway(session, message);
        }
    }

    fn is_primary_by(&self, gateway: NodeId, session: SessionId) -> bool {
        self.primary_gateways.get(&gateway) == Some(&session)
    }

    /// Makes this controller the primary of a gateway and sends the gateway complete tables.
    fn adopt_gateway(&mut self, now: Timestamp, gateway: NodeId, session: SessionId) {
        self.primary_gateways.insert(gateway, session);
        let zone = self.gateways.zone_of(gateway).unwrap_or(&self.zone).clone();
        let mut updates = self.distribution.remove_gateway(now, gateway);
        updates.extend(self.distribution.add_gateway(now, gateway, &zone));
        self.send_updates(now, updates);
    }

    /// Stops sending tables to a gateway that disconnected or selected another primary.
    fn release_gateway(&mut self, now: Timestamp, gateway: NodeId) {
        self.primary_gateways.remove(&gateway);
        let updates = self.distribution.remove_gateway(now, gateway);
        self.send_updates(now, updates);
    }

    fn broadcast_gateway_sessions(&mut self) {
        let sessions = Message::GatewaySessions(self.gateways.local_gateways());
        self.broadcast_to_peers(sessions);
    }

    /// Builds the message for a table update. Omits hosts that this controller no longer knows.
    fn table_message(&self, now: Timestamp, update: GatewayUpdate) -> Message {
        let endpoints = update
            .endpoints
            .iter()
            .filter_map(|endpoint| self.endpoint_weight(now, endpoint))
            .collect();
        if update.is_replacement {
            Message::TableReplacement {
                service: update.service,
                revision: update.revision,
                endpoints,
            }
        } else {
            Message::TableUpdate {
                service: update.service,
                revision: update.revision,
                endpoints,
            }
        }
    }

    fn endpoint_weight(&self, now: Timestamp, endpoint: &TableEndpoint) -> Option<EndpointWeight> {
        let host = self.hosts.get(&endpoint.host)?;
        Some(EndpointWeight {
            host: HostRecord {
                state: host.state_for_gateways(),
                ..host.record_at(now)
            },
            weight: endpoint.weight as f32,
        })
    }

    fn host_states(&self, now: Timestamp, withdrawals: &[Withdrawal]) -> Vec<HostRecord> {
        let states = withdrawals
            .iter()
            .filter_map(|withdrawal| self.host_state(now, withdrawal));
        states.collect()
    }

    /// The record to send for a withdrawal. A withdrawn host is reported as draining even if its own state is ready.
    fn host_state(&self, now: Timestamp, withdrawal: &Withdrawal) -> Option<HostRecord> {
        let host = self.hosts.get(&withdrawal.host)?;
        let state = match host.state_for_gateways() {
            HostState::Ready if withdrawal.is_withdrawn => HostState::Draining,
            state => state,
        };
        Some(HostRecord {
            state,
            ..host.record_at(now)
        })
    }
}
