//! The safety check, and the scheduler that sends updates within the limits of the channels.

use crate::constants::{
    HEALTHY_SATURATION, JOIN_QUIET_PERIOD, MAX_QUEUE_DELAY_FRACTION, MIN_LISTED_WEIGHT_CHANGE,
    MIN_QUEUE_DELAY, MIN_WEIGHT_CHANGE, ORDINARY_MESSAGE_FRACTION, ORDINARY_QUEUE_FRACTION, ROUND_INTERVAL,
    URGENT_QUEUE_FRACTION,
};
use crate::director::Director;
use crate::interface::{Channel, HostId, ProxyId, TableId};
use crate::state::{ChannelHost, PlannedUpdate, ProxyLines, URGENT, Update, UpdatePlan, WithdrawalRepeat};
use std::collections::BTreeSet;

impl Director {
    /// The safety check (CCG paper, section 4.4): each affected proxy must keep an endpoint that it certainly
    /// holds, and an endpoint is added again only after its removal is complete.
    fn passes_check(&self, planned: &PlannedUpdate) -> bool {
        match &planned.update {
            Update::Endpoint { table, host } => {
                let group = self.tables.by_id[table].key.group;
                let may_add = |proxy| !self.is_being_removed(proxy, group, host);
                let may_remove = |proxy| self.keeps_endpoint(proxy, group, |kept| kept != host);
                let mut users = self.tables.users(*table);
                if planned.value > 0.0 { users.all(may_add) } else { users.all(may_remove) }
            }
            Update::Bind { proxy, group, table } => {
                self.keeps_endpoint(*proxy, *group, |kept| self.tables.has_endpoint(*table, kept))
            }
            _ => true,
        }
    }

    /// Sends urgent updates at once, and the others once a round. Unless `is_complete`, only new proxies and
    /// unused tables are planned, which bounds the cost of a burst of joins.
    pub(crate) fn send_updates(&mut self, is_complete: bool) {
        let repeat = self.withdrawal_repeat();
        let mut plan = UpdatePlan { updates: self.due_withdrawals(&repeat), ..UpdatePlan::default() };
        self.send_eligible(&mut plan.updates, true);
        let mut binds = self.due_binds(is_complete, repeat.first_join);
        let tables = self.tables.by_id.iter();
        for (table, _) in tables.filter(|(_, table)| is_complete || table.users.is_empty()) {
            self.compare_weights(*table, &mut plan);
            self.compare_admission(*table, &mut plan);
        }
        self.examined += plan.updates.len() as u64;
        self.send_eligible(&mut plan.updates, true);
        self.send_eligible(&mut binds, true);
        if self.clock.now >= self.clock.next_round {
            self.clock.next_round = self.clock.now + ROUND_INTERVAL;
            plan.updates.extend(self.due_restorations(&plan.overweight));
            plan.updates.append(&mut binds);
            self.send_round(plan.updates);
        }
    }

    /// Sends ordinary updates by descending priority as far as the channel's limits allow, and drops pending
    /// updates that are no longer planned.
    fn send_round(&mut self, mut updates: Vec<PlannedUpdate>) {
        updates.sort_by(PlannedUpdate::sending_order);
        let planned: BTreeSet<&Update> = updates.iter().map(|planned| &planned.update).collect();
        self.pending.retain(|update, _| planned.contains(update));
        self.send_eligible(&mut updates, false);
        self.run_fallback();
    }

    /// Decides whether recent withdrawals are repeated for proxies that joined after them and await a bind:
    /// they are if that takes fewer channel lines than binding these proxies.
    fn withdrawal_repeat(&mut self) -> WithdrawalRepeat {
        let (last_join_at, max_age) = (self.proxies.last_join_at, self.settings.hosts.drain_grace / 2.0);
        let is_quiet = self.clock.now - last_join_at >= JOIN_QUIET_PERIOD;
        let awaiting = if is_quiet { self.joins_awaiting_bind() } else { Vec::new() };
        let mut repeat = self.hosts.missed_withdrawals(&awaiting, last_join_at, max_age);
        let late_joiners = awaiting.iter().filter(|join| **join > repeat.first_join).count() as f64;
        let repeated_lines = self.expected_withdrawal_lines(repeat.withdrawals) * (awaiting.len() as f64);
        repeat.is_due = repeated_lines < self.mean_bind_lines() * late_joiners;
        repeat
    }

    /// Withdrawals of hosts that are not ready, for channels on which they are due or to be repeated.
    fn due_withdrawals(&self, repeat: &WithdrawalRepeat) -> Vec<PlannedUpdate> {
        let is_up_to_date = |host: &ChannelHost<'_>| host.is_withdrawn() && !repeat.covers(host);
        let hosts = self.hosts.by_channel().filter(|host| !host.listed.is_ready() && !is_up_to_date(host));
        let mut due: Vec<ChannelHost<'_>> = hosts.collect();
        // New withdrawals go before repeated ones, which could fill the channel and delay them.
        due.sort_by_key(ChannelHost::is_withdrawn);
        due.into_iter().map(|host| PlannedUpdate::new(URGENT, Update::withdraw(&host))).collect()
    }

    /// Restores withdrawn hosts that are ready again, except those whose weight in a table is still too high.
    fn due_restorations(&self, overweight: &BTreeSet<(HostId, Channel)>) -> Vec<PlannedUpdate> {
        let withdrawn = self.hosts.by_channel().filter(|host| host.listed.is_ready() && host.is_withdrawn());
        let due = withdrawn.filter(|host| !overweight.contains(&(host.id.clone(), host.channel)));
        due.map(|host| PlannedUpdate::new(host.listed.entry.weight, Update::restore(&host))).collect()
    }

    /// Binds of proxies that lack their target table, first those whose join number exceeds `after`.
    fn due_binds(&mut self, is_complete: bool, after: usize) -> Vec<PlannedUpdate> {
        let mut ids = self.proxies.take_unplanned(is_complete);
        ids.sort_by_key(|id| self.proxies.by_id[id].join_number <= after);
        self.examined += ids.len() as u64;
        let mut binds = Vec::new();
        for group in 0..self.tables.groups.len() {
            let over_capacity = self.proxies_over_capacity(group);
            for id in &ids {
                binds.extend(self.due_bind(*id, group, over_capacity.contains(id)));
            }
        }
        binds
    }

    fn due_bind(&mut self, proxy: ProxyId, group: usize, is_closed: bool) -> Option<PlannedUpdate> {
        let table = self.target_table(proxy, group, is_closed);
        if self.proxies.by_id[&proxy].groups[group].table == Some(table) {
            return None;
        }
        let is_urgent = is_closed || !self.has_usable_endpoint(proxy, group);
        let priority = if is_urgent { URGENT } else { self.proxies.by_id[&proxy].rate.max(1.0) };
        Some(PlannedUpdate::new(priority, Update::Bind { proxy, group, table }))
    }

    /// Plans the updates that bring a table to its target weights. Weight reductions of restarted hosts and
    /// all changes of a table without traffic are urgent. A retired table gets only the former.
    fn compare_weights(&self, id: TableId, plan: &mut UpdatePlan) {
        let (table, status) = (&self.tables.by_id[&id], self.table_status(id));
        let (key, target) = (table.key, self.target_weights(table.key));
        let total: f64 = target.values().sum::<f64>().max(1e-9);
        let set_weight = |host: &HostId, priority: f64, value: f64| PlannedUpdate {
            priority,
            update: Update::Endpoint { table: id, host: host.clone() },
            value,
        };
        for (host, &wanted) in &target {
            let weight = table.weights.get(host).copied().unwrap_or(0.0);
            let change = (wanted - weight).abs();
            let is_restarted = weight > 2.0 * wanted && self.hosts.is_live(host, key.channel);
            if is_restarted || change > self.min_weight_change(key.zone, host, weight, wanted) {
                plan.add(status, is_restarted, set_weight(host, change / total, wanted));
                plan.overweight.extend((weight > wanted).then(|| (host.clone(), key.channel)));
            }
        }
        for (host, weight) in table.weights.iter().filter(|(host, _)| !target.contains_key(*host)) {
            plan.add(status, false, set_weight(host, weight / total, 0.0));
            plan.overweight.insert((host.clone(), key.channel));
        }
    }

    /// Weight changes of at most this size are not sent.
    fn min_weight_change(&self, zone: usize, host: &HostId, weight: f64, wanted: f64) -> f64 {
        let is_healthy = weight > 0.0 && self.zone(zone).saturation < HEALTHY_SATURATION;
        let part_of_listed = if is_healthy { MIN_LISTED_WEIGHT_CHANGE } else { 0.0 };
        (part_of_listed * self.hosts.by_id[host].entry.weight).max(MIN_WEIGHT_CHANGE * wanted)
    }

    fn compare_admission(&self, id: TableId, plan: &mut UpdatePlan) {
        let (table, status) = (&self.tables.by_id[&id], self.table_status(id));
        for class in self.tables.group(&table.key).iter() {
            let sent = self.sent_admission(table, class);
            let wanted = self.admission(table.key.zone, class);
            if wanted != sent {
                let priority = (wanted.quota - sent.quota).abs() + 0.01;
                let update = Update::Admission { table: id, class };
                plan.add(status, false, PlannedUpdate { priority, update, value: wanted.quota });
            }
        }
    }

    /// Sends either the urgent or the ordinary updates, as far as the check and the limits allow, and removes
    /// the sent ones from `updates`. Urgent updates skip the check.
    fn send_eligible(&mut self, updates: &mut Vec<PlannedUpdate>, urgent: bool) {
        for planned in std::mem::take(updates) {
            let is_eligible = urgent == planned.is_urgent();
            let is_safe = is_eligible && (urgent || self.passes_check(&planned));
            if is_safe && self.try_send(&planned.update, planned.value, urgent) {
                self.pending.remove(&planned.update);
                continue;
            }
            if is_eligible && !is_safe {
                self.pending.entry(planned.update.clone()).or_insert(self.clock.now);
            }
            updates.push(planned);
        }
    }

    /// Sends an update unless it exceeds the channel's window or a proxy's message cap, and returns whether
    /// it was sent. All updates go through here.
    pub(crate) fn try_send(&mut self, update: &Update, value: f64, is_urgent: bool) -> bool {
        let cost = self.cost(update);
        let added = cost.channel_lines;
        let has_room = added == 0.0 || self.fits_window(update, added, is_urgent);
        let is_capped = |lines: &ProxyLines| self.exceeds_message_cap(lines.proxy, update, is_urgent);
        let is_sent = has_room && !cost.by_proxy.iter().any(is_capped);
        if is_sent {
            self.apply_update(update, value, cost);
        }
        is_sent
    }

    /// Whether `added` lines fit the shared channel. Unacknowledged lines are an upper bound of its queue,
    /// which is kept short because queued lines delay withdrawals.
    fn fits_window(&self, update: &Update, added: f64, is_urgent: bool) -> bool {
        let (channel, grace) = (&self.settings.channel, self.settings.hosts.drain_grace);
        let queued = self.outbox.unacked_lines() + self.outbox.channel_lines;
        let fraction = if is_urgent { URGENT_QUEUE_FRACTION } else { ORDINARY_QUEUE_FRACTION };
        let span = (grace * MAX_QUEUE_DELAY_FRACTION).max(MIN_QUEUE_DELAY);
        let is_first = matches!(update, Update::Withdraw { .. }) || queued <= 0.0;
        let max_queue = if is_first { f64::INFINITY } else { channel.lines_per_second / 1000.0 * span };
        queued + added <= (fraction * channel.max_queued_lines).min(max_queue)
    }

    /// Whether a message to a proxy has to wait for its message cap. Half of the cap is unrestricted. Beyond
    /// it, urgent messages are spaced out, and withdrawals may use all but the last message.
    fn exceeds_message_cap(&self, id: ProxyId, update: &Update, is_urgent: bool) -> bool {
        let (cap, window) = (self.settings.channel.max_messages, self.settings.channel.message_window);
        if cap == 0 || self.outbox.lines.contains_key(&id) {
            return false;
        }
        let unrestricted = ORDINARY_MESSAGE_FRACTION * cap as f64;
        let sent_times = || self.proxies.by_id[&id].messages_within(window, self.clock.now);
        let (count, last) = (sent_times().count() as f64 + 1.0, sent_times().next_back().unwrap_or(0.0));
        let is_withdrawal = matches!(update, Update::Withdraw { .. }) && count < cap as f64;
        let is_spaced = is_urgent && self.clock.now - last > window / unrestricted;
        count > unrestricted && !is_withdrawal && !is_spaced
    }
}
