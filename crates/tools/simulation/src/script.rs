//! What happens in a run, drawn from a seed, in the words of no protocol.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// ms since the start.
pub type At = f64;
pub const CLASSES: [&str; 2] = ["look", "pay"];
/// ms that a run lasts, and for how long nothing happens at its end but that the director starts anew, so that its
/// tables are made from nothing once more.
pub const LASTS: At = 56_000.0;
pub const CALM: At = 30_000.0;
pub const ANEW: At = LASTS - 10_000.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub id: String,
    pub zone: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Proxy {
    pub number: u32,
    pub zone: usize,
    pub rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Terminating,
    Gone,
}

/// What a proxy met at a host within a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Met {
    pub host: usize,
    pub tries: u64,
    pub failed: u64,
    pub mean: f64,
}

/// What one proxy reports: what it met, and by class what it let in and what of that failed.
pub type Reported = (usize, Vec<Met>, [(u64, u64); 2]);

#[derive(Clone, Debug, PartialEq)]
pub enum Happens {
    Joins(usize),
    Leaves(usize),
    /// A host of the list changes; `cold`: it has just started.
    Lists {
        host: usize,
        phase: Phase,
        cold: bool,
    },
    /// A proxy takes nothing and answers nothing, or does again.
    Stalls(usize),
    Resumes(usize),
    /// What the platform's relay is told stays unanswered, or is taken again.
    RelayStalls,
    RelayResumes,
    /// The director dies and comes back at once.
    Restarts,
    /// What each proxy met, and what came to it by class: let in, failed.
    Reports(Vec<Reported>),
}

#[derive(Clone, Debug)]
pub struct Script {
    pub seed: u64,
    pub zones: Vec<String>,
    pub hosts: Vec<Host>,
    pub proxies: Vec<Proxy>,
    /// Hosts that are listed from the start on; the others start in the run.
    pub first: usize,
    pub events: Vec<(At, Happens)>,
}

/// What one host goes through.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Fine,
    Drains(At),
    Restarts(At),
    Fails(At, At),
    Starts(At),
}

impl Script {
    /// The script of a seed.
    pub fn draw(seed: u64) -> Script {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = rng.random_range(1..=3);
        let each = rng.random_range(4..=6);
        let late = rng.random_range(0..=2);
        let mut hosts: Vec<Host> = (0..zones * each)
            .map(|k| Host {
                id: format!("{}{}", (b'a' + (k % zones) as u8) as char, k / zones),
                zone: k % zones,
            })
            .collect();
        let first = hosts.len();
        hosts.extend((0..late).map(|k| Host {
            id: format!("n{k}"),
            zone: k % zones,
        }));
        let proxies: Vec<Proxy> = (0..rng.random_range(4..=10))
            .map(|k| Proxy {
                number: k,
                zone: k as usize % zones,
                rate: rng.random_range(3.0f64..9.0).round(),
            })
            .collect();
        let busy = LASTS - CALM;
        let mut events: Vec<(At, Happens)> = Vec::new();
        for k in 0..proxies.len() {
            events.push((rng.random_range(300.0f64..900.0).round(), Happens::Joins(k)));
        }
        let fates = fates(&mut rng, &hosts, zones, first, busy);
        for (host, fate) in fates.iter().enumerate() {
            let lists = |phase, cold| Happens::Lists { host, phase, cold };
            match *fate {
                Fate::Drains(at) => events.extend([
                    (at, lists(Phase::Terminating, false)),
                    (at + 4000.0, lists(Phase::Gone, false)),
                ]),
                Fate::Restarts(at) => events.extend([
                    (at, lists(Phase::Terminating, false)),
                    (at + 3500.0, lists(Phase::Gone, false)),
                    (at + 6000.0, lists(Phase::Ready, true)),
                ]),
                Fate::Starts(at) => events.push((at, lists(Phase::Ready, true))),
                Fate::Fine | Fate::Fails(..) => {}
            }
        }
        // Some leave and come back, some stall, and the relay, the reports or the director may.
        for k in 0..proxies.len() {
            let at = rng.random_range(4000.0f64..busy - 8000.0).round();
            match rng.random_range(0..8) {
                0 => events.extend([(at, Happens::Leaves(k)), (at + 2500.0, Happens::Joins(k))]),
                1 => events.extend([(at, Happens::Stalls(k)), (at + 5000.0, Happens::Resumes(k))]),
                _ => {}
            }
        }
        if rng.random_bool(0.4) {
            let at = rng.random_range(5000.0f64..busy - 6000.0).round();
            events.extend([
                (at, Happens::RelayStalls),
                (at + 2500.0, Happens::RelayResumes),
            ]);
        }
        if rng.random_bool(0.2) {
            events.push((
                rng.random_range(8000.0f64..busy - 6000.0).round(),
                Happens::Restarts,
            ));
        }
        events.push((ANEW + 3.0, Happens::Restarts));
        let silent = if rng.random_bool(0.2) {
            rng.random_range(6000.0f64..15_000.0)
        } else {
            f64::INFINITY
        };
        let jam = if rng.random_bool(0.3) {
            rng.random_range(6000.0f64..15_000.0)
        } else {
            f64::INFINITY
        };
        for second in 1..(LASTS / 1000.0) as usize {
            let at = second as At * 1000.0 + 7.0;
            if !(silent..silent + 4000.0).contains(&at) {
                let slow = (jam..jam + 4000.0).contains(&at);
                events.push((
                    at,
                    Happens::Reports(reports(&mut rng, &proxies, &hosts, &fates, at, slow)),
                ));
            }
        }
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let zones = (0..zones).map(|z| format!("z{z}")).collect();
        Script {
            seed,
            zones,
            hosts,
            proxies,
            first,
            events,
        }
    }

    /// Events by kind, for a line that says what was played.
    pub fn kinds(&self) -> BTreeMap<&'static str, usize> {
        let mut kinds = BTreeMap::new();
        for (_, e) in &self.events {
            let kind = match e {
                Happens::Joins(_) => "joins",
                Happens::Leaves(_) => "leaves",
                Happens::Lists {
                    phase: Phase::Terminating,
                    ..
                } => "drains",
                Happens::Lists { cold: true, .. } => "cold starts",
                Happens::Lists { .. } => "ends",
                Happens::Stalls(_) => "stalls",
                Happens::Resumes(_) | Happens::RelayResumes => continue,
                Happens::RelayStalls => "relay stalls",
                Happens::Restarts => "restarts",
                Happens::Reports(_) => "reports",
            };
            *kinds.entry(kind).or_default() += 1;
        }
        kinds
    }
}

/// At most two hosts of a zone are out at a time, or all of one zone where there are others.
fn fates(rng: &mut ChaCha8Rng, hosts: &[Host], zones: usize, first: usize, busy: At) -> Vec<Fate> {
    let lost = (zones > 1 && rng.random_bool(0.15)).then(|| rng.random_range(0..zones));
    let gone_at = rng.random_range(6000.0f64..busy - 10_000.0).round();
    let mut left = vec![2; zones];
    let mut fates = Vec::new();
    for (k, host) in hosts.iter().enumerate() {
        let at = rng.random_range(3000.0f64..busy - 10_000.0).round();
        let kind = rng.random_range(0..6);
        fates.push(if k >= first {
            Fate::Starts(at)
        } else if lost == Some(host.zone) {
            Fate::Drains(gone_at)
        } else if left[host.zone] == 0 || kind > 2 {
            Fate::Fine
        } else {
            left[host.zone] -= 1;
            [
                Fate::Drains(at),
                Fate::Restarts(at),
                Fate::Fails(at, at + 5000.0),
            ][kind]
        });
    }
    fates
}

fn reports(
    rng: &mut ChaCha8Rng,
    proxies: &[Proxy],
    hosts: &[Host],
    fates: &[Fate],
    at: At,
    slow: bool,
) -> Vec<Reported> {
    let is_up = |fate: &Fate| match *fate {
        Fate::Fine | Fate::Fails(..) => true,
        Fate::Drains(end) => at < end,
        Fate::Restarts(end) => at < end || at > end + 6500.0,
        Fate::Starts(begin) => at > begin + 500.0,
    };
    let up: Vec<usize> = (0..hosts.len()).filter(|h| is_up(&fates[*h])).collect();
    let mut all = Vec::new();
    for (k, p) in proxies.iter().enumerate() {
        let met: Vec<Met> = up
            .iter()
            .map(|h| {
                let tries = rng.random_range(1..=3);
                let fails = matches!(fates[*h], Fate::Fails(from, to) if (from..to).contains(&at));
                let mean = if slow {
                    2400.0
                } else {
                    rng.random_range(90.0f64..180.0).round()
                };
                Met {
                    host: *h,
                    tries,
                    failed: if fails { tries } else { 0 },
                    mean,
                }
            })
            .collect();
        let tries = (p.rate * 0.7).round() as u64;
        all.push((k, met, [(tries, 0), ((p.rate * 0.3).round() as u64, 0)]));
    }
    all
}
