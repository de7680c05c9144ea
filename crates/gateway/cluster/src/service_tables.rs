//! The endpoint tables of one service. The load balancing policy (`rushcourse-policy`) decides which hosts are in which
//! table and with which weight; it sees gateways as its proxies, each with a channel of its own. This module stores the
//! tables as the policy defines them, and turns the policy's actions into updates for gateways.

use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, Ms, Settings, TableId};
use rushcourse_types::{NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A host in an endpoint table, and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct TableEndpoint {
    /// The host's id.
    pub host: Arc<str>,
    /// Its share among the table's hosts; 0 removes it.
    pub weight: f64,
}

/// A table as it is now, for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct TableView {
    /// The service that the table is of.
    pub service: Arc<str>,
    /// The table's number, as the policy counts them for each service.
    pub table: TableId,
    /// How many gateways are bound to it.
    pub gateways: usize,
    /// Its hosts, in the order of their ids.
    pub endpoints: Vec<TableEndpoint>,
}

/// A host that is withdrawn: no gateway may send to it, whatever its table says. Or one that is withdrawn no longer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Withdrawal {
    pub(crate) host: Arc<str>,
    pub(crate) is_withdrawn: bool,
}

/// A message for one gateway about the table that it is bound to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GatewayUpdate {
    pub(crate) gateway: NodeId,
    pub(crate) service: Arc<str>,
    /// The gateway acknowledges the update by it.
    pub(crate) revision: u16,
    /// Whether `endpoints` is the complete table, which replaces what the gateway has; otherwise only what changed.
    pub(crate) is_replacement: bool,
    pub(crate) endpoints: Vec<TableEndpoint>,
    pub(crate) withdrawals: Vec<Withdrawal>,
}

/// A moment in the policy's unit, milliseconds with fractions.
pub(crate) fn policy_time(moment: Timestamp) -> Ms {
    moment.as_millis() as Ms
}

/// The policy asked to be called at a later moment.
#[derive(Clone, Debug)]
struct PolicyTimer {
    due_at: Ms,
    token: String,
}

/// The changes for one gateway that follow from one call of the policy.
#[derive(Default)]
struct UpdateBatch {
    is_replacement: bool,
    changes: BTreeMap<Arc<str>, f64>,
}

/// The changes for all gateways that follow from one call of the policy.
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

/// All tables of one service, and the gateways that are bound to them.
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

    /// Passes events to the policy, and returns the updates for gateways that follow.
    pub(crate) fn handle(&mut self, now: Timestamp, events: Vec<Event>) -> Vec<GatewayUpdate> {
        let actions = self.policy.handle(policy_time(now), events);
        let mut pending = PendingUpdates::default();
        for action in actions {
            self.apply(action, &mut pending);
        }
        self.gateway_updates(pending)
    }

    /// Removes the timers that are due and returns their events.
    pub(crate) fn take_due_timers(&mut self, now: Timestamp) -> Vec<Event> {
        let now = policy_time(now);
        let is_due = |timer: &PolicyTimer| timer.due_at <= now;
        let (due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(is_due);
        self.timers = later;
        due.into_iter()
            .map(|timer| Event::TimerFired { token: timer.token })
            .collect()
    }

    /// Forgets to which table a gateway was bound.
    pub(crate) fn unbind(&mut self, gateway: NodeId) {
        self.bindings.remove(&gateway);
    }

    /// The tables, for status pages.
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

    /// The updates in the order of gateways. A withdrawal goes to every gateway that is bound to any table.
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

    /// A gateway whose table is replaced gets all withdrawn hosts, since it may be new here.
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

    /// The complete table that a gateway is bound to.
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
