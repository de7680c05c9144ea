//! Endpoint tables of the relay and the orders that change them.

use std::collections::{BTreeMap, BTreeSet};

/// Highest retry policy number that an `admit` order may name.
const MAX_RETRY_POLICY: u8 = 3;

/// Tables, bindings of proxies to tables, and withdrawn hosts.
#[derive(Default)]
pub(super) struct Tables {
    /// Weights by table number and host.
    weights: BTreeMap<u32, BTreeMap<String, f64>>,
    /// Table numbers by proxy and class list.
    bindings: BTreeMap<(u32, String), u32>,
    /// Hosts that are excluded from all tables.
    withdrawn: BTreeSet<String>,
}

/// Effects of a call's applied orders on proxies.
#[derive(Default)]
pub(super) struct CallEffects {
    /// Proxies that receive a message because of the call.
    pub(super) recipients: BTreeSet<u32>,
    /// Number with which the recipients acknowledge the call. `None` if no acknowledgement is requested.
    pub(super) mark: Option<u16>,
}

impl Tables {
    pub(super) fn unbind(&mut self, proxy: u32) {
        self.bindings.retain(|(bound, _), _| *bound != proxy);
    }

    pub(super) fn weights(&self, table: u32) -> BTreeMap<String, f64> {
        self.weights.get(&table).cloned().unwrap_or_default()
    }

    pub(super) fn endpoints(&self, proxy: u32) -> BTreeMap<String, f64> {
        self.bound_tables(proxy)
            .flatten()
            .filter(|(host, _)| !self.withdrawn.contains(*host))
            .map(|(host, weight)| (host.clone(), *weight))
            .collect()
    }

    pub(super) fn has_endpoint(&self, proxy: u32, host: &str) -> bool {
        self.bound_tables(proxy)
            .any(|weights| weights.contains_key(host))
    }

    fn bound_tables(&self, proxy: u32) -> impl Iterator<Item = &BTreeMap<String, f64>> {
        self.bindings
            .iter()
            .filter(move |((bound, _), _)| *bound == proxy)
            .filter_map(|(_, table)| self.weights.get(table))
    }

    fn bound_proxies(&self, table: u32) -> impl Iterator<Item = u32> {
        self.bindings
            .iter()
            .filter(move |(_, bound)| **bound == table)
            .map(|((proxy, _), _)| *proxy)
    }

    /// Applies one order. `proxies` are the joined proxies. Returns `None` if the order is invalid or binds a proxy
    /// that has not joined.
    pub(super) fn apply(
        &mut self,
        order: &str,
        proxies: &BTreeSet<u32>,
        effects: &mut CallEffects,
    ) -> Option<()> {
        let words: Vec<&str> = order.split(',').collect();
        match words.as_slice() {
            ["share", table, host, weight] => {
                let (table, weight) = (table.parse().ok()?, parse_non_negative(weight)?);
                self.set_weight(table, host, weight);
                effects.recipients.extend(self.bound_proxies(table));
            }
            ["clear", table] => {
                let table = table.parse().ok()?;
                self.weights.remove(&table);
                effects.recipients.extend(self.bound_proxies(table));
            }
            ["bind", proxy, table, classes] => {
                let (proxy, table) = (proxy.parse().ok()?, table.parse().ok()?);
                proxies.contains(&proxy).then_some(())?;
                self.bindings.insert((proxy, classes.to_string()), table);
                effects.recipients.insert(proxy);
            }
            ["withdraw", host] => {
                self.withdrawn.insert(host.to_string());
                effects.recipients.extend(self.proxies_with_host(host));
            }
            ["restore", host] => {
                self.withdrawn.remove(*host);
                effects.recipients.extend(self.proxies_with_host(host));
            }
            ["admit", table, _classes, quota, retry_policy] => {
                parse_non_negative(quota)?;
                let policy: u8 = retry_policy.parse().ok()?;
                (policy <= MAX_RETRY_POLICY).then_some(())?;
                let table: Option<u32> = table.parse().ok();
                effects.recipients.extend(
                    table
                        .into_iter()
                        .flat_map(|table| self.bound_proxies(table)),
                );
            }
            ["mark", number, is_for_all] => {
                effects.mark = Some(number.parse().ok()?);
                if *is_for_all == "1" {
                    effects.recipients.extend(proxies);
                }
            }
            _ => return None,
        }
        Some(())
    }

    fn set_weight(&mut self, table: u32, host: &str, weight: f64) {
        let weights = self.weights.entry(table).or_default();
        if weight > 0.0 {
            weights.insert(host.to_string(), weight);
        } else {
            weights.remove(host);
        }
    }

    /// Returns the proxies bound to any table that contains a host.
    fn proxies_with_host(&self, host: &str) -> BTreeSet<u32> {
        self.weights
            .iter()
            .filter(|(_, weights)| weights.contains_key(host))
            .flat_map(|(table, _)| self.bound_proxies(*table))
            .collect()
    }
}

/// Parses a number that must not be negative.
fn parse_non_negative(word: &str) -> Option<f64> {
    word.parse().ok().filter(|amount| *amount >= 0.0)
}
