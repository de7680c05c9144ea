//! Events into records: who is joined, what is listed, what was reported.

use crate::director::Director;
use crate::interface::{Action, Channel, Event, HostEntry, HostListKind, ProxyId, Readiness, ZoneId};
use crate::state::{AttemptTotals, GroupBinding, ListedHost, Proxy};
use crate::constants::{PROXY_TRAFFIC_DECAY, REPORT_DECAY, ROUND_INTERVAL};
use std::collections::BTreeSet;

/// The largest weight that a listed one is believed to be.
const MAX_LISTED_WEIGHT: f64 = 1e6;

/// The timer of rounds.
const ROUND_TIMER: &str = "round";

/// The timer after which the list is asked for again.
const LIST_RETRY_TIMER: &str = "ask";

impl Director {
    /// It opens a round after its start: by then it knows who joins, and fills tables once.
    pub(crate) fn start(&mut self) {
        let at = self.clock.now + ROUND_INTERVAL;
        self.clock.opens_at = at;
        self.outbox.push(Action::StartTimer { token: ROUND_TIMER.into(), at });
        if self.settings.must_subscribe {
            self.outbox.push(Action::SubscribeToHosts);
        }
    }

    /// Takes an event into the records.
    pub(crate) fn apply_event(&mut self, event: Event) {
        match event {
            Event::HostsListed { kind, entries } => self.update_hosts(kind, entries),
            Event::ProxyJoined { proxy, zone, rate, channel, .. } => self.join(proxy, zone, rate, channel),
            // What a channel says of a proxy that has joined by another one meanwhile is of before.
            Event::ProxyLeft { proxy, channel } => {
                if self.proxies.is_joined_by(proxy, channel) {
                    self.forget_proxy(proxy);
                }
            }
            Event::Acknowledged { ack_number, proxy, elapsed, channel } => {
                if self.proxies.is_joined_by(proxy, channel) {
                    self.acknowledge(ack_number, proxy, elapsed);
                }
            }
            Event::CallUnconfirmed { ack_number, may_have_run } => self.postpone(ack_number, may_have_run),
            Event::NotApplied { proxy, ack_number, is_resent } => {
                self.postpone_at(proxy, ack_number, is_resent)
            }
            Event::HostReported { zone, host, attempts, failed, mean_latency, .. } => {
                if self.hosts.by_id.contains_key(&host) {
                    let latency = mean_latency * (attempts - failed);
                    let counted = AttemptTotals { attempts, failed, latency, ..AttemptTotals::default() };
                    self.reports.record(zone, host, self.clock.now, self.report_decay(), &counted);
                }
            }
            Event::TrafficReported { proxy, class, attempts, failed, .. } => {
                let counted = AttemptTotals { attempts, failed, ..AttemptTotals::default() };
                self.record_traffic(proxy, class, &counted);
            }
            Event::TimerFired { token } => self.handle_timer(token),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// It joins with endpoints that are not known: the model shows none, so it is bound at once. Its messages
    /// count on.
    fn join(&mut self, id: ProxyId, zone: ZoneId, rate: f64, channel: Channel) {
        let former = self.forget_proxy(id).unwrap_or_default();
        let now = self.clock.now;
        self.proxies.last_join_at = now;
        self.proxies.newly_joined.insert(id);
        self.proxies.join_count += 1;
        self.update_cross_zone_weights();
        let attempts = rate * PROXY_TRAFFIC_DECAY / 1000.0;
        let proxy = Proxy {
            zone,
            rate,
            traffic: AttemptTotals { attempts, updated_at: now, ..AttemptTotals::default() },
            join_number: self.proxies.join_count,
            pool: self.pool_for_join(zone, attempts),
            groups: vec![GroupBinding::default(); self.tables.groups.len()],
            channel,
            ..former
        };
        self.proxies.by_id.insert(id, proxy);
    }

    /// Forgets a proxy, and that it used tables. Answers what was known of it.
    fn forget_proxy(&mut self, id: ProxyId) -> Option<Proxy> {
        let proxy = self.proxies.by_id.remove(&id)?;
        self.proxies.newly_joined.remove(&id);
        for table in proxy.tables() {
            self.tables.remove_user(table, id);
        }
        Some(proxy)
    }

    fn record_traffic(&mut self, id: ProxyId, class: usize, counted: &AttemptTotals) {
        let (now, decay) = (self.clock.now, self.report_decay());
        let Some(proxy) = self.proxies.by_id.get_mut(&id) else { return };
        proxy.traffic.record(now, PROXY_TRAFFIC_DECAY, counted);
        if let Some(demand) = self.zones.get_mut(proxy.zone).and_then(|zone| zone.demand.get_mut(class)) {
            demand.record(now, decay, counted);
        }
    }

    /// The span over which reports decay to a third, in ms.
    fn report_decay(&self) -> f64 {
        REPORT_DECAY * self.settings.report_interval
    }

    fn handle_timer(&mut self, token: String) {
        if token == ROUND_TIMER {
            let at = self.clock.now + ROUND_INTERVAL;
            self.outbox.push(Action::StartTimer { token, at });
        } else if self.settings.must_subscribe {
            self.outbox.push(Action::SubscribeToHosts);
        }
    }

    /// The list: a delta changes the one held, a complete one removes what it does not name.
    fn update_hosts(&mut self, kind: HostListKind, entries: Vec<HostEntry>) {
        if kind == HostListKind::Unavailable {
            let at = self.clock.now + self.settings.report_interval;
            return self.outbox.push(Action::StartTimer { token: LIST_RETRY_TIMER.into(), at });
        }
        if kind != HostListKind::Delta {
            let named: BTreeSet<_> = entries.iter().map(|entry| entry.host.clone()).collect();
            let unnamed: Vec<_> =
                self.hosts.by_id.keys().filter(|host| !named.contains(*host)).cloned().collect();
            for host in unnamed {
                self.remove_from_list(&host);
            }
        }
        for entry in entries {
            let is_kept = entry.readiness == Readiness::Gone && self.remove_from_list(&entry.host);
            if !is_kept {
                self.update_host(entry);
            }
        }
        self.assign_pools();
    }

    /// A host as now listed. What was held against a run of it that has ended is dropped.
    fn update_host(&mut self, mut entry: HostEntry) {
        entry.weight = if entry.weight > 0.0 { entry.weight.min(MAX_LISTED_WEIGHT) } else { 1.0 };
        entry.started_at = if entry.started_at > 0.0 { entry.started_at } else { f64::NEG_INFINITY };
        let known = self.hosts.by_id.get(&entry.host);
        let is_restarted = known.is_some_and(|listed| listed.entry.started_at < entry.started_at);
        if is_restarted || entry.readiness != Readiness::Ready {
            self.verdicts.forget(&entry.host);
            self.reports.forget(&entry.host);
        }
        let listed = self.hosts.by_id.entry(entry.host.clone());
        let listed = listed.or_insert_with(|| ListedHost::new(entry.clone()));
        listed.entry = entry;
        listed.missing_since = None;
    }
}
