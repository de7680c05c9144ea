//! Simulation of the platform's relay, which applies orders to tables on behalf of its proxies.

use super::table::ProxyTable;
use rushcourse_policy::interface::AckNumber;
use rushcourse_xds::WEIGHT_SCALE;
use std::collections::{BTreeMap, BTreeSet};

/// Admission level and retry policy of a class in a table.
#[derive(Clone, Copy, Debug)]
struct Admission {
    quota: f64,
    retry_policy: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TableClass {
    table: u32,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyClass {
    proxy: u32,
    class: String,
}

/// Proxies to which the relay forwards a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallRecipients {
    /// Numbers of the proxies that receive a message.
    pub proxies: BTreeSet<u32>,
    /// Number that the proxies repeat in their acknowledgements; absent if the call requests none.
    pub ack_number: Option<AckNumber>,
}

/// Tables, bindings and withdrawn hosts as set by the director's orders. Proxies get a copy of this state.
#[derive(Clone, Debug, Default)]
pub struct PlatformRelay {
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    admission: BTreeMap<TableClass, Admission>,
    bindings: BTreeMap<ProxyClass, u32>,
    withdrawn: BTreeSet<String>,
    default_retry_policy: u8,
}

impl PlatformRelay {
    /// Creates a relay without tables. `default_retry_policy` applies to classes for which no order sets a policy.
    pub fn new(default_retry_policy: u8) -> PlatformRelay {
        PlatformRelay {
            default_retry_policy,
            ..PlatformRelay::default()
        }
    }

    /// Applies the orders of a call, separated by `;`. `classes` lists all classes, for which an order may use `*`.
    ///
    /// # Panics
    ///
    /// Panics if an order is unknown or malformed.
    pub fn apply(&mut self, orders: &str, classes: &[&str]) -> CallRecipients {
        let mut recipients = CallRecipients::default();
        for order in orders.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["share", table, host, weight] => {
                    self.set_weight(parse_integer(table), host, parse_fraction(weight));
                    recipients
                        .proxies
                        .extend(self.proxies_using_table(parse_integer(table)));
                }
                ["clear", table] => self.clear(parse_integer(table)),
                ["bind", proxy, table, class_list] => {
                    self.bind(
                        parse_integer(proxy),
                        parse_integer(table),
                        class_names(class_list, classes),
                    );
                    recipients.proxies.insert(parse_integer(proxy));
                }
                ["withdraw", host] => {
                    self.withdrawn.insert(host.into());
                    recipients.proxies.extend(self.proxies_using_host(host));
                }
                ["restore", host] => {
                    self.withdrawn.remove(host);
                    recipients.proxies.extend(self.proxies_using_host(host));
                }
                ["admit", table, class_list, quota, retry_policy] => {
                    let admission = Admission {
                        quota: parse_fraction(quota),
                        retry_policy: parse_integer(retry_policy) as u8,
                    };
                    let table = parse_integer(table);
                    self.set_admission(table, class_names(class_list, classes), admission);
                    recipients.proxies.extend(self.proxies_using_table(table));
                }
                ["mark", ack_number, _] => recipients.ack_number = ack_number.parse().ok(),
                _ => panic!("unknown order: {order}"),
            }
        }
        recipients
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

    /// Proxies that are bound to a table for at least one class.
    fn proxies_using_table(&self, table: u32) -> Vec<u32> {
        let bound = self.bindings.iter().filter(|(_, bound)| **bound == table);
        bound.map(|(key, _)| key.proxy).collect()
    }

    /// Proxies that are bound to a table which contains a host.
    fn proxies_using_host(&self, host: &str) -> Vec<u32> {
        let tables_with_host = self
            .tables
            .iter()
            .filter(|(_, weights)| weights.contains_key(host));
        tables_with_host
            .flat_map(|(table, _)| self.proxies_using_table(*table))
            .collect()
    }

    /// Removes all bindings of a proxy.
    pub fn unbind_proxy(&mut self, proxy: u32) {
        self.bindings.retain(|key, _| key.proxy != proxy);
    }

    /// The table to which a proxy is bound for a class, if any, without withdrawn hosts. Weights are scaled to integers
    /// as on discovery streams.
    pub fn table(&self, proxy: u32, class: &str) -> Option<ProxyTable> {
        let class = class.to_string();
        let table = *self.bindings.get(&ProxyClass {
            proxy,
            class: class.clone(),
        })?;
        let weights = self.tables.get(&table).into_iter().flatten();
        let available = weights.filter(|(host, _)| !self.withdrawn.contains(*host));
        let default = Admission {
            quota: 1.0,
            retry_policy: self.default_retry_policy,
        };
        let configured = self.admission.get(&TableClass { table, class });
        let Admission {
            quota,
            retry_policy,
        } = configured.copied().unwrap_or(default);
        Some(ProxyTable {
            weights: available
                .map(|(host, weight)| (host.clone(), scaled_weight(*weight)))
                .collect(),
            admitted_per_million: 1_000_000 - ((1.0 - quota) * 1_000_000.0).round() as u32,
            retry_policy,
        })
    }
}

fn scaled_weight(weight: f64) -> u32 {
    ((weight * WEIGHT_SCALE).round() as u32).max(1)
}

/// Parses the class list of an order: `*` for all classes, or names separated by `+`.
fn class_names(word: &str, classes: &[&str]) -> Vec<String> {
    if word == "*" {
        classes.iter().map(|class| class.to_string()).collect()
    } else {
        word.split('+').map(String::from).collect()
    }
}

fn parse_integer(word: &str) -> u32 {
    word.parse().expect("an integer")
}

fn parse_fraction(word: &str) -> f64 {
    word.parse().expect("a decimal number")
}
