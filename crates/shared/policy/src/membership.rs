//! Applies events to the state: joined proxies, listed hosts and reports.

use crate::constants::{PROXY_TRAFFIC_DECAY, REPORT_DECAY_INTERVALS, ROUND_INTERVAL};
use crate::director::Director;
use crate::interface::{Action, Channel, Event, HostEntry, HostListKind, ProxyId, Readiness, ZoneId};
use crate::state::{AttemptTotals, GroupBinding, ListedHost, Proxy};
use std::collections::BTreeSet;

/// Listed weights are clamped to this maximum.
const MAX_LISTED_WEIGHT: f64 = 1e6;

/// Token of the timer that triggers rounds.
const ROUND_TIMER: &str = "round";

/// Token of the timer that repeats the subscription after the host list became unavailable.
const LIST_RETRY_TIMER: &str = "ask";

impl Director {
    /// Starts the round timer and subscribes to the host list. The first updates are sent a round later, once
    /// proxies have joined, so that each table is filled only once.
    pub(crate) fn start(&mut self) {
        let at = self.clock.now + ROUND_INTERVAL;
        self.clock.first_send_at = at;
        self.outbox.push(Action::StartTimer { token: ROUND_TIMER.into(), at });
        if self.settings.must_subscribe {
            self.outbox.push(Action::SubscribeToHosts);
        }
    }

    pub(crate) fn apply_event(&mut self, event: Event) {
        match event {
            Event::HostsListed { kind, entries } => self.update_hosts(kind, entries),
            Event::ProxyJoined { proxy, zone, rate, channel, .. } => self.join(proxy, zone, rate, channel),
            // Events of a channel that the proxy no longer uses are stale.
            Event::ProxyLeft { proxy, channel } => {
                if self.proxies.is_joined_by(proxy, channel) {
                    self.remove_proxy(proxy);
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
                    let sample = AttemptTotals { attempts, failed, latency, ..AttemptTotals::default() };
                    self.reports.record(zone, host, self.clock.now, self.report_decay(), &sample);
                }
            }
            Event::TrafficReported { proxy, class, attempts, failed, .. } => {
                let sample = AttemptTotals { attempts, failed, ..AttemptTotals::default() };
                self.record_traffic(proxy, class, &sample);
            }
            Event::TimerFired { token } => self.handle_timer(token),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Registers a proxy. Its endpoints are unknown, so the model starts empty and the proxy is bound at once.
    /// If it was joined already, its message times are kept.
    fn join(&mut self, id: ProxyId, zone: ZoneId, rate: f64, channel: Channel) {
        let previous = self.remove_proxy(id).unwrap_or_default();
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
            ..previous
        };
        self.proxies.by_id.insert(id, proxy);
    }

    /// Removes a proxy from the registry and from the users of its tables, and returns its record.
    fn remove_proxy(&mut self, id: ProxyId) -> Option<Proxy> {
        let proxy = self.proxies.by_id.remove(&id)?;
        self.proxies.newly_joined.remove(&id);
        for table in proxy.tables() {
            self.tables.remove_user(table, id);
        }
        Some(proxy)
    }

    fn record_traffic(&mut self, id: ProxyId, class: usize, sample: &AttemptTotals) {
        let (now, decay) = (self.clock.now, self.report_decay());
        let Some(proxy) = self.proxies.by_id.get_mut(&id) else { return };
        proxy.traffic.record(now, PROXY_TRAFFIC_DECAY, sample);
        if let Some(demand) = self.zones.get_mut(proxy.zone).and_then(|zone| zone.demand.get_mut(class)) {
            demand.record(now, decay, sample);
        }
    }

    /// Time constant of the exponential decay of reports, in ms.
    fn report_decay(&self) -> f64 {
        REPORT_DECAY_INTERVALS * self.settings.report_interval
    }

    fn handle_timer(&mut self, token: String) {
        if token == ROUND_TIMER {
            let at = self.clock.now + ROUND_INTERVAL;
            self.outbox.push(Action::StartTimer { token, at });
        } else if self.settings.must_subscribe {
            self.outbox.push(Action::SubscribeToHosts);
        }
    }

    /// Applies a host list. A delta changes the named hosts; a full list also removes all others.
    fn update_hosts(&mut self, kind: HostListKind, entries: Vec<HostEntry>) {
        if kind == HostListKind::Unavailable {
            let at = self.clock.now + self.settings.report_interval;
            return self.outbox.push(Action::StartTimer { token: LIST_RETRY_TIMER.into(), at });
        }
        if kind != HostListKind::Delta {
            let listed_ids: BTreeSet<_> = entries.iter().map(|entry| entry.host.clone()).collect();
            let unlisted: Vec<_> =
                self.hosts.by_id.keys().filter(|host| !listed_ids.contains(*host)).cloned().collect();
            for host in unlisted {
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

    /// Adds or updates a listed host. If it has restarted or is not ready, its reports, ejections and deratings
    /// are dropped, as they concern an earlier run.
    fn update_host(&mut self, mut entry: HostEntry) {
        entry.weight = if entry.weight > 0.0 { entry.weight.min(MAX_LISTED_WEIGHT) } else { 1.0 };
        entry.started_at = if entry.started_at > 0.0 { entry.started_at } else { f64::NEG_INFINITY };
        let existing = self.hosts.by_id.get(&entry.host);
        let is_restarted = existing.is_some_and(|listed| listed.entry.started_at < entry.started_at);
        if is_restarted || entry.readiness != Readiness::Ready {
            self.host_health.remove(&entry.host);
            self.reports.remove(&entry.host);
        }
        let listed = self.hosts.by_id.entry(entry.host.clone());
        let listed = listed.or_insert_with(|| ListedHost::new(entry.clone()));
        listed.entry = entry;
        listed.missing_since = None;
    }
}
