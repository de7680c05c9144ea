//! What updates cost on the channel, in lines.

use crate::director::Director;
use crate::interface::{AckNumber, Channel, HostId, Ms, ProxyId, TableId};
use crate::state::{Proxy, ProxyLines, Update, UpdateCost};
use crate::constants::MAX_TABLE_HOSTS;
use std::collections::BTreeSet;

impl Director {
    /// What an update costs.
    pub(crate) fn cost(&self, update: &Update) -> UpdateCost {
        let by_proxy = self.written_lines(update);
        let on_shared =
            by_proxy.iter().filter(|added| self.proxies.is_joined_by(added.proxy, Channel::Shared));
        let channel_lines = on_shared.map(|added| self.added_channel_lines(added)).sum();
        UpdateCost { by_proxy, channel_lines }
    }

    /// The lines that an update writes, by proxy.
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

    /// A bind writes the whole table, its levels, and the withdrawn hosts that it names.
    fn bind_lines(&self, proxy: ProxyId, table: TableId) -> f64 {
        let (table, channel) = (&self.tables.by_id[&table], self.proxies.by_id[&proxy].channel);
        let is_withdrawn =
            |host: &&HostId| self.hosts.by_id.get(*host).is_some_and(|h| h.is_withdrawn(channel));
        let withdrawn = table.weights.keys().filter(is_withdrawn).count();
        1.0 + (table.weights.len() + table.admission.len() + withdrawn) as f64
    }

    /// A withdrawal writes a line to each proxy that holds the host. A proxy that awaits its bind holds
    /// endpoints that are not known: a table of under 30 hosts, so that of a thousand such proxies few name
    /// this one. Counted as a whole line each, the withdrawals of a release filled the channel's window by
    /// themselves, and waited for it.
    fn withdrawal_cost(&self, host: &HostId, channel: Channel) -> Vec<ProxyLines> {
        let names = |table: &TableId| self.tables.has_endpoint(*table, host);
        let naming: BTreeSet<TableId> = self.tables.by_id.keys().copied().filter(names).collect();
        let chance = self.chance_to_be_named();
        let lines = |proxy: &Proxy| {
            let is_named = proxy.tables().any(|table| naming.contains(&table));
            if is_named { Some(1.0) } else { proxy.awaits_bind().then_some(chance) }
        };
        let reached = self.proxies.by_id.iter().filter(|(_, proxy)| proxy.channel == channel);
        reached.filter_map(|(id, proxy)| Some(ProxyLines { proxy: *id, lines: lines(proxy)? })).collect()
    }

    /// The chance that a table names a given host: the part of all hosts that a table holds.
    fn chance_to_be_named(&self) -> f64 {
        (MAX_TABLE_HOSTS as f64 / self.hosts.by_id.len().max(1) as f64).min(1.0)
    }

    /// What a message of so many lines takes of the channel. Under one line is the chance that there is a
    /// message at all: counted whole at a thousand proxies of which few hold the host, one withdrawal took a
    /// second of the channel.
    pub(crate) fn channel_lines(&self, lines: f64) -> f64 {
        lines + (self.settings.channel.lines_per_message + 1.0) * lines.min(1.0)
    }

    /// What so many lines more take of the channel, beside the proxy's lines of the batch in the making.
    fn added_channel_lines(&self, added: &ProxyLines) -> f64 {
        let before = self.outbox.lines.get(&added.proxy).copied().unwrap_or(0.0);
        self.channel_lines(before + added.lines) - self.channel_lines(before)
    }

    /// What so many withdrawals take of the channel at a proxy that awaits its bind.
    pub(crate) fn withdrawals_lines(&self, hosts: usize) -> f64 {
        self.channel_lines(hosts as f64 * self.chance_to_be_named())
    }

    /// What the bind of a proxy to an average table takes of the channel.
    pub(crate) fn mean_bind_lines(&self) -> f64 {
        let current = self.tables.current.values();
        let lines: usize = current.map(|table| self.tables.by_id[table].weights.len()).sum();
        self.channel_lines(lines as f64 / self.tables.current.len().max(1) as f64)
    }

    /// The most messages written to one of the proxies that a batch reaches, its next one included, within
    /// the span that messages are counted over and the longest way of a message.
    pub(crate) fn most_messages(&self, ack_number: AckNumber, now: Ms) -> usize {
        let span = self.settings.channel.message_window + self.settings.channel.max_transit;
        let batch = self.outbox.unacked_batch(ack_number).and_then(|batch| self.outbox.unacked.get(&batch));
        let reached = batch.into_iter().flat_map(|batch| batch.lines.keys());
        let proxies = reached.filter_map(|proxy| self.proxies.by_id.get(proxy));
        proxies.map(|proxy| proxy.messages_within(span, now).count()).max().unwrap_or(0)
    }
}
