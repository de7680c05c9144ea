//! A director's step: events in, actions out; what time resolves in the model; the fallback.
//! `docs/design.md` tells what was kept of the design page and of CCG's paper, and what changed.

use crate::director::Director;
use crate::interface::{Action, Event, Ms};
use crate::state::Update;
use crate::constants::{ACK_TIMEOUT, FALLBACK_DELAY, GONE_HOST_RETENTION, MAX_REPORT_AGE, REMOVAL_DELAY};

impl Director {
    /// Handles all events since the last call; answers what is to be done, in order. `now` never falls.
    pub fn handle(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        self.clock.now = now;
        // Silence of the reports says nothing of the hosts: older totals judge nobody.
        self.reports.valid_since = now - MAX_REPORT_AGE * self.settings.report_interval;
        let is_first = !std::mem::replace(&mut self.clock.is_started, true);
        if !self.settings.is_usable() {
            let text = "event=settings_unusable reason=\"no classes, or a channel that carries nothing\"";
            return is_first.then(|| Action::Log { text: text.into() }).into_iter().collect();
        }
        if is_first {
            self.start();
        }
        // Acknowledgements and reports wait for a round; what changes who holds what is acted on at once.
        let is_listed = events.iter().any(Event::is_host_list);
        let has_changes = is_listed || events.iter().any(Event::is_membership);
        events.into_iter().for_each(|event| self.apply_event(event));
        if now < self.clock.opens_at || now < self.clock.next_round && !has_changes {
            return self.close_batch();
        }
        let is_round = now >= self.clock.next_round;
        if is_round {
            self.update_cross_zone_weights();
            self.confirm_missing_hosts();
            self.judge_hosts();
            self.zone_ids().for_each(|zone| self.adjust_admission(zone));
            self.rebalance_pools();
        }
        self.resolve_by_time(is_round);
        self.send_updates(is_round || is_listed);
        self.close_batch()
    }

    /// Time resolves what no acknowledgement did in the model (paper 4.3); later on a slow channel, where
    /// lines may still wait (extension). The window of the channel at once, the endpoints of all proxies once
    /// a round.
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

    /// An update failed the check for too long: the next round binds the proxies of its table to a fresh one,
    /// a two-phase swap (paper 5.3; design: a fresh target table).
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
