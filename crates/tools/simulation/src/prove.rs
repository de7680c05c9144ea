//! Plays scripts in all modes and compares what came of them.

use crate::check::Broken;
use crate::proxy::Table;
use crate::script::Script;
use crate::world::{Mode, Outcome, World};
use rushcourse_xds::WEIGHT_SCALE;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// What came of all scripts.
#[derive(Debug, Default)]
pub struct Proof {
    pub scripts: u64,
    pub runs: u64,
    /// Tables compared with those of the platform's protocol, made from nothing: lines in them.
    pub tables: u64,
    pub lines: u64,
    /// Tables compared after all that happened: lines in them, and those of another weight that the module takes for
    /// the same: it sends no line for so small a change, so the moment of the last one shows.
    pub tables_after: u64,
    pub lines_after: u64,
    pub lines_near: u64,
    /// Of these tables, those that reach into another zone by another factor: it rests while all are well.
    pub reaches: u64,
    pub differing: Vec<String>,
    pub checks: BTreeMap<&'static str, u64>,
    pub broken: Vec<String>,
    /// Scripts whose modes had other verdicts.
    pub verdicts: Vec<String>,
    pub messages: BTreeMap<String, u64>,
    pub events: BTreeMap<&'static str, usize>,
}

impl Proof {
    pub fn holds(&self) -> bool {
        self.differing.is_empty() && self.broken.is_empty() && self.verdicts.is_empty()
    }

    fn take(&mut self, script: &Script, outcomes: &[(Mode, Outcome)]) {
        self.scripts += 1;
        for (kind, n) in script.kinds() {
            *self.events.entry(kind).or_default() += n;
        }
        let seed = script.seed;
        let (_, first) = &outcomes[0];
        let verdict = |o: &Outcome| {
            o.broken
                .iter()
                .map(|b| b.rule)
                .collect::<std::collections::BTreeSet<_>>()
        };
        for (mode, o) in outcomes {
            self.runs += 1;
            *self.messages.entry(format!("{mode:?}")).or_default() += o.messages;
            o.made
                .iter()
                .for_each(|(rule, n)| *self.checks.entry(rule).or_default() += n);
            let told = |b: &Broken| {
                format!(
                    "seed {seed} {mode:?} at {} ms: {}: {}",
                    b.at, b.rule, b.what
                )
            };
            self.broken.extend(o.broken.iter().map(told));
            if o.invariants > 0 {
                self.broken.push(format!(
                    "seed {seed} {mode:?}: {} invariants failed",
                    o.invariants
                ));
            }
            if verdict(o) != verdict(first) {
                self.verdicts.push(format!(
                    "seed {seed} {mode:?}: {:?}, platform {:?}",
                    verdict(o),
                    verdict(first)
                ));
            }
            for (at, table) in &o.anew {
                self.tables += 1;
                self.lines += table.as_ref().map_or(0, |t| t.lines.len() as u64);
                if table != &first.anew[at] {
                    let other = &first.anew[at];
                    self.differing.push(format!(
                        "seed {seed} {mode:?} {at:?} anew: {table:?}, platform {other:?}"
                    ));
                }
            }
            for (at, table) in &o.tables {
                self.tables_after += 1;
                self.lines_after += table.as_ref().map_or(0, |t| t.lines.len() as u64);
                let zone = script
                    .proxies
                    .iter()
                    .find(|p| p.number == at.0)
                    .map_or(0, |p| p.zone);
                match near(script, zone, table.as_ref(), first.tables[at].as_ref()) {
                    Some((lines, reach)) => {
                        self.lines_near += lines;
                        self.reaches += u64::from(reach);
                    }
                    None => {
                        let other = &first.tables[at];
                        self.differing.push(format!(
                            "seed {seed} {mode:?} {at:?}: {table:?}, platform {other:?}"
                        ));
                    }
                }
            }
        }
    }
}

/// Whether two tables name the same hosts with the same level and way of trying again, and weights that the module
/// takes for the same: a line is worth an order from a twentieth of a listed weight on, and from a tenth of its own.
/// How far tables reach into another zone rests while all are well, so all of a zone's lines may differ by one
/// factor. Answers how many lines differ, and whether a reach does.
fn near(script: &Script, zone: usize, a: Option<&Table>, b: Option<&Table>) -> Option<(u64, bool)> {
    let (Some(a), Some(b)) = (a, b) else {
        return (a == b).then_some((0, false));
    };
    if a.level_ppm != b.level_ppm || a.again != b.again || !a.lines.keys().eq(b.lines.keys()) {
        return None;
    }
    let of = |z: usize| {
        let here = |host: &String| script.hosts.iter().any(|h| h.id == *host && h.zone == z);
        let lines = a
            .lines
            .iter()
            .zip(b.lines.values())
            .filter(move |((host, _), _)| here(host));
        lines
            .map(|((_, x), y)| (f64::from(*x), f64::from(*y)))
            .collect::<Vec<_>>()
    };
    let (mut off, mut reach) = (0, false);
    for z in 0..script.zones.len() {
        let lines = of(z);
        let top = |pick: fn(&(f64, f64)) -> f64| lines.iter().map(pick).fold(1.0, f64::max);
        let (x_top, y_top) = (top(|l| l.0), top(|l| l.1));
        let apart = z != zone && (x_top - y_top).abs() > 0.3 * x_top.max(y_top);
        let factor = if apart { x_top / y_top } else { 1.0 };
        let least = 0.05 * WEIGHT_SCALE * if apart { x_top / WEIGHT_SCALE } else { 1.0 };
        let close = |(x, y): &(f64, f64)| {
            (x - y * factor).abs() <= 2.0 * least.max(0.1 * x.max(y * factor)) + 1.0
        };
        if !lines.iter().all(close) {
            return None;
        }
        off += lines.iter().filter(|(x, y)| x != y).count() as u64;
        reach |= apart;
    }
    Some((off, reach))
}

/// Plays the scripts of these seeds on so many threads.
pub fn prove(seeds: std::ops::Range<u64>, threads: usize) -> Proof {
    let (next, proof) = (AtomicU64::new(seeds.start), Mutex::new(Proof::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let script = Script::draw(seed);
                    let outcomes: Vec<(Mode, Outcome)> = Mode::ALL
                        .into_iter()
                        .map(|mode| (mode, World::new(&script, mode, None).play()))
                        .collect();
                    proof
                        .lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .take(&script, &outcomes);
                }
            });
        }
    });
    let mut proof = proof.into_inner().unwrap_or_else(|e| e.into_inner());
    [&mut proof.differing, &mut proof.broken, &mut proof.verdicts]
        .into_iter()
        .for_each(|v| v.sort());
    proof
}
