//! The endpoint tables of one service. The load balancing policy (`rushcourse-policy`) decides which table each gateway
//! is bound to, and which hosts each table contains with which weights. This module stores the tables and converts the
//! policy's actions into updates for gateways.

use crate::policy_adapter::policy_time;
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, Ms, Settings, TableId};
use rushcourse_types::{NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An entry of an endpoint table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableEndpoint {
    /// Id of the host instance.
    pub host: Arc<str>,
    /// Load balancing weight relative to the other entries. In an update, 0 removes the entry.
    pub weight: f64,
}

/// A snapshot of an endpoint table for the status page.
#[derive(Clone, Debug, PartialEq)]
pub struct TableView {
    /// Name of the service whose hosts the table lists.
    pub service: Arc<str>,
    /// Table id, unique within the service. Assigned by the policy.
    pub table: TableId,
    /// Number of gateways bound to the table.
    pub gateways: usize,
    /// The entries of the table, sorted by host id.
    pub endpoints: Vec<TableEndpoint>,
}

/// Withdraws a host or cancels its withdrawal. Gateways must not send requests to a withdrawn host even if their table
/// lists it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Withdrawal {
    pub(crate) host: Arc<str>,
    pub(crate) is_withdrawn: bool,
}

/// An update of the endpoint table that a gateway is bound to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GatewayUpdate {
    pub(crate) gateway: NodeId,
    pub(crate) service: Arc<str>,
    /// The number that the gateway returns to acknowledge the update.
    pub(crate) revision: u16,
    /// Whether `endpoints` is a complete table that replaces the gateway's table, rather than a list of changes.
    pub(crate) is_replacement: bool,
    pub(crate) endpoints: Vec<TableEndpoint>,
    pub(crate) withdrawals: Vec<Withdrawal>,
}

/// A timer requested by the policy. `token` is passed back to the policy when the timer fires.
#[derive(Clone, Debug)]
struct PolicyTimer {
    due_at: Ms,
    token: String,
}

/// Table changes for one gateway that result from one call of the policy.
#[derive(Default)]
struct UpdateBatch {
    is_replacement: bool,
    changes: BTreeMap<Arc<str>, f64>,
}

/// Changes for all gateways that result from one call of the policy.
#[derive(Default)]
struct PendingUpdates {
    batches: BTreeMap<NodeId, UpdateBatch>,
    withdrawals: Vec<Withdrawal>,
}

impl PendingUpdates {
    fn batch(&mut self, gateway: NodeId) -> &mut UpdateBatch {
        self.batches.entry(gateway).or_default()
    }
}

/// The tables of one service, the gateways bound to them, and the policy that maintains both.
pub(crate) struct ServiceTables {
    service: Arc<str>,
    policy: Director,
    tables: BTreeMap<TableId, BTreeMap<Arc<str>, f64>>,
    bindings: BTreeMap<NodeId, TableId>,
    withdrawn: BTreeSet<Arc<str>>,
    timers: Vec<PolicyTimer>,
    revision: u16,
}

impl ServiceTables {
    pub(crate) fn new(service: Arc<str>, settings: Settings) -> ServiceTables {
        ServiceTables {
            service,
            policy: Director::new(settings),
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            timers: Vec::new(),
            revision: 0,
        }
    }

    /// Passes events to the policy and returns the resulting updates for gateways.
    pub(crate) fn handle(&mut self, now: Timestamp, events: Vec<Event>) -> Vec<GatewayUpdate> {
        let actions = self.policy.handle(policy_time(now), events);
        let mut pending = PendingUpdates::default();
        for action in actions {
            self.apply(action, &mut pending);
        }
        self.gateway_updates(pending)
    }

    /// Removes the timers that are due and returns the corresponding policy events.
    pub(crate) fn take_due_timers(&mut self, now: Timestamp) -> Vec<Event> {
        let now = policy_time(now);
        let is_due = |timer: &PolicyTimer| timer.due_at <= now;
        let (due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(is_due);
        self.timers = later;
        due.into_iter()
            .map(|timer| Event::TimerFired { token: timer.token })
            .collect()
    }

    /// Removes the binding of a gateway to its table, so that it gets no more updates.
    pub(crate) fn unbind(&mut self, gateway: NodeId) {
        self.bindings.remove(&gateway);
    }

    /// Snapshots of the tables for the status page.
    pub(crate) fn views(&self) -> impl Iterator<Item = TableView> {
        self.tables.iter().map(|(id, weights)| TableView {
            service: self.service.clone(),
            table: *id,
            gateways: self.bindings.values().filter(|table| *table == id).count(),
            endpoints: endpoints(weights),
        })
    }

    fn apply(&mut self, action: Action, pending: &mut PendingUpdates) {
        match action {
            Action::SetEndpoint {
                table,
                host,
                weight,
            } => self.set_weight(table, &host, weight, pending),
            Action::ClearTable { table } => self.clear(table, pending),
            Action::BindProxy { proxy, table, .. } => {
                self.bindings.insert(NodeId(proxy), table);
                pending.batch(NodeId(proxy)).is_replacement = true;
            }
            Action::SetWithdrawn {
                host,
                is_withdrawn,
                channel: Channel::Dedicated,
            } => self.set_withdrawn(host, is_withdrawn, pending),
            Action::RequestAck { ack_number } => self.revision = ack_number,
            Action::StartTimer { token, at } => self.timers.push(PolicyTimer { due_at: at, token }),
            _ => {}
        }
    }

    fn set_weight(
        &mut self,
        table: TableId,
        host: &Arc<str>,
        weight: f64,
        pending: &mut PendingUpdates,
    ) {
        let weights = self.tables.entry(table).or_default();
        if weight > 0.0 {
            weights.insert(host.clone(), weight);
        } else {
            weights.remove(host);
        }
        for gateway in self.bound_to(table) {
            let changes = &mut pending.batch(gateway).changes;
            changes.insert(host.clone(), weight);
        }
    }

    fn clear(&mut self, table: TableId, pending: &mut PendingUpdates) {
        self.tables.remove(&table);
        for gateway in self.bound_to(table) {
            pending.batch(gateway).is_replacement = true;
        }
    }

    fn set_withdrawn(&mut self, host: Arc<str>, is_withdrawn: bool, pending: &mut PendingUpdates) {
        if is_withdrawn {
            self.withdrawn.insert(host.clone());
        } else {
            self.withdrawn.remove(&host);
        }
        pending.withdrawals.push(Withdrawal { host, is_withdrawn });
    }

    fn bound_to(&self, table: TableId) -> impl Iterator<Item = NodeId> {
        let bound = self.bindings.iter().filter(move |bound| *bound.1 == table);
        bound.map(|(gateway, _)| *gateway)
    }

    /// Builds the updates, sorted by gateway. Withdrawals are sent to every gateway bound to any table.
    fn gateway_updates(&self, mut pending: PendingUpdates) -> Vec<GatewayUpdate> {
        let mut receivers: BTreeSet<NodeId> = pending.batches.keys().copied().collect();
        if !pending.withdrawals.is_empty() {
            receivers.extend(self.bindings.keys());
        }
        receivers
            .into_iter()
            .map(|gateway| {
                let batch = pending.batches.remove(&gateway).unwrap_or_default();
                self.gateway_update(gateway, batch, &pending.withdrawals)
            })
            .collect()
    }

    /// Builds the update for one gateway. A replacement includes all withdrawn hosts, because the gateway may have just
    /// joined.
    fn gateway_update(
        &self,
        gateway: NodeId,
        batch: UpdateBatch,
        withdrawals: &[Withdrawal],
    ) -> GatewayUpdate {
        let (endpoints, withdrawals) = if batch.is_replacement {
            (self.endpoints_for(gateway), self.all_withdrawals())
        } else {
            (endpoints(&batch.changes), withdrawals.to_vec())
        };
        GatewayUpdate {
            gateway,
            service: self.service.clone(),
            revision: self.revision,
            is_replacement: batch.is_replacement,
            endpoints,
            withdrawals,
        }
    }

    /// All entries of the table that a gateway is bound to, or none without a binding.
    fn endpoints_for(&self, gateway: NodeId) -> Vec<TableEndpoint> {
        let table = self.bindings.get(&gateway);
        let weights = table.and_then(|table| self.tables.get(table));
        weights.map(endpoints).unwrap_or_default()
    }

    fn all_withdrawals(&self) -> Vec<Withdrawal> {
        let withdrawn = self.withdrawn.iter().cloned();
        withdrawn
            .map(|host| Withdrawal {
                host,
                is_withdrawn: true,
            })
            .collect()
    }
}

fn endpoints(weights: &BTreeMap<Arc<str>, f64>) -> Vec<TableEndpoint> {
    weights
        .iter()
        .map(|(host, weight)| TableEndpoint {
            host: host.clone(),
            weight: *weight,
        })
        .collect()
}
