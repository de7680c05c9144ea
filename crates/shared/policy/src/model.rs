//! The model of the endpoints that proxies hold (CCG paper, sections 4.2 and 4.3).

use crate::director::Director;
use crate::interface::{AckNumber, Certainty, Channel, HostId, Ms, ProxyId, TableId};
use crate::state::{Proxy, TableKey, TableStatus};

impl Director {
    pub(crate) fn is_being_removed(&self, proxy: ProxyId, group: usize, host: &HostId) -> bool {
        let endpoint = self.proxies.by_id[&proxy].groups[group].endpoints.get(host);
        endpoint.is_some_and(|endpoint| endpoint.certainty == Certainty::Removing)
    }

    /// Whether a proxy may hold an endpoint of a live host, except endpoints that are being removed.
    pub(crate) fn has_usable_endpoint(&self, proxy: ProxyId, group: usize) -> bool {
        let proxy = &self.proxies.by_id[&proxy];
        proxy.groups[group].endpoints.iter().any(|(host, endpoint)| {
            endpoint.certainty != Certainty::Removing && self.hosts.is_live(host, proxy.channel)
        })
    }

    /// The table to which a proxy should be bound for a group of classes, created on demand. A closed table has
    /// no hosts.
    pub(crate) fn target_table(&mut self, proxy: ProxyId, group: usize, is_closed: bool) -> TableId {
        let proxy = &self.proxies.by_id[&proxy];
        let (zone, pool, channel) = (proxy.zone, proxy.pool % self.hosts.pools(), proxy.channel);
        self.tables.current_or_new(TableKey { zone, group, is_closed, pool, channel })
    }

    pub(crate) fn table_status(&self, table: TableId) -> TableStatus {
        let is_current = self.tables.is_current(table);
        let table = &self.tables.by_id[&table];
        let mut hosts = table.weights.keys();
        let carries_no_traffic =
            table.users.is_empty() || !hosts.any(|host| self.hosts.is_live(host, table.key.channel));
        TableStatus { is_current, carries_no_traffic }
    }

    /// Whether a proxy certainly holds an endpoint of a live host for which `stays` is true.
    pub(crate) fn keeps_endpoint(
        &self,
        proxy: ProxyId,
        group: usize,
        stays: impl Fn(&HostId) -> bool,
    ) -> bool {
        let proxy = &self.proxies.by_id[&proxy];
        proxy.groups[group].endpoints.iter().any(|(host, endpoint)| {
            endpoint.certainty == Certainty::Certain && self.hosts.is_live(host, proxy.channel) && stays(host)
        })
    }

    /// Join numbers of the proxies on the shared channel that await a bind. It examines every proxy, so callers
    /// avoid it during bursts of joins.
    pub(crate) fn joins_awaiting_bind(&mut self) -> Vec<usize> {
        self.examined += self.proxies.by_id.len() as u64;
        let proxies = self.proxies.by_id.values();
        let awaiting = proxies.filter(|proxy| proxy.channel == Channel::Shared && proxy.awaits_bind());
        awaiting.map(|proxy| proxy.join_number).collect()
    }

    /// Handles a proxy's acknowledgement of a batch. The shared channel preserves order, so there the
    /// acknowledgement also proves that all earlier batches were sent. It proves nothing about other channels.
    pub(crate) fn acknowledge(&mut self, ack_number: AckNumber, id: ProxyId, elapsed: Ms) {
        let is_shared = self.proxies.is_joined_by(id, Channel::Shared);
        let batch = if is_shared {
            self.outbox.unacked_batch(ack_number)
        } else {
            self.outbox.last_batch(ack_number)
        };
        let (Some(batch), Some(proxy)) = (batch, self.proxies.by_id.get_mut(&id)) else { return };
        let slowest = if is_shared { &mut self.outbox.slowest_ack } else { &mut proxy.slowest_ack };
        *slowest = elapsed.max(*slowest * 0.95);
        proxy.acknowledge(batch, self.clock.now);
        if is_shared {
            self.outbox.acknowledge(batch, id);
        }
    }

    /// Restarts the timeouts of a batch and all later ones, whose messages leave only now. If the call may have
    /// run, its messages and their repeats both count against the message cap.
    pub(crate) fn postpone(&mut self, ack_number: AckNumber, may_have_run: bool) {
        let (Some(first), now) = (self.outbox.unacked_batch(ack_number), self.clock.now) else { return };
        let unacked = &mut self.outbox.unacked;
        unacked.range_mut(first..).for_each(|(_, batch)| batch.sent_at = now);
        let shared = |(_, proxy): &(&ProxyId, &mut Proxy)| proxy.channel == Channel::Shared;
        for (id, proxy) in self.proxies.by_id.iter_mut().filter(shared) {
            // Each of these batches holds one message to the proxy that may not have been sent yet.
            let ahead = unacked.range(first..).filter(|(_, batch)| batch.lines.contains_key(id)).count();
            proxy.message_times.iter_mut().rev().take(ahead).for_each(|at| *at = now);
            let is_repeated = may_have_run && unacked[&first].lines.contains_key(id);
            proxy.message_times.extend(is_repeated.then_some(now));
            proxy.restart_timeouts(first, now);
        }
        if let Some(batch) = unacked.get_mut(&first).filter(|_| may_have_run) {
            batch.repeats += 1.0;
        }
    }

    /// Restarts the timeouts of a batch and all later ones at a proxy on a dedicated channel that has not
    /// applied them. `is_resent`: another message to the proxy is sent now.
    pub(crate) fn postpone_at(&mut self, id: ProxyId, ack_number: AckNumber, is_resent: bool) {
        let (Some(first), now) = (self.outbox.last_batch(ack_number), self.clock.now) else { return };
        let proxy = self.proxies.by_id.get_mut(&id);
        let Some(proxy) = proxy.filter(|proxy| proxy.channel == Channel::Dedicated) else { return };
        proxy.message_times.extend(is_resent.then_some(now));
        proxy.restart_timeouts(first, now);
    }
}
