//! Generation of scripts from a seed. A seed's script depends on the order in which random numbers are drawn.

use super::{
    ClassRequests, FINAL_RESTART, Host, HostAttempts, Phase, Proxy, ProxyReport, QUIET_PERIOD,
    RUN_LENGTH, Script, ScriptEvent, TimedEvent,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_policy::interface::Ms;

/// Time before [`QUIET_PERIOD`], in ms: hosts, proxies and the relay change only within it.
const ACTIVE_LENGTH: Ms = RUN_LENGTH - QUIET_PERIOD;
/// Time from the start of a host's drain until the host is gone, in ms.
const DRAIN_DURATION: Ms = 4000.0;
/// Time from the start of a restarting host's drain until the host is gone, in ms.
const RESTART_DRAIN_DURATION: Ms = 3500.0;
/// Time from the start of a restarting host's drain until the host is ready again, in ms.
const RESTART_DURATION: Ms = 6000.0;
const FAILURE_DURATION: Ms = 5000.0;
/// Time between a proxy's leave and its next join, in ms.
const ABSENCE_DURATION: Ms = 2500.0;
const PROXY_STALL_DURATION: Ms = 5000.0;
const RELAY_STALL_DURATION: Ms = 2500.0;
/// Duration of a gap in the reports, and of an overload of all hosts, in ms.
const DISTURBANCE_DURATION: Ms = 4000.0;
/// Mean latency of every host during an overload, in ms.
const OVERLOADED_LATENCY: Ms = 2400.0;
/// Time from a host's start in the list until proxies report attempts at the host, in ms.
const START_DELAY: Ms = 500.0;
/// Maximum number of hosts of a zone that drain, restart or fail within a run, unless the whole zone drains.
const MAX_OUTAGES_PER_ZONE: usize = 2;
/// Fractions of a proxy's requests by class; they add up to 1.
const CLASS_FRACTIONS: [f64; 2] = [0.7, 0.3];

/// Behavior of a host in a run, with the times of its changes in ms since the start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostScenario {
    Stable,
    Drains(Ms),
    Restarts(Ms),
    Fails(Ms, Ms),
    Starts(Ms),
}

impl HostScenario {
    /// Whether proxies report attempts at the host.
    fn serves(&self, at: Ms) -> bool {
        match *self {
            HostScenario::Stable | HostScenario::Fails(..) => true,
            HostScenario::Drains(end) => at < end,
            HostScenario::Restarts(end) => at < end || at > end + RESTART_DURATION + START_DELAY,
            HostScenario::Starts(begin) => at > begin + START_DELAY,
        }
    }

    fn fails(&self, at: Ms) -> bool {
        matches!(*self, HostScenario::Fails(from, to) if (from..to).contains(&at))
    }

    /// The changes of the host's entry in the list of hosts.
    fn events(self, host: usize) -> Vec<TimedEvent> {
        let change = |at, phase, has_just_started| TimedEvent {
            at,
            event: ScriptEvent::HostChanges {
                host,
                phase,
                has_just_started,
            },
        };
        match self {
            HostScenario::Drains(at) => vec![
                change(at, Phase::Terminating, false),
                change(at + DRAIN_DURATION, Phase::Gone, false),
            ],
            HostScenario::Restarts(at) => vec![
                change(at, Phase::Terminating, false),
                change(at + RESTART_DRAIN_DURATION, Phase::Gone, false),
                change(at + RESTART_DURATION, Phase::Ready, true),
            ],
            HostScenario::Starts(at) => vec![change(at, Phase::Ready, true)],
            HostScenario::Stable | HostScenario::Fails(..) => Vec::new(),
        }
    }
}

impl Script {
    /// Generates the script of a seed; the same seed always gives the same script.
    pub fn generate(seed: u64) -> Script {
        ScriptGenerator::new(seed).generate(seed)
    }
}

/// Draws a time in whole milliseconds.
fn random_time(rng: &mut ChaCha8Rng, from: Ms, to: Ms) -> Ms {
    rng.random_range(from..to).round()
}

struct ScriptGenerator {
    rng: ChaCha8Rng,
    zones: usize,
    hosts: Vec<Host>,
    listed_at_start: usize,
    proxies: Vec<Proxy>,
    events: Vec<TimedEvent>,
}

impl ScriptGenerator {
    fn new(seed: u64) -> ScriptGenerator {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = rng.random_range(1..=3);
        let hosts_per_zone = rng.random_range(4..=6);
        let late_hosts = rng.random_range(0..=2);
        let name = |k: usize| format!("{}{}", (b'a' + (k % zones) as u8) as char, k / zones);
        let mut hosts: Vec<Host> = (0..zones * hosts_per_zone)
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
        ScriptGenerator {
            rng,
            zones,
            hosts,
            listed_at_start,
            proxies,
            events: Vec::new(),
        }
    }

    fn generate(mut self, seed: u64) -> Script {
        for proxy in 0..self.proxies.len() {
            let at = random_time(&mut self.rng, 300.0, 900.0);
            self.push(at, ScriptEvent::ProxyJoins(proxy));
        }
        let scenarios = self.scenarios();
        for (host, scenario) in scenarios.iter().enumerate() {
            self.events.extend(scenario.events(host));
        }
        self.add_proxy_faults();
        self.add_relay_stall();
        self.add_director_restarts();
        self.add_reports(&scenarios);
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

    /// Draws a scenario for each host. At most [`MAX_OUTAGES_PER_ZONE`] hosts of a zone are disrupted. If there are
    /// several zones, all hosts of one of them may drain instead.
    fn scenarios(&mut self) -> Vec<HostScenario> {
        let rng = &mut self.rng;
        let is_zone_drained = self.zones > 1 && rng.random_bool(0.15);
        let drained_zone = is_zone_drained.then(|| rng.random_range(0..self.zones));
        let zone_drains_at = random_time(rng, 6000.0, ACTIVE_LENGTH - 10_000.0);
        let mut remaining_outages = vec![MAX_OUTAGES_PER_ZONE; self.zones];
        let mut scenarios = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let at = random_time(rng, 3000.0, ACTIVE_LENGTH - 10_000.0);
            let kind = rng.random_range(0..6);
            scenarios.push(if index >= self.listed_at_start {
                HostScenario::Starts(at)
            } else if drained_zone == Some(host.zone) {
                HostScenario::Drains(zone_drains_at)
            } else if remaining_outages[host.zone] == 0 || kind > 2 {
                HostScenario::Stable
            } else {
                remaining_outages[host.zone] -= 1;
                [
                    HostScenario::Drains(at),
                    HostScenario::Restarts(at),
                    HostScenario::Fails(at, at + FAILURE_DURATION),
                ][kind]
            });
        }
        scenarios
    }

    /// Lets one proxy in eight leave and rejoin, and another one in eight stall, on average.
    fn add_proxy_faults(&mut self) {
        for proxy in 0..self.proxies.len() {
            let at = random_time(&mut self.rng, 4000.0, ACTIVE_LENGTH - 8000.0);
            match self.rng.random_range(0..8) {
                0 => {
                    self.push(at, ScriptEvent::ProxyLeaves(proxy));
                    self.push(at + ABSENCE_DURATION, ScriptEvent::ProxyJoins(proxy));
                }
                1 => {
                    self.push(at, ScriptEvent::ProxyStalls(proxy));
                    self.push(at + PROXY_STALL_DURATION, ScriptEvent::ProxyResumes(proxy));
                }
                _ => {}
            }
        }
    }

    fn add_relay_stall(&mut self) {
        if self.rng.random_bool(0.4) {
            let at = random_time(&mut self.rng, 5000.0, ACTIVE_LENGTH - 6000.0);
            self.push(at, ScriptEvent::RelayStalls);
            self.push(at + RELAY_STALL_DURATION, ScriptEvent::RelayResumes);
        }
    }

    fn add_director_restarts(&mut self) {
        if self.rng.random_bool(0.2) {
            let at = random_time(&mut self.rng, 8000.0, ACTIVE_LENGTH - 6000.0);
            self.push(at, ScriptEvent::DirectorRestarts);
        }
        self.push(FINAL_RESTART + 3.0, ScriptEvent::DirectorRestarts);
    }

    /// Draws the period of a disturbance that occurs with probability `chance`. Otherwise, the period never begins.
    fn random_disturbance(&mut self, chance: f64) -> std::ops::Range<Ms> {
        let begin = if self.rng.random_bool(chance) {
            self.rng.random_range(6000.0f64..15_000.0)
        } else {
            f64::INFINITY
        };
        begin..begin + DISTURBANCE_DURATION
    }

    /// Adds the reports of each second, with an optional gap and an optional overload of all hosts.
    fn add_reports(&mut self, scenarios: &[HostScenario]) {
        let missing = self.random_disturbance(0.2);
        let overload = self.random_disturbance(0.3);
        for second in 1..(RUN_LENGTH / 1000.0) as usize {
            let at = second as Ms * 1000.0 + 7.0;
            if !missing.contains(&at) {
                let reports = self.reports(scenarios, at, overload.contains(&at));
                self.push(at, ScriptEvent::Reports(reports));
            }
        }
    }

    fn reports(
        &mut self,
        scenarios: &[HostScenario],
        at: Ms,
        is_overloaded: bool,
    ) -> Vec<ProxyReport> {
        let rng = &mut self.rng;
        let serving: Vec<usize> = (0..scenarios.len())
            .filter(|host| scenarios[*host].serves(at))
            .collect();
        let report = |(proxy, Proxy { rate, .. }): (usize, &Proxy)| {
            let hosts = serving
                .iter()
                .map(|host| host_attempts(rng, *host, scenarios[*host].fails(at), is_overloaded));
            let requests = |fraction: f64| ClassRequests {
                admitted: (rate * fraction).round() as u64,
                failed: 0,
            };
            ProxyReport {
                proxy,
                hosts: hosts.collect(),
                classes: CLASS_FRACTIONS.map(requests),
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
