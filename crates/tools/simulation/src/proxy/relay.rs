//! The platform's relay.

use super::table::ProxyTable;
use rushcourse_policy::interface::AckNumber;
use rushcourse_xds::WEIGHT_SCALE;
use std::collections::{BTreeMap, BTreeSet};

/// What an order sets for a class in a table.
#[derive(Clone, Copy, Debug)]
struct Admission {
    quota: f64,
    retry_policy: u8,
}

/// A table and a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TableClass {
    table: u32,
    class: String,
}

/// A proxy and a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyClass {
    proxy: u32,
    class: String,
}

/// What a call reaches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallReach {
    /// Proxies that get a message.
    pub proxies: BTreeSet<u32>,
    /// The number by which they acknowledge it.
    pub ack_number: Option<AckNumber>,
}

/// The tables that the platform's relay keeps, as its orders make them; all proxies there see them a little later.
#[derive(Clone, Debug, Default)]
pub struct PlatformRelay {
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    admission: BTreeMap<TableClass, Admission>,
    bindings: BTreeMap<ProxyClass, u32>,
    withdrawn: BTreeSet<String>,
    default_retry_policy: u8,
}

impl PlatformRelay {
    /// A relay with no tables, whose proxies retry by a policy where no order sets one.
    pub fn new(default_retry_policy: u8) -> PlatformRelay {
        PlatformRelay {
            default_retry_policy,
            ..PlatformRelay::default()
        }
    }

    /// Carries a call out; `classes` are all that there are.
    ///
    /// # Panics
    ///
    /// An order of the call is none of the protocol's.
    pub fn apply(&mut self, orders: &str, classes: &[&str]) -> CallReach {
        let mut reach = CallReach::default();
        for order in orders.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["share", table, host, weight] => {
                    self.set_weight(number(table), host, fraction(weight));
                    reach.proxies.extend(self.users(number(table)));
                }
                ["clear", table] => self.clear(number(table)),
                ["bind", proxy, table, named] => {
                    self.bind(number(proxy), number(table), class_names(named, classes));
                    reach.proxies.insert(number(proxy));
                }
                ["withdraw", host] => {
                    self.withdrawn.insert(host.into());
                    reach.proxies.extend(self.users_of_host(host));
                }
                ["restore", host] => {
                    self.withdrawn.remove(host);
                    reach.proxies.extend(self.users_of_host(host));
                }
                ["admit", table, named, quota, retry_policy] => {
                    let admission = Admission {
                        quota: fraction(quota),
                        retry_policy: number(retry_policy) as u8,
                    };
                    let table = number(table);
                    self.set_admission(table, class_names(named, classes), admission);
                    reach.proxies.extend(self.users(table));
                }
                ["mark", ack_number, _] => reach.ack_number = ack_number.parse().ok(),
                _ => panic!("no order: {order}"),
            }
        }
        reach
    }

    fn set_weight(&mut self, table: u32, host: &str, weight: f64) {
        let weights = self.tables.entry(table).or_default();
        weights.insert(host.into(), weight);
        weights.retain(|_, weight| *weight > 0.0);
    }

    fn clear(&mut self, table: u32) {
        self.tables.remove(&table);
        self.admission.retain(|key, _| key.table != table);
    }

    fn bind(&mut self, proxy: u32, table: u32, classes: Vec<String>) {
        for class in classes {
            self.bindings.insert(ProxyClass { proxy, class }, table);
        }
    }

    fn set_admission(&mut self, table: u32, classes: Vec<String>, admission: Admission) {
        for class in classes {
            self.admission
                .insert(TableClass { table, class }, admission);
        }
    }

    /// Proxies that use a table.
    fn users(&self, table: u32) -> Vec<u32> {
        let bound = self.bindings.iter().filter(|(_, bound)| **bound == table);
        bound.map(|(key, _)| key.proxy).collect()
    }

    /// Proxies that use a table which names a host.
    fn users_of_host(&self, host: &str) -> Vec<u32> {
        let naming = self
            .tables
            .iter()
            .filter(|(_, weights)| weights.contains_key(host));
        naming.flat_map(|(table, _)| self.users(*table)).collect()
    }

    /// A proxy is bound to nothing any more.
    pub fn forget(&mut self, proxy: u32) {
        self.bindings.retain(|key, _| key.proxy != proxy);
    }

    /// What a proxy holds for a class, in the whole numbers that streams carry.
    pub fn table(&self, proxy: u32, class: &str) -> Option<ProxyTable> {
        let class = class.to_string();
        let table = *self.bindings.get(&ProxyClass {
            proxy,
            class: class.clone(),
        })?;
        let weights = self.tables.get(&table).into_iter().flatten();
        let open = weights.filter(|(host, _)| !self.withdrawn.contains(*host));
        let default = Admission {
            quota: 1.0,
            retry_policy: self.default_retry_policy,
        };
        let ordered = self.admission.get(&TableClass { table, class });
        let Admission {
            quota,
            retry_policy,
        } = ordered.copied().unwrap_or(default);
        Some(ProxyTable {
            weights: open
                .map(|(host, weight)| (host.clone(), whole_weight(*weight)))
                .collect(),
            admitted_per_million: 1_000_000 - ((1.0 - quota) * 1_000_000.0).round() as u32,
            retry_policy,
        })
    }
}

fn whole_weight(weight: f64) -> u32 {
    ((weight * WEIGHT_SCALE).round() as u32).max(1)
}

/// Classes that an order names: all by `*`.
fn class_names(word: &str, classes: &[&str]) -> Vec<String> {
    if word == "*" {
        classes.iter().map(|class| class.to_string()).collect()
    } else {
        word.split('+').map(String::from).collect()
    }
}

fn number(word: &str) -> u32 {
    word.parse().expect("orders carry numbers")
}

fn fraction(word: &str) -> f64 {
    word.parse().expect("orders carry figures")
}
