//! Cost of updates on the shared channel. The unit is a line of a message.

use crate::constants::MAX_TABLE_HOSTS;
use crate::director::Director;
use crate::interface::{AckNumber, Channel, HostId, Ms, ProxyId, TableId};
use crate::state::{Proxy, ProxyLines, Update, UpdateCost};
use std::collections::BTreeSet;

impl Director {
    /// Lines that an update writes to each proxy, and the shared channel's lines that it adds to the batch.
    pub(crate) fn cost(&self, update: &Update) -> UpdateCost {
        let by_proxy = self.written_lines(update);
        let on_shared =
            by_proxy.iter().filter(|added| self.proxies.is_joined_by(added.proxy, Channel::Shared));
        let channel_lines = on_shared.map(|added| self.added_channel_lines(added)).sum();
        UpdateCost { by_proxy, channel_lines }
    }

    pub(crate) fn written_lines(&self, update: &Update) -> Vec<ProxyLines> {
        match update {
            Update::Endpoint { table, .. } | Update::Admission { table, .. } => {
                self.tables.users(*table).map(|proxy| ProxyLines { proxy, lines: 1.0 }).collect()
            }
            Update::Bind { proxy, table, .. } => {
                vec![ProxyLines { proxy: *proxy, lines: self.bind_lines(*proxy, *table) }]
            }
            Update::Withdraw { host, channel } | Update::Restore { host, channel } => {
                self.withdrawal_cost(host, *channel)
            }
        }
    }

    /// A bind writes all endpoints of the table, its admission levels, and a line per withdrawn host in it.
    fn bind_lines(&self, proxy: ProxyId, table: TableId) -> f64 {
        let (table, channel) = (&self.tables.by_id[&table], self.proxies.by_id[&proxy].channel);
        let is_withdrawn =
            |host: &&HostId| self.hosts.by_id.get(*host).is_some_and(|h| h.is_withdrawn(channel));
        let withdrawn = table.weights.keys().filter(is_withdrawn).count();
        1.0 + (table.weights.len() + table.admission.len() + withdrawn) as f64
    }

    /// A withdrawal writes a line to each proxy whose tables contain the host. The endpoints of a proxy that
    /// awaits its bind are unknown, so the line is weighted with the probability that one is the host.
    fn withdrawal_cost(&self, host: &HostId, channel: Channel) -> Vec<ProxyLines> {
        let names = |table: &TableId| self.tables.has_endpoint(*table, host);
        let naming: BTreeSet<TableId> = self.tables.by_id.keys().copied().filter(names).collect();
        let chance = self.table_membership_probability();
        let lines = |proxy: &Proxy| {
            let is_named = proxy.tables().any(|table| naming.contains(&table));
            if is_named { Some(1.0) } else { proxy.awaits_bind().then_some(chance) }
        };
        let reached = self.proxies.by_id.iter().filter(|(_, proxy)| proxy.channel == channel);
        reached.filter_map(|(id, proxy)| Some(ProxyLines { proxy: *id, lines: lines(proxy)? })).collect()
    }

    /// Probability that a table contains a given host: the maximum table size over the number of hosts.
    fn table_membership_probability(&self) -> f64 {
        (MAX_TABLE_HOSTS as f64 / self.hosts.by_id.len().max(1) as f64).min(1.0)
    }

    /// Channel lines of a message with `lines` lines, its overhead included. A value below 1 is the
    /// probability that there is a message at all, and scales the overhead.
    pub(crate) fn channel_lines(&self, lines: f64) -> f64 {
        lines + (self.settings.channel.lines_per_message + 1.0) * lines.min(1.0)
    }

    /// Channel lines that `added` costs on top of the lines that the open batch holds for the same proxy.
    fn added_channel_lines(&self, added: &ProxyLines) -> f64 {
        let before = self.outbox.lines.get(&added.proxy).copied().unwrap_or(0.0);
        self.channel_lines(before + added.lines) - self.channel_lines(before)
    }

    /// Expected channel lines of withdrawing `hosts` hosts at a proxy that awaits its bind.
    pub(crate) fn expected_withdrawal_lines(&self, hosts: usize) -> f64 {
        self.channel_lines(hosts as f64 * self.table_membership_probability())
    }

    /// Channel lines of a bind to a current table of average size.
    pub(crate) fn mean_bind_lines(&self) -> f64 {
        let current = self.tables.current.values();
        let lines: usize = current.map(|table| self.tables.by_id[table].weights.len()).sum();
        self.channel_lines(lines as f64 / self.tables.current.len().max(1) as f64)
    }

    /// Maximum, over the proxies that have yet to acknowledge a batch, of the messages written to one of them
    /// within the message window plus the maximum transit time.
    pub(crate) fn max_recent_messages(&self, ack_number: AckNumber, now: Ms) -> usize {
        let span = self.settings.channel.message_window + self.settings.channel.max_transit;
        let batch = self.outbox.unacked_batch(ack_number).and_then(|batch| self.outbox.unacked.get(&batch));
        let reached = batch.into_iter().flat_map(|batch| batch.lines.keys());
        let proxies = reached.filter_map(|proxy| self.proxies.by_id.get(proxy));
        proxies.map(|proxy| proxy.messages_within(span, now).count()).max().unwrap_or(0)
    }
}
