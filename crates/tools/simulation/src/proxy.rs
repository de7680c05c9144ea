//! Stand-ins for proxies: what each holds, and when it came to hold it. They follow what they are sent exactly.

use rushcourse_xds::{ClusterLoadAssignment, Response, WEIGHT_SCALE};
use std::collections::{BTreeMap, BTreeSet};

/// How a proxy is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Platform,
    Whole,
    Delta,
}

/// A class's table as a proxy follows it: weights of the hosts that it may pick, in whole numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub lines: BTreeMap<String, u32>,
    /// Millionths that are let in.
    pub level_ppm: u32,
    /// The way of trying again, 0 (never) to 3.
    pub again: u8,
}

/// What is kept of a stream's tables.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    pub tables: BTreeMap<String, ClusterLoadAssignment>,
    pub versions: BTreeMap<String, String>,
    pub version: String,
}

impl Streamed {
    pub fn take(&mut self, response: &Response) {
        let Some(version) = response.version() else {
            return;
        };
        self.version = version.into();
        for r in response.resources() {
            let name = &r.assignment.cluster_name;
            self.versions.insert(name.clone(), r.version.clone());
            self.tables.insert(name.clone(), (*r.assignment).clone());
        }
    }

    /// Goes on with the hosts of before: a proxy that does not follow its tables.
    pub fn keep(&mut self, before: &BTreeMap<String, ClusterLoadAssignment>) {
        for (class, old) in before {
            let Some(table) = self.tables.get_mut(class) else {
                continue;
            };
            let has = |host: &str, t: &ClusterLoadAssignment| {
                t.localities
                    .iter()
                    .flat_map(|l| &l.endpoints)
                    .any(|e| &*e.host == host)
            };
            for mut locality in old.localities.clone() {
                locality.endpoints.retain(|e| !has(&e.host, table));
                table.localities.push(locality);
            }
        }
    }

    pub fn table(&self, class: &str) -> Option<Table> {
        let a = self.tables.get(class)?;
        let endpoints = a
            .localities
            .iter()
            .flat_map(|l| &l.endpoints)
            .filter(|e| !e.draining);
        let lines = endpoints.map(|e| (e.host.to_string(), e.weight)).collect();
        Some(Table {
            lines,
            level_ppm: 1_000_000 - a.drop_per_million,
            again: a.retry_policy as u8,
        })
    }
}

/// The tables that the platform's relay keeps, as its orders make them; all proxies there see them a little later.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    levels: BTreeMap<(u32, String), (f64, u8)>,
    pub bound: BTreeMap<(u32, String), u32>,
    shut: BTreeSet<String>,
    base: u8,
}

impl Relay {
    /// Carries a call out; answers whom it reaches and the mark that it bears.
    pub fn apply(&mut self, orders: &str, classes: &[&str]) -> (BTreeSet<u32>, Option<u16>) {
        let (mut reached, mut mark) = (BTreeSet::new(), None);
        for order in orders.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            let named = |word: &str| -> Vec<String> {
                let all = || classes.iter().map(|c| c.to_string()).collect();
                if word == "*" {
                    all()
                } else {
                    word.split('+').map(String::from).collect()
                }
            };
            let users = |relay: &Relay, table: u32| -> Vec<u32> {
                relay
                    .bound
                    .iter()
                    .filter(|(_, t)| **t == table)
                    .map(|((p, _), _)| *p)
                    .collect()
            };
            let number = |word: &str| word.parse::<u32>().expect("a number");
            match words[..] {
                ["share", table, host, weight] => {
                    let (table, weight) = (number(table), weight.parse::<f64>().expect("a weight"));
                    let lines = self.tables.entry(table).or_default();
                    lines.insert(host.into(), weight);
                    lines.retain(|_, w| *w > 0.0);
                    reached.extend(users(self, table));
                }
                ["clear", table] => {
                    let table = number(table);
                    self.tables.remove(&table);
                    self.levels.retain(|(t, _), _| *t != table);
                }
                ["bind", proxy, table, classes] => {
                    for class in named(classes) {
                        self.bound.insert((number(proxy), class), number(table));
                    }
                    reached.insert(number(proxy));
                }
                ["withdraw" | "restore", host] => {
                    if words[0] == "withdraw" {
                        self.shut.insert(host.into())
                    } else {
                        self.shut.remove(host)
                    };
                    let tables: Vec<u32> = self
                        .tables
                        .iter()
                        .filter(|(_, l)| l.contains_key(host))
                        .map(|(t, _)| *t)
                        .collect();
                    tables
                        .into_iter()
                        .for_each(|t| reached.extend(users(self, t)));
                }
                ["admit", table, classes, quota, again] => {
                    let table = number(table);
                    let level = (
                        quota.parse().expect("a level"),
                        again.parse().expect("a way"),
                    );
                    named(classes)
                        .into_iter()
                        .for_each(|c| _ = self.levels.insert((table, c), level));
                    reached.extend(users(self, table));
                }
                ["mark", number, _] => mark = number.parse().ok(),
                _ => panic!("no order: {order}"),
            }
        }
        (reached, mark)
    }

    pub fn forget(&mut self, proxy: u32) {
        self.bound.retain(|(p, _), _| *p != proxy);
    }

    pub fn base_again(&mut self, base: u8) {
        self.base = base;
    }

    /// What a proxy holds for a class, in the whole numbers that streams carry.
    pub fn table(&self, proxy: u32, class: &str) -> Option<Table> {
        let table = *self.bound.get(&(proxy, class.to_string()))?;
        let empty = BTreeMap::new();
        let lines = self.tables.get(&table).unwrap_or(&empty);
        let open = lines.iter().filter(|(host, _)| !self.shut.contains(*host));
        let whole = |w: f64| ((w * WEIGHT_SCALE).round() as u32).max(1);
        let (level, again) = self
            .levels
            .get(&(table, class.to_string()))
            .copied()
            .unwrap_or((1.0, self.base));
        Some(Table {
            lines: open.map(|(host, w)| (host.clone(), whole(*w))).collect(),
            level_ppm: 1_000_000 - ((1.0 - level) * 1_000_000.0).round() as u32,
            again,
        })
    }
}
