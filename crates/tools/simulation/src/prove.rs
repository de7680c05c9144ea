//! Plays scripts in all modes and compares what came of them.

mod compare;

use crate::script::Script;
use crate::world::{Mode, Outcome, ProxyClass, World};
use compare::compare;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Tables that were compared with those of the platform's protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableCount {
    /// Tables.
    pub tables: u64,
    /// Hosts in them.
    pub hosts: u64,
}

/// What came of all scripts.
#[derive(Debug, Default)]
pub struct Proof {
    /// Scripts that were played.
    pub scripts: u64,
    /// Runs of them, one for each mode.
    pub runs: u64,
    /// Tables made from nothing, which must be the same.
    pub fresh: TableCount,
    /// Tables after all that happened. There the moment of the last update shows, as no update is sent for a small
    /// change.
    pub grown: TableCount,
    /// Hosts in grown tables whose weight differs by less than an update is worth.
    pub near_weights: u64,
    /// Grown tables in which another zone's hosts have another factor: cross-zone weights rest while all are healthy.
    pub other_factors: u64,
    /// Tables that differ.
    pub differing: Vec<String>,
    /// Checks of the rules, by rule.
    pub checks: BTreeMap<&'static str, u64>,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Scripts whose modes broke other rules than the platform's protocol.
    pub other_verdicts: Vec<String>,
    /// Messages to proxies, by mode.
    pub messages: BTreeMap<String, u64>,
    /// Events that were played, by kind.
    pub events: BTreeMap<&'static str, usize>,
}

impl Proof {
    /// Whether nothing differs and no rule was broken.
    pub fn holds(&self) -> bool {
        self.differing.is_empty() && self.violations.is_empty() && self.other_verdicts.is_empty()
    }

    /// All that speaks against it.
    pub fn faults(&self) -> impl Iterator<Item = &String> {
        let violations = self.violations.iter();
        violations
            .chain(&self.other_verdicts)
            .chain(&self.differing)
    }

    /// Adds the runs of a script, that of the platform's protocol first.
    fn add(&mut self, script: &Script, outcomes: &[(Mode, Outcome)]) {
        self.scripts += 1;
        for (kind, count) in script.event_kinds() {
            *self.events.entry(kind).or_default() += count;
        }
        let (_, platform) = &outcomes[0];
        for (mode, outcome) in outcomes {
            let run = Run {
                script,
                mode: *mode,
                outcome,
                platform,
            };
            self.runs += 1;
            *self.messages.entry(format!("{mode:?}")).or_default() += outcome.messages;
            self.add_rules(&run);
            self.add_fresh_tables(&run);
            self.add_grown_tables(&run);
        }
    }

    fn add_rules(&mut self, run: &Run<'_>) {
        let outcome = run.outcome;
        for (rule, count) in &outcome.checks {
            *self.checks.entry(rule).or_default() += count;
        }
        for violation in &outcome.violations {
            let (at, rule) = (violation.at, violation.rule);
            let description = &violation.description;
            self.violations
                .push(format!("{run} at {at} ms: {rule}: {description}"));
        }
        if outcome.invariant_failures > 0 {
            self.violations.push(format!(
                "{run}: {} invariants failed",
                outcome.invariant_failures
            ));
        }
        let (verdict, platform) = (verdict(outcome), verdict(run.platform));
        if verdict != platform {
            self.other_verdicts
                .push(format!("{run}: {verdict:?}, platform {platform:?}"));
        }
    }

    fn add_fresh_tables(&mut self, run: &Run<'_>) {
        for (key, table) in &run.outcome.fresh_tables {
            self.fresh.tables += 1;
            self.fresh.hosts += table.as_ref().map_or(0, |t| t.weights.len() as u64);
            let platform = &run.platform.fresh_tables[key];
            if table != platform {
                self.differing.push(format!(
                    "{run} {} anew: {table:?}, platform {platform:?}",
                    place(key)
                ));
            }
        }
    }

    fn add_grown_tables(&mut self, run: &Run<'_>) {
        for (key, table) in &run.outcome.tables {
            self.grown.tables += 1;
            self.grown.hosts += table.as_ref().map_or(0, |t| t.weights.len() as u64);
            let platform = &run.platform.tables[key];
            let proxies = &run.script.proxies;
            let zone = proxies.iter().find(|p| p.number == key.proxy);
            let zone = zone.map_or(0, |proxy| proxy.zone);
            match compare(run.script, zone, table.as_ref(), platform.as_ref()) {
                Some(difference) => {
                    self.near_weights += difference.weights;
                    self.other_factors += u64::from(difference.has_other_factor);
                }
                None => self.differing.push(format!(
                    "{run} {}: {table:?}, platform {platform:?}",
                    place(key)
                )),
            }
        }
    }
}

/// A run beside that of the platform's protocol.
struct Run<'a> {
    script: &'a Script,
    mode: Mode,
    outcome: &'a Outcome,
    platform: &'a Outcome,
}

impl std::fmt::Display for Run<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "seed {} {:?}", self.script.seed, self.mode)
    }
}

fn place(key: &ProxyClass) -> String {
    format!("{:?}", (key.proxy, key.class))
}

/// The rules that were broken.
fn verdict(outcome: &Outcome) -> BTreeSet<&'static str> {
    outcome.violations.iter().map(|v| v.rule).collect()
}

/// Plays the scripts of these seeds on so many threads.
pub fn prove(seeds: std::ops::Range<u64>, threads: usize) -> Proof {
    let next_seed = AtomicU64::new(seeds.start);
    let proof = Mutex::new(Proof::default());
    let work = || {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let script = Script::draw(seed);
            let outcomes: Vec<(Mode, Outcome)> = Mode::ALL
                .into_iter()
                .map(|mode| (mode, World::new(&script, mode, None).play()))
                .collect();
            let mut proof = proof.lock().unwrap_or_else(PoisonError::into_inner);
            proof.add(&script, &outcomes);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut proof = proof.into_inner().unwrap_or_else(PoisonError::into_inner);
    proof.differing.sort();
    proof.violations.sort();
    proof.other_verdicts.sort();
    proof
}
