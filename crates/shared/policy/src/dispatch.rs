//! Sent updates: turned into actions, and recorded in the model as uncertain until acknowledged.

use crate::director::Director;
use crate::interface::{
    AckNumber, Action, AdmissionKind, Certainty, Channel, ClassId, HostId, Ms, ProxyId, TableId, ZoneId,
};
use crate::state::{
    Admission, ModeledEndpoint, ProxyLines, SentWithdrawal, Table, UnackedBatch, Update, UpdateCost,
    ZonePressure,
};
use std::collections::BTreeSet;

/// Changes of a zone's admission level up to this size are not logged.
const MIN_LOGGED_CHANGE: f64 = 0.02;

impl Director {
    /// Adds an update to the open batch and records its effects in the model as uncertain.
    pub(crate) fn apply_update(&mut self, update: &Update, value: f64, cost: UpdateCost) {
        self.outbox.channel_lines += cost.channel_lines;
        for ProxyLines { proxy, lines } in cost.by_proxy {
            *self.outbox.lines.entry(proxy).or_insert(0.0) += lines;
        }
        match update {
            Update::Endpoint { table, host } => self.apply_endpoint(*table, host, value),
            Update::Bind { proxy, group, table } => self.apply_bind(*proxy, *group, *table),
            Update::Admission { table, class } => self.apply_admission(*table, *class),
            Update::Withdraw { host, channel } => self.apply_withdrawal(host, *channel, true),
            Update::Restore { host, channel } => self.apply_withdrawal(host, *channel, false),
        }
    }

    fn apply_endpoint(&mut self, table: TableId, host: &HostId, weight: f64) {
        let sent = self.sent_endpoint();
        let stored = self.tables.by_id.get_mut(&table).expect("only tables that exist are updated");
        stored.weights.insert(host.clone(), weight);
        stored.weights.retain(|_, weight| *weight > 0.0);
        for id in &stored.users {
            let proxy = self.proxies.by_id.get_mut(id).expect("users of a table are joined");
            proxy.groups[stored.key.group].record_sent(host, weight > 0.0, &sent);
        }
        self.outbox.push(Action::SetEndpoint { table, host: host.clone(), weight });
    }

    fn apply_bind(&mut self, id: ProxyId, group: usize, table: TableId) {
        let sent = self.sent_endpoint();
        let proxy = self.proxies.by_id.get_mut(&id).expect("only joined proxies are bound");
        let weights = &self.tables.by_id[&table].weights;
        let binding = &mut proxy.groups[group];
        let hosts: BTreeSet<HostId> = binding.endpoints.keys().chain(weights.keys()).cloned().collect();
        for host in hosts {
            binding.record_sent(&host, weights.contains_key(&host), &sent);
        }
        let previous = binding.table.replace(table);
        if let Some(previous) = previous.filter(|previous| proxy.tables().all(|table| table != *previous)) {
            self.tables.remove_user(previous, id);
        }
        self.tables.add_user(table, id);
        let classes = if self.tables.groups.len() > 1 { self.tables.groups[group].classes } else { 0 };
        self.outbox.push(Action::BindProxy { proxy: id, table, classes });
    }

    pub(crate) fn apply_withdrawal(&mut self, host: &HostId, channel: Channel, is_withdrawn: bool) {
        if let Some(listed) = self.hosts.by_id.get_mut(host) {
            listed.withdrawn[channel as usize] = is_withdrawn;
            if channel == Channel::Shared {
                let (join_count, at) = (self.proxies.join_count, self.clock.now);
                listed.last_withdrawal = SentWithdrawal { join_count, at };
            }
        }
        self.outbox.push(Action::SetWithdrawn { host: host.clone(), is_withdrawn, channel });
    }

    /// Model of an endpoint that the open batch adds.
    fn sent_endpoint(&self) -> ModeledEndpoint {
        let (batch, since) = (self.outbox.batch, self.clock.now);
        ModeledEndpoint { certainty: Certainty::Adding, batch, since, removal_acknowledged_at: None }
    }

    /// The admission that was last sent for a class of a table, or else the default of the proxies: they admit
    /// everything and apply the configured retry policy.
    pub(crate) fn sent_admission(&self, table: &Table, class: ClassId) -> Admission {
        let default = Admission { quota: 1.0, retry_policy: self.settings.proxies.retry_policy };
        table.admission.get(&class).copied().unwrap_or(default)
    }

    /// Sets the admission level of a zone. Does nothing unless proxies admit by ratio.
    pub(crate) fn set_admission(&mut self, zone: ZoneId, admission: f64, pressure: &ZonePressure) {
        if self.settings.proxies.admission_kind != AdmissionKind::Ratio {
            return;
        }
        let previous = std::mem::replace(&mut self.zones[zone].admission, admission);
        if (admission - previous).abs() > MIN_LOGGED_CHANGE {
            self.outbox.log(format!("event=admission_changed zone={zone} level={admission:.2} {pressure}"));
        }
    }

    fn apply_admission(&mut self, table: TableId, class: ClassId) {
        let admission = self.admission(self.tables.by_id[&table].key.zone, class);
        let stored = self.tables.by_id.get_mut(&table).expect("only tables that exist are updated");
        stored.admission.insert(class, admission);
        let Admission { quota, retry_policy } = admission;
        self.outbox.push(Action::SetAdmission { table, classes: 1 << class, quota, retry_policy });
    }

    /// Closes the open batch and returns its actions. If the batch writes to a proxy, it ends with a request
    /// for an acknowledgement, and its lines count as queued until they are acknowledged.
    pub(crate) fn close_batch(&mut self) -> Vec<Action> {
        if !self.outbox.lines.is_empty() {
            let ack_number = self.outbox.ack_number();
            self.outbox.push(Action::RequestAck { ack_number });
            let now = self.clock.now;
            let window_start = now - self.settings.channel.message_window - self.settings.channel.max_transit;
            for id in self.outbox.lines.keys() {
                let Some(proxy) = self.proxies.by_id.get_mut(id) else { continue };
                proxy.message_times.retain(|at| *at >= window_start);
                proxy.message_times.push_back(now);
            }
            let mut lines = std::mem::take(&mut self.outbox.lines);
            lines.retain(|id, _| self.proxies.is_joined_by(*id, Channel::Shared));
            lines.values_mut().for_each(|lines| *lines = self.channel_lines(*lines));
            if !lines.is_empty() {
                let line_count = lines.values().sum();
                let batch = UnackedBatch { sent_at: now, lines, line_count, repeats: 0.0 };
                self.outbox.unacked.insert(self.outbox.batch, batch);
            }
            self.outbox.batch += 1;
            self.outbox.channel_lines = 0.0;
        }
        std::mem::take(&mut self.outbox.actions)
    }

    /// Whether a call of unknown outcome may be resent without exceeding the message cap of a proxy.
    pub fn may_resend(&self, ack_number: AckNumber, now: Ms) -> bool {
        let cap = self.settings.channel.max_messages;
        cap == 0 || self.max_recent_messages(ack_number, now) <= cap
    }
}
