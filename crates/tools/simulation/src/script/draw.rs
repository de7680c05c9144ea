//! Scripts drawn from a seed. The order of the draws is part of a script: another one would make another script of
//! the same seed.

use super::{
    ClassRequests, FINAL_RESTART, Host, HostAttempts, Phase, Proxy, ProxyReport, QUIET_TAIL,
    RUN_LENGTH, Script, ScriptEvent, TimedEvent,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_policy::interface::Ms;

/// What may happen ends with the time that is left to the quiet tail.
const BUSY_LENGTH: Ms = RUN_LENGTH - QUIET_TAIL;
/// Time from the news that a host drains until it is gone.
const DRAIN: Ms = 4000.0;
/// The same for a host that restarts, and until it is back.
const RESTART_DRAIN: Ms = 3500.0;
const RESTART: Ms = 6000.0;
/// How long a host fails, a proxy is away, and a proxy or the relay stalls.
const FAILURE: Ms = 5000.0;
const ABSENCE: Ms = 2500.0;
const PROXY_STALL: Ms = 5000.0;
const RELAY_STALL: Ms = 2500.0;
/// How long reports are missing, or all hosts answer late.
const DISTURBANCE: Ms = 4000.0;
/// Mean latency while all hosts answer late.
const OVERLOADED_LATENCY: Ms = 2400.0;
/// A host serves this long after it was listed as started, or listed again.
const START_DELAY: Ms = 500.0;
/// Hosts of one zone that may be out at a time.
const MAX_OUT_IN_ZONE: usize = 2;
/// Parts of a proxy's requests by class.
const CLASS_PARTS: [f64; 2] = [0.7, 0.3];

/// What one host goes through, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Fine,
    Drains(Ms),
    Restarts(Ms),
    Fails(Ms, Ms),
    Starts(Ms),
}

impl Fate {
    /// Whether the host gets requests.
    fn serves(&self, at: Ms) -> bool {
        match *self {
            Fate::Fine | Fate::Fails(..) => true,
            Fate::Drains(end) => at < end,
            Fate::Restarts(end) => at < end || at > end + RESTART + START_DELAY,
            Fate::Starts(begin) => at > begin + START_DELAY,
        }
    }

    fn fails(&self, at: Ms) -> bool {
        matches!(*self, Fate::Fails(from, to) if (from..to).contains(&at))
    }

    /// How the host's entry in the list changes.
    fn events(self, host: usize) -> Vec<TimedEvent> {
        let change = |at, phase, is_started| TimedEvent {
            at,
            event: ScriptEvent::HostChanges {
                host,
                phase,
                is_started,
            },
        };
        match self {
            Fate::Drains(at) => vec![
                change(at, Phase::Terminating, false),
                change(at + DRAIN, Phase::Gone, false),
            ],
            Fate::Restarts(at) => vec![
                change(at, Phase::Terminating, false),
                change(at + RESTART_DRAIN, Phase::Gone, false),
                change(at + RESTART, Phase::Ready, true),
            ],
            Fate::Starts(at) => vec![change(at, Phase::Ready, true)],
            Fate::Fine | Fate::Fails(..) => Vec::new(),
        }
    }
}

impl Script {
    /// The script of a seed.
    pub fn draw(seed: u64) -> Script {
        Draw::new(seed).script(seed)
    }
}

/// A time in ms, whole.
fn time(rng: &mut ChaCha8Rng, from: Ms, to: Ms) -> Ms {
    rng.random_range(from..to).round()
}

struct Draw {
    rng: ChaCha8Rng,
    zones: usize,
    hosts: Vec<Host>,
    listed_at_start: usize,
    proxies: Vec<Proxy>,
    events: Vec<TimedEvent>,
}

impl Draw {
    fn new(seed: u64) -> Draw {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = rng.random_range(1..=3);
        let hosts_of_zone = rng.random_range(4..=6);
        let late_hosts = rng.random_range(0..=2);
        let name = |k: usize| format!("{}{}", (b'a' + (k % zones) as u8) as char, k / zones);
        let mut hosts: Vec<Host> = (0..zones * hosts_of_zone)
            .map(|k| Host {
                id: name(k),
                zone: k % zones,
            })
            .collect();
        let listed_at_start = hosts.len();
        hosts.extend((0..late_hosts).map(|k| Host {
            id: format!("n{k}"),
            zone: k % zones,
        }));
        let proxies = (0..rng.random_range(4..=10))
            .map(|number| Proxy {
                number,
                zone: number as usize % zones,
                rate: rng.random_range(3.0f64..9.0).round(),
            })
            .collect();
        Draw {
            rng,
            zones,
            hosts,
            listed_at_start,
            proxies,
            events: Vec::new(),
        }
    }

    fn script(mut self, seed: u64) -> Script {
        for proxy in 0..self.proxies.len() {
            let at = time(&mut self.rng, 300.0, 900.0);
            self.push(at, ScriptEvent::ProxyJoins(proxy));
        }
        let fates = self.fates();
        for (host, fate) in fates.iter().enumerate() {
            self.events.extend(fate.events(host));
        }
        self.disturb_proxies();
        self.disturb_relay();
        self.restart_director();
        self.report(&fates);
        self.events.sort_by(|a, b| a.at.total_cmp(&b.at));
        Script {
            seed,
            zones: (0..self.zones).map(|zone| format!("z{zone}")).collect(),
            hosts: self.hosts,
            proxies: self.proxies,
            listed_at_start: self.listed_at_start,
            events: self.events,
        }
    }

    fn push(&mut self, at: Ms, event: ScriptEvent) {
        self.events.push(TimedEvent { at, event });
    }

    /// At most two hosts of a zone are out at a time, or all of one zone where there are others.
    fn fates(&mut self) -> Vec<Fate> {
        let rng = &mut self.rng;
        let is_zone_lost = self.zones > 1 && rng.random_bool(0.15);
        let lost_zone = is_zone_lost.then(|| rng.random_range(0..self.zones));
        let lost_at = time(rng, 6000.0, BUSY_LENGTH - 10_000.0);
        let mut may_be_out = vec![MAX_OUT_IN_ZONE; self.zones];
        let mut fates = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let at = time(rng, 3000.0, BUSY_LENGTH - 10_000.0);
            let kind = rng.random_range(0..6);
            fates.push(if index >= self.listed_at_start {
                Fate::Starts(at)
            } else if lost_zone == Some(host.zone) {
                Fate::Drains(lost_at)
            } else if may_be_out[host.zone] == 0 || kind > 2 {
                Fate::Fine
            } else {
                may_be_out[host.zone] -= 1;
                [
                    Fate::Drains(at),
                    Fate::Restarts(at),
                    Fate::Fails(at, at + FAILURE),
                ][kind]
            });
        }
        fates
    }

    /// Some proxies leave and come back, some stall.
    fn disturb_proxies(&mut self) {
        for proxy in 0..self.proxies.len() {
            let at = time(&mut self.rng, 4000.0, BUSY_LENGTH - 8000.0);
            match self.rng.random_range(0..8) {
                0 => {
                    self.push(at, ScriptEvent::ProxyLeaves(proxy));
                    self.push(at + ABSENCE, ScriptEvent::ProxyJoins(proxy));
                }
                1 => {
                    self.push(at, ScriptEvent::ProxyStalls(proxy));
                    self.push(at + PROXY_STALL, ScriptEvent::ProxyResumes(proxy));
                }
                _ => {}
            }
        }
    }

    fn disturb_relay(&mut self) {
        if self.rng.random_bool(0.4) {
            let at = time(&mut self.rng, 5000.0, BUSY_LENGTH - 6000.0);
            self.push(at, ScriptEvent::RelayStalls);
            self.push(at + RELAY_STALL, ScriptEvent::RelayResumes);
        }
    }

    fn restart_director(&mut self) {
        if self.rng.random_bool(0.2) {
            let at = time(&mut self.rng, 8000.0, BUSY_LENGTH - 6000.0);
            self.push(at, ScriptEvent::DirectorRestarts);
        }
        self.push(FINAL_RESTART + 3.0, ScriptEvent::DirectorRestarts);
    }

    /// When a disturbance begins that happens in a part of all scripts; never in the others.
    fn disturbance(&mut self, chance: f64) -> std::ops::Range<Ms> {
        let begin = if self.rng.random_bool(chance) {
            self.rng.random_range(6000.0f64..15_000.0)
        } else {
            f64::INFINITY
        };
        begin..begin + DISTURBANCE
    }

    /// The reports of each second, but for some that are missing; some seconds are overloaded.
    fn report(&mut self, fates: &[Fate]) {
        let missing = self.disturbance(0.2);
        let overload = self.disturbance(0.3);
        for second in 1..(RUN_LENGTH / 1000.0) as usize {
            let at = second as Ms * 1000.0 + 7.0;
            if !missing.contains(&at) {
                let reports = self.reports(fates, at, overload.contains(&at));
                self.push(at, ScriptEvent::Reports(reports));
            }
        }
    }

    fn reports(&mut self, fates: &[Fate], at: Ms, is_overloaded: bool) -> Vec<ProxyReport> {
        let rng = &mut self.rng;
        let serving: Vec<usize> = (0..fates.len())
            .filter(|host| fates[*host].serves(at))
            .collect();
        let report = |(proxy, Proxy { rate, .. }): (usize, &Proxy)| {
            let hosts = serving
                .iter()
                .map(|host| host_attempts(rng, *host, fates[*host].fails(at), is_overloaded));
            let requests = |part: f64| ClassRequests {
                admitted: (rate * part).round() as u64,
                failed: 0,
            };
            ProxyReport {
                proxy,
                hosts: hosts.collect(),
                classes: CLASS_PARTS.map(requests),
            }
        };
        self.proxies.iter().enumerate().map(report).collect()
    }
}

fn host_attempts(
    rng: &mut ChaCha8Rng,
    host: usize,
    fails: bool,
    is_overloaded: bool,
) -> HostAttempts {
    let attempts = rng.random_range(1..=3);
    HostAttempts {
        host,
        attempts,
        failed: if fails { attempts } else { 0 },
        mean_latency: if is_overloaded {
            OVERLOADED_LATENCY
        } else {
            rng.random_range(90.0f64..180.0).round()
        },
    }
}
