//! The director's main step, timeouts of unacknowledged updates, and the fallback for blocked ones.
//! `docs/design.md` describes the design and how it differs from the CCG paper.

use crate::constants::{ACK_TIMEOUT, FALLBACK_DELAY, GONE_HOST_RETENTION, MAX_REPORT_AGE, REMOVAL_DELAY};
use crate::director::Director;
use crate::interface::{Action, Event, Ms};
use crate::state::Update;

impl Director {
    /// Handles the events since the last call and returns the resulting actions, which the caller carries
    /// out in order. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        self.clock.now = now;
        // Missing reports are no evidence about a host, so older totals are ignored.
        self.reports.valid_since = now - MAX_REPORT_AGE * self.settings.report_interval;
        let is_first = !std::mem::replace(&mut self.clock.is_started, true);
        if !self.settings.is_usable() {
            let text = "event=settings_unusable reason=\"no request classes, or no channel capacity\"";
            return is_first.then(|| Action::Log { text: text.into() }).into_iter().collect();
        }
        if is_first {
            self.start();
        }
        // Acknowledgements and reports wait for the next round; membership and list changes do not.
        let has_list_change = events.iter().any(Event::is_host_list);
        let has_changes = has_list_change || events.iter().any(Event::is_membership);
        events.into_iter().for_each(|event| self.apply_event(event));
        if now < self.clock.first_send_at || now < self.clock.next_round && !has_changes {
            return self.close_batch();
        }
        let is_round = now >= self.clock.next_round;
        if is_round {
            self.update_cross_zone_weights();
            self.confirm_missing_hosts();
            self.update_host_health();
            self.zone_ids().for_each(|zone| self.adjust_admission(zone));
            self.rebalance_pools();
        }
        self.resolve_by_time(is_round);
        self.send_updates(is_round || has_list_change);
        self.close_batch()
    }

    /// Expires unacknowledged batches on every step, and the proxies' uncertain endpoints once a round. The
    /// timeout grows with the slowest acknowledgement, as lines may still be queued in a slow channel.
    fn resolve_by_time(&mut self, is_round: bool) {
        let (now, max_transit) = (self.clock.now, self.settings.channel.max_transit);
        let timeout = |slowest_ack: Ms| ACK_TIMEOUT.max(2.0 * slowest_ack).max(2.0 * max_transit);
        let shared_timeout = timeout(self.outbox.slowest_ack);
        self.outbox.expire(now, 4.0 * shared_timeout);
        if is_round {
            self.examined += self.proxies.by_id.len() as u64;
            self.proxies.expire(now, timeout, shared_timeout, REMOVAL_DELAY);
            self.remove_idle(GONE_HOST_RETENTION);
        }
    }

    /// Handles updates that have failed the safety check for `FALLBACK_DELAY`. For an endpoint the table is
    /// retired, so that the next round binds its proxies to a new one; other updates are sent unchecked.
    pub(crate) fn run_fallback(&mut self) {
        let now = self.clock.now;
        let due = self.pending.iter().filter(|(_, since)| now - **since >= FALLBACK_DELAY);
        for update in due.map(|(update, _)| update.clone()).collect::<Vec<_>>() {
            self.pending.remove(&update);
            if let Update::Endpoint { table, .. } = update {
                self.tables.current.retain(|_, current| *current != table);
                self.outbox.log(format!("event=fallback_table_replaced table={table}"));
            } else {
                let is_sent = self.try_send(&update, 0.0, true);
                self.outbox.log(format!("event=fallback_unchecked sent={is_sent} {update}"));
            }
        }
    }
}
