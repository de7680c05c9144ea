//! Runs scripts in all modes and compares the results with those of the platform's relay, the baseline.

mod compare;

use crate::script::Script;
use crate::world::{Mode, Outcome, ProxyClass, World};
use compare::compare;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Number of tables that were compared with the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableCount {
    /// Number of compared tables, one for each mode, proxy and class.
    pub tables: u64,
    /// Total number of hosts in the compared tables.
    pub hosts: u64,
}

/// Results of all scripts in all modes.
#[derive(Debug, Default)]
pub struct SuiteResult {
    /// Number of completed scripts.
    pub scripts: u64,
    /// Number of completed runs, one per script and mode.
    pub runs: u64,
    /// Tables that the director rebuilt after its final restart. They must equal the baseline exactly.
    pub after_restart: TableCount,
    /// Tables just before the final restart. They may differ from the baseline within a tolerance, as the director
    /// sends no update for a small change of weights.
    pub before_restart: TableCount,
    /// Number of hosts in tables before the restart whose weight differs from the baseline within the tolerance.
    pub tolerated_weights: u64,
    /// Number of tables before the restart in which all weights of another zone differ by one common factor.
    pub rescaled_tables: u64,
    /// Description of each table that differs from the baseline beyond the tolerance.
    pub table_mismatches: Vec<String>,
    /// Number of checks by rule.
    pub checks: BTreeMap<&'static str, u64>,
    /// Description of each rule violation and of each run with failed invariants.
    pub violations: Vec<String>,
    /// Description of each run that violated other rules than its baseline.
    pub rule_mismatches: Vec<String>,
    /// Number of messages to proxies by mode.
    pub messages: BTreeMap<String, u64>,
    /// Number of script events by kind; each script counts once.
    pub events: BTreeMap<&'static str, usize>,
}

impl SuiteResult {
    /// Whether no table differs from its baseline and no rule was violated.
    pub fn passes(&self) -> bool {
        self.table_mismatches.is_empty()
            && self.violations.is_empty()
            && self.rule_mismatches.is_empty()
    }

    /// Descriptions of all violations and mismatches, violations first.
    pub fn failures(&self) -> impl Iterator<Item = &String> {
        let violations = self.violations.iter();
        violations
            .chain(&self.rule_mismatches)
            .chain(&self.table_mismatches)
    }

    /// Adds the runs of a script. The first outcome is the baseline of the others.
    fn add(&mut self, script: &Script, outcomes: &[(Mode, Outcome)]) {
        self.scripts += 1;
        for (kind, count) in script.event_kinds() {
            *self.events.entry(kind).or_default() += count;
        }
        let (_, baseline) = &outcomes[0];
        for (mode, outcome) in outcomes {
            let run = Run {
                script,
                mode: *mode,
                outcome,
                baseline,
            };
            self.runs += 1;
            *self.messages.entry(format!("{mode:?}")).or_default() += outcome.messages;
            self.add_rules(&run);
            self.add_tables_after_restart(&run);
            self.add_tables_before_restart(&run);
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
        let (violated, baseline) = (violated_rules(outcome), violated_rules(run.baseline));
        if violated != baseline {
            self.rule_mismatches
                .push(format!("{run}: {violated:?}, baseline {baseline:?}"));
        }
    }

    fn add_tables_after_restart(&mut self, run: &Run<'_>) {
        for (key, table) in &run.outcome.tables_after_restart {
            self.after_restart.tables += 1;
            self.after_restart.hosts += table.as_ref().map_or(0, |t| t.weights.len() as u64);
            let baseline = &run.baseline.tables_after_restart[key];
            if table != baseline {
                self.table_mismatches.push(format!(
                    "{run} {} after restart: {table:?}, baseline {baseline:?}",
                    describe_key(key)
                ));
            }
        }
    }

    fn add_tables_before_restart(&mut self, run: &Run<'_>) {
        for (key, table) in &run.outcome.tables_before_restart {
            self.before_restart.tables += 1;
            self.before_restart.hosts += table.as_ref().map_or(0, |t| t.weights.len() as u64);
            let baseline = &run.baseline.tables_before_restart[key];
            let proxies = &run.script.proxies;
            let zone = proxies.iter().find(|p| p.number == key.proxy);
            let zone = zone.map_or(0, |proxy| proxy.zone);
            match compare(run.script, zone, table.as_ref(), baseline.as_ref()) {
                Some(difference) => {
                    self.tolerated_weights += difference.weights;
                    self.rescaled_tables += u64::from(difference.is_rescaled);
                }
                None => self.table_mismatches.push(format!(
                    "{run} {}: {table:?}, baseline {baseline:?}",
                    describe_key(key)
                )),
            }
        }
    }
}

/// A run with the outcome of the baseline run of the same script.
struct Run<'a> {
    script: &'a Script,
    mode: Mode,
    outcome: &'a Outcome,
    baseline: &'a Outcome,
}

impl std::fmt::Display for Run<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "seed {} {:?}", self.script.seed, self.mode)
    }
}

fn describe_key(key: &ProxyClass) -> String {
    format!("{:?}", (key.proxy, key.class))
}

fn violated_rules(outcome: &Outcome) -> BTreeSet<&'static str> {
    outcome.violations.iter().map(|v| v.rule).collect()
}

/// Runs the scripts of a range of seeds in all modes, distributed over a number of threads (at least 1).
pub fn run_suite(seeds: std::ops::Range<u64>, threads: usize) -> SuiteResult {
    let next_seed = AtomicU64::new(seeds.start);
    let result = Mutex::new(SuiteResult::default());
    let worker = || {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let script = Script::generate(seed);
            let outcomes: Vec<(Mode, Outcome)> = Mode::ALL
                .into_iter()
                .map(|mode| (mode, World::new(&script, mode, None).play()))
                .collect();
            let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
            result.add(&script, &outcomes);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(worker);
        }
    });
    let mut result = result.into_inner().unwrap_or_else(PoisonError::into_inner);
    result.table_mismatches.sort();
    result.violations.sort();
    result.rule_mismatches.sort();
    result
}
