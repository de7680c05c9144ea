//! What proxies hold, as far as it is known (paper, sections 4.2 and 4.3).

use crate::director::Director;
use crate::interface::{AckNumber, Certainty, Channel, HostId, Ms, ProxyId, TableId};
use crate::state::{Proxy, TableKey, TableStatus};

impl Director {
    /// Whether an endpoint of a proxy is being removed, as far as is known.
    pub(crate) fn is_being_removed(&self, proxy: ProxyId, group: usize, host: &HostId) -> bool {
        let endpoint = self.proxies.by_id[&proxy].groups[group].endpoints.get(host);
        endpoint.is_some_and(|endpoint| endpoint.certainty == Certainty::Removing)
    }

    /// Whether a proxy may hold an endpoint of a live host that is not being removed.
    pub(crate) fn has_endpoint_left(&self, proxy: ProxyId, group: usize) -> bool {
        let proxy = &self.proxies.by_id[&proxy];
        proxy.groups[group].endpoints.iter().any(|(host, endpoint)| {
            endpoint.certainty != Certainty::Removing && self.hosts.is_live(host, proxy.channel)
        })
    }

    /// The table that a proxy is to be bound to for a group of classes; a closed one names no host.
    pub(crate) fn wanted_table(&mut self, proxy: ProxyId, group: usize, is_closed: bool) -> TableId {
        let proxy = &self.proxies.by_id[&proxy];
        let (zone, pool, channel) = (proxy.zone, proxy.pool % self.hosts.pools(), proxy.channel);
        self.tables.current_or_new(TableKey { zone, group, is_closed, pool, channel })
    }

    /// How a table stands.
    pub(crate) fn table_status(&self, table: TableId) -> TableStatus {
        let is_current = self.tables.is_current(table);
        let table = &self.tables.by_id[&table];
        let mut hosts = table.weights.keys();
        let is_free =
            table.users.is_empty() || !hosts.any(|host| self.hosts.is_live(host, table.key.channel));
        TableStatus { is_current, is_free }
    }

    /// Whether a proxy keeps a certain endpoint of a live host among those that stay.
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

    /// Proxies of the shared channel that await a bind, by the number of their join. It examines each proxy,
    /// so it is not asked while they join by the thousand.
    pub(crate) fn joins_awaiting_bind(&mut self) -> Vec<usize> {
        self.examined += self.proxies.by_id.len() as u64;
        let proxies = self.proxies.by_id.values();
        let awaiting = proxies.filter(|proxy| proxy.channel == Channel::Shared && proxy.awaits_bind());
        awaiting.map(|proxy| proxy.join_number).collect()
    }

    /// A proxy has applied a batch. On the shared channel, which is in order, all before it has left then; of
    /// other channels it proves nothing.
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

    /// The messages of a batch, and of all after it, leave only now: nothing of them is older. Where the call
    /// may have been carried out, that counts as a message of this moment, and its repeat as one more.
    pub(crate) fn postpone(&mut self, ack_number: AckNumber, may_have_run: bool) {
        let (Some(first), now) = (self.outbox.unacked_batch(ack_number), self.clock.now) else { return };
        let unacked = &mut self.outbox.unacked;
        unacked.range_mut(first..).for_each(|(_, batch)| batch.sent_at = now);
        let shared = |(_, proxy): &(&ProxyId, &mut Proxy)| proxy.channel == Channel::Shared;
        for (id, proxy) in self.proxies.by_id.iter_mut().filter(shared) {
            // One message of each of these batches has not left yet, as far as is known.
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

    /// A proxy with a dedicated channel does not hold what a batch and those after it asked for: nothing of
    /// that turns certain by time. `is_resent`: one more message leaves for it now.
    pub(crate) fn postpone_at(&mut self, id: ProxyId, ack_number: AckNumber, is_resent: bool) {
        let (Some(first), now) = (self.outbox.last_batch(ack_number), self.clock.now) else { return };
        let proxy = self.proxies.by_id.get_mut(&id);
        let Some(proxy) = proxy.filter(|proxy| proxy.channel == Channel::Dedicated) else { return };
        proxy.message_times.extend(is_resent.then_some(now));
        proxy.restart_timeouts(first, now);
    }
}
