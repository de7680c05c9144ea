//! The design on the ordinary path. For each service one `Director` of the present module holds the model of certain
//! and uncertain lines, the check, the buffer, the fallback and the companion; frontend directors that take their
//! tables from here are its proxies, each with a channel of its own. This file keeps the tables as the module orders
//! them and says what goes to whom.

use crate::subscribers::Subscriber;
use rushcourse_messages::{HostState, NodeId};
use rushcourse_policy::Director;
use rushcourse_policy::interface::{
    Action, Channel, ChannelSettings, Event, FleetSettings, HostEntry, HostListKind, HostSettings,
    Idempotency, Ms, Readiness, RequestClass, Settings, TableId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What goes to a frontend director for a service. `whole`: these are all lines of the table it is bound to.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub to: NodeId,
    pub service: Arc<str>,
    pub mark: u16,
    pub whole: bool,
    /// Host and weight; 0 removes it.
    pub lines: Vec<(Arc<str>, f64)>,
    /// Hosts that are shut out, or let back in.
    pub out: Vec<(Arc<str>, bool)>,
}

/// A table as it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct TableView {
    pub service: Arc<str>,
    pub table: TableId,
    /// Frontend directors bound to it.
    pub fronts: usize,
    /// Host and weight.
    pub lines: Vec<(Arc<str>, f64)>,
}

struct Board {
    director: Director,
    tables: BTreeMap<TableId, BTreeMap<Arc<str>, f64>>,
    bound: BTreeMap<NodeId, TableId>,
    withdrawn: BTreeSet<Arc<str>>,
    timers: Vec<(Ms, String)>,
    mark: u16,
}

pub struct Distribution {
    zones: Vec<Arc<str>>,
    my_zone: usize,
    drain_ms: f64,
    boards: BTreeMap<Arc<str>, Board>,
    proxies: BTreeMap<NodeId, usize>,
}

impl Distribution {
    pub fn new(zones: Vec<Arc<str>>, my_zone: usize, drain_ms: f64) -> Distribution {
        Distribution {
            zones,
            my_zone,
            drain_ms,
            boards: BTreeMap::new(),
            proxies: BTreeMap::new(),
        }
    }

    fn settings(&self) -> Settings {
        let class = RequestClass {
            target_latency: 500.0,
            deadline: 2000.0,
            value: 1.0,
            idempotency: Idempotency::Idempotent,
            is_zone_bound: false,
            is_write: false,
        };
        Settings {
            classes: vec![class],
            fleet: FleetSettings {
                zones: self.zones.len(),
                own_zone: Some(self.my_zone),
                directors: 1,
                ..FleetSettings::default()
            },
            // The channel is a session: lines of some thousand a second, an answer within a few milliseconds.
            channel: ChannelSettings {
                max_queued_lines: 4000.0,
                lines_per_second: 4000.0,
                lines_per_message: 1.0,
                message_window: 10_000.0,
                mean_transit: 20.0,
                max_transit: 500.0,
                ..ChannelSettings::default()
            },
            // The ramp is the design's: a tenth, rising over 10 s. Hosts say how long they stay cold, not how much.
            hosts: HostSettings {
                drain_grace: self.drain_ms,
                start_capacity: 1.0,
                has_listed_weights: true,
                ..HostSettings::default()
            },
            report_interval: 1000.0,
            ..Settings::default()
        }
    }

    pub fn zone(&self, name: &str) -> usize {
        self.zones.iter().position(|z| &**z == name).unwrap_or(0)
    }

    fn entry(&self, s: &Subscriber) -> HostEntry {
        let readiness = match s.state() {
            HostState::Ready => Readiness::Ready,
            HostState::Draining => Readiness::Draining,
            HostState::Gone => Readiness::Gone,
        };
        HostEntry {
            host: s.news.id.clone(),
            zone: self.zone(&s.news.zone),
            cell: 0,
            readiness,
            weight: f64::from(s.news.slots.max(1)),
            started_at: s.up_since as Ms,
        }
    }

    /// Hosts that are new or have changed.
    pub fn hosts<'a>(
        &mut self,
        now: u64,
        changed: impl Iterator<Item = &'a Subscriber>,
    ) -> Vec<Order> {
        let mut by: BTreeMap<Arc<str>, Vec<HostEntry>> = BTreeMap::new();
        for s in changed {
            by.entry(s.news.service.clone())
                .or_default()
                .push(self.entry(s));
        }
        let mut orders = Vec::new();
        for (service, entries) in by {
            let mut events = vec![Event::HostsListed {
                kind: HostListKind::Delta,
                entries,
            }];
            if !self.boards.contains_key(&service) {
                events.extend(
                    self.proxies
                        .iter()
                        .map(|(proxy, zone)| joined(*proxy, *zone)),
                );
                let board = Board {
                    director: Director::new(self.settings()),
                    tables: BTreeMap::new(),
                    bound: BTreeMap::new(),
                    withdrawn: BTreeSet::new(),
                    timers: Vec::new(),
                    mark: 0,
                };
                self.boards.insert(service.clone(), board);
            }
            orders.extend(self.give(now, &service, events));
        }
        orders
    }

    /// A frontend director takes its tables from here.
    pub fn joined(&mut self, now: u64, proxy: NodeId, zone: &str) -> Vec<Order> {
        let zone = self.zone(zone);
        self.proxies.insert(proxy, zone);
        self.each(now, |_| vec![joined(proxy, zone)])
    }

    pub fn left(&mut self, now: u64, proxy: NodeId) -> Vec<Order> {
        if self.proxies.remove(&proxy).is_none() {
            return Vec::new();
        }
        for board in self.boards.values_mut() {
            board.bound.remove(&proxy);
        }
        self.each(now, |_| {
            vec![Event::ProxyLeft {
                proxy: proxy.0,
                channel: Channel::Dedicated,
            }]
        })
    }

    /// A frontend director holds what a mark asked for.
    pub fn applied(&mut self, now: u64, proxy: NodeId, service: &str, mark: u16) -> Vec<Order> {
        let Some((service, _)) = self.boards.get_key_value(service) else {
            return Vec::new();
        };
        if !self.proxies.contains_key(&proxy) {
            return Vec::new();
        }
        let service = service.clone();
        self.give(
            now,
            &service,
            vec![Event::Acknowledged {
                ack_number: mark,
                proxy: proxy.0,
                elapsed: 0.0,
                channel: Channel::Dedicated,
            }],
        )
    }

    pub fn usage(
        &mut self,
        now: u64,
        proxy: NodeId,
        service: &str,
        tries: f64,
        failed: f64,
        span: Ms,
    ) -> Vec<Order> {
        let Some((service, _)) = self.boards.get_key_value(service) else {
            return Vec::new();
        };
        if !self.proxies.contains_key(&proxy) {
            return Vec::new();
        }
        let service = service.clone();
        self.give(
            now,
            &service,
            vec![Event::TrafficReported {
                proxy: proxy.0,
                class: 0,
                attempts: tries,
                failed,
                span,
            }],
        )
    }

    /// When the module wants to be called next: ms, or none.
    pub fn due(&self) -> Option<u64> {
        let all = self
            .boards
            .values()
            .flat_map(|b| b.timers.iter().map(|t| t.0));
        all.reduce(f64::min).map(|t| t as u64)
    }

    pub fn tick(&mut self, now: u64) -> Vec<Order> {
        self.each(now, |board| {
            let (due, later) = board.timers.drain(..).partition(|t| t.0 <= now as Ms);
            board.timers = later;
            let due: Vec<(Ms, String)> = due;
            due.into_iter()
                .map(|(_, token)| Event::TimerFired { token })
                .collect()
        })
    }

    fn each(&mut self, now: u64, events: impl Fn(&mut Board) -> Vec<Event>) -> Vec<Order> {
        let services: Vec<Arc<str>> = self.boards.keys().cloned().collect();
        let mut orders = Vec::new();
        for service in services {
            let events = self
                .boards
                .get_mut(&service)
                .map(&events)
                .unwrap_or_default();
            if !events.is_empty() {
                orders.extend(self.give(now, &service, events));
            }
        }
        orders
    }

    fn give(&mut self, now: u64, service: &Arc<str>, events: Vec<Event>) -> Vec<Order> {
        let Some(board) = self.boards.get_mut(service) else {
            return Vec::new();
        };
        let actions = board.director.handle(now as Ms, events);
        board.carry_out(service, actions)
    }

    /// Tables, for the pages.
    pub fn view(&self) -> Vec<TableView> {
        let mut found = Vec::new();
        for (service, board) in &self.boards {
            for (id, lines) in &board.tables {
                let on = board.bound.values().filter(|t| *t == id).count();
                let lines = lines.iter().map(|l| (l.0.clone(), *l.1)).collect();
                found.push(TableView {
                    service: service.clone(),
                    table: *id,
                    fronts: on,
                    lines,
                });
            }
        }
        found
    }
}

fn joined(proxy: NodeId, zone: usize) -> Event {
    Event::ProxyJoined {
        proxy: proxy.0,
        zone,
        rate: 1.0,
        is_fresh: true,
        channel: Channel::Dedicated,
    }
}

/// What a proxy gets by one reply of the module.
#[derive(Default)]
struct Parcel {
    whole: bool,
    lines: BTreeMap<Arc<str>, f64>,
}

impl Board {
    fn carry_out(&mut self, service: &Arc<str>, actions: Vec<Action>) -> Vec<Order> {
        let mut parcels: BTreeMap<NodeId, Parcel> = BTreeMap::new();
        let mut out: Vec<(Arc<str>, bool)> = Vec::new();
        for action in actions {
            match action {
                Action::SetEndpoint {
                    table,
                    host,
                    weight,
                } => {
                    let lines = self.tables.entry(table).or_default();
                    if weight > 0.0 {
                        lines.insert(host.clone(), weight)
                    } else {
                        lines.remove(&host)
                    };
                    for (proxy, _) in self.bound.iter().filter(|b| *b.1 == table) {
                        parcels
                            .entry(*proxy)
                            .or_default()
                            .lines
                            .insert(host.clone(), weight);
                    }
                }
                Action::ClearTable { table } => {
                    self.tables.remove(&table);
                    for (proxy, _) in self.bound.iter().filter(|b| *b.1 == table) {
                        parcels.entry(*proxy).or_default().whole = true;
                    }
                }
                Action::BindProxy { proxy, table, .. } => {
                    self.bound.insert(NodeId(proxy), table);
                    parcels.entry(NodeId(proxy)).or_default().whole = true;
                }
                Action::SetWithdrawn {
                    host,
                    is_withdrawn: shut,
                    channel: Channel::Dedicated,
                } => {
                    if shut {
                        self.withdrawn.insert(host.clone())
                    } else {
                        self.withdrawn.remove(&host)
                    };
                    out.push((host, shut));
                }
                Action::RequestAck { ack_number: number } => self.mark = number,
                Action::StartTimer { token, at } => self.timers.push((at, token)),
                _ => {}
            }
        }
        let reached: BTreeSet<NodeId> = if out.is_empty() {
            parcels.keys().copied().collect()
        } else {
            self.bound
                .keys()
                .copied()
                .chain(parcels.keys().copied())
                .collect()
        };
        let mut orders = Vec::new();
        for to in reached {
            let parcel = parcels.remove(&to).unwrap_or_default();
            let table = self.bound.get(&to).and_then(|t| self.tables.get(t));
            let lines = match (parcel.whole, table) {
                (true, Some(table)) => table.iter().map(|l| (l.0.clone(), *l.1)).collect(),
                (true, None) => Vec::new(),
                (false, _) => parcel.lines.into_iter().collect(),
            };
            let out = if parcel.whole {
                self.withdrawn.iter().map(|h| (h.clone(), true)).collect()
            } else {
                out.clone()
            };
            orders.push(Order {
                to,
                service: service.clone(),
                mark: self.mark,
                whole: parcel.whole,
                lines,
                out,
            });
        }
        orders
    }
}
