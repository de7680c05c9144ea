//! The relay's tables, and what orders make of them.

use std::collections::{BTreeMap, BTreeSet};

/// The highest number of a retry policy in an admission level.
const MAX_RETRY_POLICY: u8 = 3;

/// Tables, who is bound to them, and hosts that are withdrawn from all.
#[derive(Default)]
pub(super) struct Tables {
    weights: BTreeMap<u32, BTreeMap<String, f64>>,
    /// By proxy and names of classes: the table.
    bindings: BTreeMap<(u32, String), u32>,
    withdrawn: BTreeSet<String>,
}

/// What the accepted orders of a call bring about beside tables.
#[derive(Default)]
pub(super) struct CallEffects {
    /// Proxies that get a message.
    pub(super) reached: BTreeSet<u32>,
    /// The number by which they acknowledge it.
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
        self.tables_of(proxy)
            .flatten()
            .filter(|(host, _)| !self.withdrawn.contains(*host))
            .map(|(host, weight)| (host.clone(), *weight))
            .collect()
    }

    pub(super) fn has_endpoint(&self, proxy: u32, host: &str) -> bool {
        self.tables_of(proxy)
            .any(|weights| weights.contains_key(host))
    }

    /// The tables that a proxy is bound to.
    fn tables_of(&self, proxy: u32) -> impl Iterator<Item = &BTreeMap<String, f64>> {
        self.bindings
            .iter()
            .filter(move |((bound, _), _)| *bound == proxy)
            .filter_map(|(_, table)| self.weights.get(table))
    }

    /// The proxies that are bound to a table.
    fn users(&self, table: u32) -> impl Iterator<Item = u32> {
        self.bindings
            .iter()
            .filter(move |(_, bound)| **bound == table)
            .map(|((proxy, _), _)| *proxy)
    }

    /// Applies one order, where these proxies are joined; nothing if the order can't be read or used.
    pub(super) fn apply(
        &mut self,
        order: &str,
        proxies: &BTreeSet<u32>,
        effects: &mut CallEffects,
    ) -> Option<()> {
        let words: Vec<&str> = order.split(',').collect();
        match words.as_slice() {
            ["share", table, host, weight] => {
                let (table, weight) = (table.parse().ok()?, parse_amount(weight)?);
                self.set_weight(table, host, weight);
                effects.reached.extend(self.users(table));
            }
            ["clear", table] => {
                let table = table.parse().ok()?;
                self.weights.remove(&table);
                effects.reached.extend(self.users(table));
            }
            ["bind", proxy, table, classes] => {
                let (proxy, table) = (proxy.parse().ok()?, table.parse().ok()?);
                proxies.contains(&proxy).then_some(())?;
                self.bindings.insert((proxy, classes.to_string()), table);
                effects.reached.insert(proxy);
            }
            ["withdraw", host] => {
                self.withdrawn.insert(host.to_string());
                effects.reached.extend(self.users_of_host(host));
            }
            ["restore", host] => {
                self.withdrawn.remove(*host);
                effects.reached.extend(self.users_of_host(host));
            }
            ["admit", table, _classes, quota, retry_policy] => {
                parse_amount(quota)?;
                let policy: u8 = retry_policy.parse().ok()?;
                (policy <= MAX_RETRY_POLICY).then_some(())?;
                let table: Option<u32> = table.parse().ok();
                effects
                    .reached
                    .extend(table.into_iter().flat_map(|table| self.users(table)));
            }
            ["mark", number, of_all] => {
                effects.mark = Some(number.parse().ok()?);
                if *of_all == "1" {
                    effects.reached.extend(proxies);
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

    /// The proxies whose tables hold a host.
    fn users_of_host(&self, host: &str) -> BTreeSet<u32> {
        self.weights
            .iter()
            .filter(|(_, weights)| weights.contains_key(host))
            .flat_map(|(table, _)| self.users(*table))
            .collect()
    }
}

/// A number that is not below 0.
fn parse_amount(word: &str) -> Option<f64> {
    word.parse().ok().filter(|amount| *amount >= 0.0)
}
