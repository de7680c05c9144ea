//! The check (paper 4.4) and the scheduler: what differs between tables and targets, what of it is sent.

use crate::director::Director;
use crate::interface::{Channel, HostId, ProxyId, TableId};
use crate::state::{ChannelHost, PlannedUpdate, ProxyLines, URGENT, Update, UpdatePlan, WithdrawalRepeat};
use crate::constants::{
    HEALTHY_SATURATION, JOIN_QUIET_PERIOD, MAX_QUEUE_AHEAD_OF_DRAINS, MIN_LISTED_WEIGHT_CHANGE,
    MIN_QUEUE_AHEAD_OF_DRAINS, MIN_WEIGHT_CHANGE, ORDINARY_MESSAGE_PART, ORDINARY_QUEUE_PART, ROUND_INTERVAL,
    URGENT_QUEUE_PART,
};
use std::collections::BTreeSet;

impl Director {
    /// The check (paper 4.4): an update passes if each proxy it touches keeps a certain endpoint that is not
    /// being removed. One comes back only when its removal is certain: the two must not meet (paper 2, 6).
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

    /// Sends urgent differences between tables and targets at once, in a round the rest by size; what fails
    /// the check stays pending, and goes from there to the fallback. Between rounds and lists only who joined
    /// and tables that nobody uses want anything: a thousand may join within a second.
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

    /// As many updates a round as the channel carries, the largest first (design's companion scheduler).
    fn send_round(&mut self, mut updates: Vec<PlannedUpdate>) {
        updates.sort_by(PlannedUpdate::sending_order);
        let planned: BTreeSet<&Update> = updates.iter().map(|planned| &planned.update).collect();
        self.pending.retain(|update, _| planned.contains(update));
        self.send_eligible(&mut updates, false);
        self.run_fallback();
    }

    /// Who joins behind a withdrawal learns of it by a bind. Where thousands wait for theirs, either these
    /// are bound first, or it goes out again once all are here: what takes less of the channel. Harm: a line
    /// again at those who knew.
    fn withdrawal_repeat(&mut self) -> WithdrawalRepeat {
        let (last_join_at, max_age) = (self.proxies.last_join_at, self.settings.hosts.drain_grace / 2.0);
        let is_quiet = self.clock.now - last_join_at >= JOIN_QUIET_PERIOD;
        let awaiting = if is_quiet { self.joins_awaiting_bind() } else { Vec::new() };
        let mut repeat = self.hosts.missed_withdrawals(&awaiting, last_join_at, max_age);
        let behind = awaiting.iter().filter(|join| **join > repeat.first_join).count() as f64;
        let repeated_lines = self.withdrawals_lines(repeat.orders) * (awaiting.len() as f64);
        repeat.is_due = repeated_lines < self.mean_bind_lines() * behind;
        repeat
    }

    /// Withdrawals of hosts that take no requests, for the channels whose proxies were not told.
    fn due_withdrawals(&self, repeat: &WithdrawalRepeat) -> Vec<PlannedUpdate> {
        let is_informed = |host: &ChannelHost<'_>| host.is_withdrawn() && !repeat.covers(host);
        let hosts = self.hosts.by_channel().filter(|host| !host.listed.is_ready() && !is_informed(host));
        let mut due: Vec<ChannelHost<'_>> = hosts.collect();
        // What nobody was told yet goes first: behind fifty told again, ten came two seconds late.
        due.sort_by_key(ChannelHost::is_withdrawn);
        due.into_iter().map(|host| PlannedUpdate::new(URGENT, Update::withdraw(&host))).collect()
    }

    /// Hosts that take requests again come back, unless a table has yet to be told of their smaller weight.
    fn due_restorations(&self, overweight: &BTreeSet<(HostId, Channel)>) -> Vec<PlannedUpdate> {
        let withdrawn = self.hosts.by_channel().filter(|host| host.listed.is_ready() && host.is_withdrawn());
        let due = withdrawn.filter(|host| !overweight.contains(&(host.id.clone(), host.channel)));
        due.map(|host| PlannedUpdate::new(host.listed.entry.weight, Update::restore(&host))).collect()
    }

    /// Binds that proxies lack, first of those that joined after a number of joins. One whose proxy the model
    /// shows without an endpoint is urgent.
    fn due_binds(&mut self, is_complete: bool, after: usize) -> Vec<PlannedUpdate> {
        let mut ids = self.proxies.take_unplanned(is_complete);
        ids.sort_by_key(|id| self.proxies.by_id[id].join_number <= after);
        self.examined += ids.len() as u64;
        let mut binds = Vec::new();
        for group in 0..self.tables.groups.len() {
            let beyond_capacity = self.proxies_beyond_capacity(group);
            for id in &ids {
                binds.extend(self.due_bind(*id, group, beyond_capacity.contains(id)));
            }
        }
        binds
    }

    fn due_bind(&mut self, proxy: ProxyId, group: usize, is_closed: bool) -> Option<PlannedUpdate> {
        let table = self.wanted_table(proxy, group, is_closed);
        if self.proxies.by_id[&proxy].groups[group].table == Some(table) {
            return None;
        }
        let is_urgent = is_closed || !self.has_endpoint_left(proxy, group);
        let size = if is_urgent { URGENT } else { self.proxies.by_id[&proxy].rate.max(1.0) };
        Some(PlannedUpdate::new(size, Update::Bind { proxy, group, table }))
    }

    /// The updates that bring a table to its target. Filling an unused or empty table is urgent, so is taking
    /// weight off a host that has started anew; only that is done to a table that its proxies are to leave.
    fn compare_weights(&self, id: TableId, plan: &mut UpdatePlan) {
        let (table, status) = (&self.tables.by_id[&id], self.table_status(id));
        let (key, target) = (table.key, self.target_weights(table.key));
        let total: f64 = target.values().sum::<f64>().max(1e-9);
        let set = |host: &HostId, size: f64, value: f64| PlannedUpdate {
            size,
            update: Update::Endpoint { table: id, host: host.clone() },
            value,
        };
        for (host, &wanted) in &target {
            let weight = table.weights.get(host).copied().unwrap_or(0.0);
            let change = (wanted - weight).abs();
            let is_restarted = weight > 2.0 * wanted && self.hosts.is_live(host, key.channel);
            if is_restarted || change > self.least_change(key.zone, host, weight, wanted) {
                plan.add(status, is_restarted, set(host, change / total, wanted));
                plan.overweight.extend((weight > wanted).then(|| (host.clone(), key.channel)));
            }
        }
        for (host, weight) in table.weights.iter().filter(|(host, _)| !target.contains_key(*host)) {
            plan.add(status, false, set(host, weight / total, 0.0));
            plan.overweight.insert((host.clone(), key.channel));
        }
    }

    /// Below this a change of weight is worth no order.
    fn least_change(&self, zone: usize, host: &HostId, weight: f64, wanted: f64) -> f64 {
        let is_healthy = weight > 0.0 && self.zone(zone).saturation < HEALTHY_SATURATION;
        let part_of_listed = if is_healthy { MIN_LISTED_WEIGHT_CHANGE } else { 0.0 };
        (part_of_listed * self.hosts.by_id[host].entry.weight).max(MIN_WEIGHT_CHANGE * wanted)
    }

    fn compare_admission(&self, id: TableId, plan: &mut UpdatePlan) {
        let (table, status) = (&self.tables.by_id[&id], self.table_status(id));
        for class in self.tables.group(&table.key).iter() {
            let ordered = self.ordered_admission(table, class);
            let wanted = self.admission(table.key.zone, class);
            if wanted != ordered {
                let size = (wanted.quota - ordered.quota).abs() + 0.01;
                let update = Update::Admission { table: id, class };
                plan.add(status, false, PlannedUpdate { size, update, value: wanted.quota });
            }
        }
    }

    /// Sends what passes the check and the budget, urgent or ordinary. What is sent leaves the list.
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

    /// The one sender: counts the lines as the channel does and refuses what the budget can't hold.
    pub(crate) fn try_send(&mut self, update: &Update, value: f64, is_urgent: bool) -> bool {
        let cost = self.cost(update);
        let added = cost.channel_lines;
        let has_room = added == 0.0 || self.fits_window(update, added, is_urgent);
        let is_capped = |lines: &ProxyLines| self.exceeds_message_cap(lines.proxy, update, is_urgent);
        let is_sent = has_room && !cost.by_proxy.iter().any(is_capped);
        if is_sent {
            self.carry_out(update, value, cost);
        }
        is_sent
    }

    /// Lines not yet acknowledged bound what may still wait in the shared channel, at any pace of it. What
    /// lies there delays withdrawals: binds of thousands that joined filled nine seconds.
    fn fits_window(&self, update: &Update, added: f64, is_urgent: bool) -> bool {
        let (channel, grace) = (&self.settings.channel, self.settings.hosts.drain_grace);
        let waiting = self.outbox.unacked_lines() + self.outbox.channel_lines;
        let part = if is_urgent { URGENT_QUEUE_PART } else { ORDINARY_QUEUE_PART };
        let span = (grace * MAX_QUEUE_AHEAD_OF_DRAINS).max(MIN_QUEUE_AHEAD_OF_DRAINS);
        let is_first = matches!(update, Update::Withdraw { .. }) || waiting <= 0.0;
        let ahead = if is_first { f64::INFINITY } else { channel.lines_per_second / 1000.0 * span };
        waiting + added <= (part * channel.max_queued_lines).min(ahead)
    }

    /// Half of a proxy's messages go out freely, urgent ones beyond it spaced, withdrawals up to one short.
    fn exceeds_message_cap(&self, id: ProxyId, update: &Update, is_urgent: bool) -> bool {
        let (cap, window) = (self.settings.channel.max_messages, self.settings.channel.message_window);
        if cap == 0 || self.outbox.lines.contains_key(&id) {
            return false;
        }
        let half = ORDINARY_MESSAGE_PART * cap as f64;
        let written = || self.proxies.by_id[&id].messages_within(window, self.clock.now);
        let (count, last) = (written().count() as f64 + 1.0, written().next_back().unwrap_or(0.0));
        let is_withdrawal = matches!(update, Update::Withdraw { .. }) && count < cap as f64;
        let is_spaced = is_urgent && self.clock.now - last > window / half;
        count > half && !is_withdrawal && !is_spaced
    }
}
