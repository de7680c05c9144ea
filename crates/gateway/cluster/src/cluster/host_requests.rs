//! Registrations, heartbeats and deregistrations of hosts, and the propagation of host changes.

use crate::cluster::Cluster;
use crate::events::Effect;
use rushcourse_messages::{HostRecord, HostState, Message};
use rushcourse_types::{Millis, Timestamp};
use std::sync::Arc;

impl Cluster {
    /// Applies a registration or heartbeat. Changes are broadcast immediately; other heartbeats are batched.
    pub(super) fn handle_host_request(&mut self, now: Timestamp, record: HostRecord) {
        let id = record.id.clone();
        let sequence = record.sequence;
        let is_new = self.hosts.get(&id).is_none();
        if !self.hosts.apply_record(now, record) {
            self.heartbeats.add(id, sequence);
            return;
        }
        if let Some(host) = self.hosts.get(&id) {
            let record = host.record_at(now);
            self.broadcast_host(record);
        }
        if is_new {
            self.log(format!("event=host_registered id={id}"));
        }
        self.publish_hosts(now, &[id]);
    }

    /// Marks the host as gone, known or not, and broadcasts this. Repeated deregistrations are ignored.
    pub(super) fn handle_deregistration(&mut self, now: Timestamp, id: Arc<str>) {
        if let Some(record) = self.hosts.deregister(now, &id) {
            self.broadcast_host(record);
            self.publish_hosts(now, &[id]);
        }
    }

    /// Adds the hosts read from the state file at startup. They count as seen now, so a host that no longer exists
    /// expires by the usual heartbeat timeout.
    pub(super) fn restore_hosts(&mut self, now: Timestamp, records: Vec<HostRecord>) {
        let has_hosts = records.iter().any(|host| host.state != HostState::Gone);
        self.initial_sync.set_done(has_hosts);
        let ids: Vec<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            // The stored warm-up is outdated. The next heartbeat contains the remaining time.
            let record = HostRecord {
                age: Millis(0),
                warm_up: Millis(0),
                ..record
            };
            self.hosts.apply_record(now, record);
        }
        self.log(format!("event=hosts_restored hosts={}", ids.len()));
        self.distribute_hosts(now, &ids);
    }

    /// Sends a host change to all other controllers. If the host is draining or gone, also sends it to all connected
    /// gateways, including those whose primary is another controller.
    fn broadcast_host(&mut self, record: HostRecord) {
        if record.state != HostState::Ready {
            self.log(format!(
                "event=host_leaving id={} state={:?}",
                record.id, record.state
            ));
            self.broadcast_to_gateways(Message::HostStates(vec![record.clone()]));
        }
        self.broadcast_to_peers(Message::HostUpdates(vec![record]));
    }

    /// Persists new and changed hosts and updates the endpoint tables. A host that is gone or drains stays in the state
    /// file, so that a late heartbeat is recognized after a restart. One that timed out is removed, since a restarted
    /// controller would take it for one that was just seen.
    pub(super) fn publish_hosts(&mut self, now: Timestamp, ids: &[Arc<str>]) {
        for id in ids {
            let Some(host) = self.hosts.get(id) else {
                continue;
            };
            let record = host.record_at(now);
            self.effects
                .push(if host.is_timed_out() && record.state == HostState::Ready {
                    Effect::RemoveStoredHost(record.id)
                } else {
                    Effect::PersistHost(record)
                });
        }
        self.distribute_hosts(now, ids);
    }

    /// Passes new and changed hosts to the policies and sends the resulting table updates.
    fn distribute_hosts(&mut self, now: Timestamp, ids: &[Arc<str>]) {
        let hosts = ids.iter().filter_map(|id| self.hosts.get(id));
        // No policy knows a host that signed off before its first heartbeat.
        let hosts = hosts.filter(|host| !host.is_unknown_gone());
        let updates = self.distribution.update_hosts(now, hosts);
        self.send_updates(now, updates);
    }
}
