//! Random events for two identical directors, with a simulated channel to their proxies.

use crate::common::{
    ROUND_TIMER, acknowledged, cached_list, delta, host, host_report, join_with_rate, left, round_timer,
    started, traffic, with_state,
};
use crate::observer::Observer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, HostEntry, Ms, Readiness, Settings};

/// Simulated time between two steps.
const STEP: Ms = 40.0;

/// Size of the simulated fleet and length of the scenario.
#[derive(Clone, Copy)]
pub struct Scale {
    pub hosts: usize,
    /// Number of additional hosts that may start later.
    pub spare: usize,
    pub proxies: u32,
    pub steps: usize,
    /// Whether the fleet grows and its host list is temporarily wrong.
    pub grows: bool,
}

/// Speed of the channel and rate of changes.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Channel speed as a fraction of the configured throughput.
    pub channel: f64,
    /// Percentage of steps in which a host changes; proxies join or leave in twice as many.
    pub changes: i32,
}

/// Runs a random scenario and returns the actions of each batch. Asserts that both directors act alike.
pub fn run_scenario(scale: Scale, seed: u64, settings: Settings, pace: Pace) -> Vec<Vec<Action>> {
    let mut scenario = RandomScenario::new(scale, seed, settings.clone(), pace);
    let (mut director, mut replica) = (Director::new(settings.clone()), Director::new(settings));
    let mut batches = Vec::new();
    for step in 0..scale.steps {
        let events = scenario.step(step);
        if events.is_empty() {
            continue;
        }
        let actions = director.handle(scenario.now, events.clone());
        assert_eq!(actions, replica.handle(scenario.now, events), "same events, different actions");
        scenario.apply(&actions);
        batches.push(actions);
    }
    batches
}

struct RandomScenario {
    scale: Scale,
    pace: Pace,
    lines_per_second: f64,
    rng: ChaCha8Rng,
    now: Ms,
    next_round: Ms,
    first_list: Vec<HostEntry>,
    observer: Observer,
    /// Lines that the channel may send in addition to the messages that it has already sent.
    line_credit: f64,
    /// Acknowledgements in transit, with their arrival times.
    acknowledgements: Vec<(Ms, Event)>,
}

fn name(host: usize) -> String {
    format!("h{host:02}")
}

impl RandomScenario {
    fn new(scale: Scale, seed: u64, settings: Settings, pace: Pace) -> RandomScenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut first_list: Vec<HostEntry> = (0..scale.hosts).map(|k| host(&name(k), k % 2)).collect();
        first_list.iter_mut().for_each(|entry| entry.weight = rng.random_range(0.5..2.0));
        RandomScenario {
            scale,
            pace,
            lines_per_second: settings.channel.lines_per_second,
            rng,
            now: 500.0,
            next_round: 0.0,
            first_list,
            observer: Observer::new(settings),
            line_credit: 0.0,
            acknowledgements: Vec::new(),
        }
    }

    /// Advances the clock by one step and returns its events.
    fn step(&mut self, step: usize) -> Vec<Event> {
        self.now += STEP;
        let mut events = Vec::new();
        let mut listed = if step == 0 { self.first_list.clone() } else { Vec::new() };
        if self.now >= self.next_round {
            events.push(round_timer());
        }
        let changes = self.pace.changes;
        match self.rng.random_range(0..100) {
            roll if roll < changes => listed.push(self.changed_host()),
            roll if roll < 3 * changes => events.push(self.join_or_leave()),
            12..40 => events.extend(self.report()),
            _ => {}
        }
        if self.scale.grows {
            events.extend(self.scripted_events(step, &mut listed));
        }
        if !listed.is_empty() {
            self.observer.list(self.now, &listed);
            events.push(if step == 0 { cached_list(&listed) } else { delta(&listed) });
        }
        events.extend(self.transmit());
        events
    }

    /// A random host that restarts or, if enough others are ready, drains or terminates.
    fn changed_host(&mut self) -> HostEntry {
        let name = name(self.rng.random_range(0..self.scale.hosts + self.scale.spare));
        let new = host(&name, self.rng.random_range(0..2));
        let entry = self.observer.hosts.get(&name).cloned().unwrap_or(new);
        let ended = if self.rng.random() { Readiness::Draining } else { Readiness::Gone };
        let ready = self.observer.hosts.values().filter(|entry| entry.readiness == Readiness::Ready).count();
        if self.rng.random_bool(0.6) || ready < self.scale.hosts / 2 {
            with_state(entry, Readiness::Ready, self.now - 200.0)
        } else {
            HostEntry { readiness: ended, ..entry }
        }
    }

    fn join_or_leave(&mut self) -> Event {
        let proxy = self.rng.random_range(0..self.scale.proxies);
        if self.observer.leave(proxy) {
            let is_from_proxy = |event: &Event| matches!(event, Event::Acknowledged { proxy: sender, .. } if *sender == proxy);
            self.acknowledgements.retain(|(_, event)| !is_from_proxy(event));
            return left(proxy);
        }
        let zone = self.rng.random_range(0..2);
        self.observer.joined.insert(proxy, zone);
        let is_fresh = self.rng.random();
        Event::ProxyJoined { proxy, zone, rate: 4.0, is_fresh, channel: Channel::Shared }
    }

    /// Random reports about a host and about the traffic of a proxy.
    fn report(&mut self) -> [Event; 2] {
        let name = name(self.rng.random_range(0..self.scale.hosts + self.scale.spare));
        let attempts = f64::from(self.rng.random_range(1..12));
        let failed = if self.rng.random_bool(0.3) { attempts } else { 0.0 };
        let (zone, latency) = (self.rng.random_range(0..2), self.rng.random_range(50.0..1500.0));
        [host_report(zone, &name, attempts, failed, latency), traffic(0, 0, attempts)]
    }

    /// Events at fixed steps: all proxies join, the spare hosts start, and later most hosts are temporarily listed as
    /// gone and return with unchanged start times.
    fn scripted_events(&mut self, step: usize, listed: &mut Vec<HostEntry>) -> Vec<Event> {
        let Scale { hosts, spare, proxies, .. } = self.scale;
        match step {
            20 => return (0..proxies).filter_map(|proxy| self.join_if_absent(proxy)).collect(),
            120 => {
                let new = |k: usize| started(&name(k), k % 2, self.now - 300.0);
                listed.extend((hosts..hosts + spare).map(new));
            }
            200 | 300 => {
                let readiness = if step == 200 { Readiness::Gone } else { Readiness::Ready };
                let known = self.observer.hosts.values();
                let most = known.filter(|entry| entry.readiness != Readiness::Draining).take(hosts);
                listed.extend(most.map(|entry| with_state(entry.clone(), readiness, entry.started_at)));
            }
            _ => {}
        }
        Vec::new()
    }

    fn join_if_absent(&mut self, proxy: u32) -> Option<Event> {
        let zone = proxy as usize % 2;
        let rate = if proxy.is_multiple_of(11) { 40.0 } else { 4.0 };
        let is_absent = self.observer.joined.insert(proxy, zone).is_none();
        is_absent.then(|| join_with_rate(proxy, zone, rate))
    }

    /// Sends queued messages at the channel's speed and returns the acknowledgements that arrive. A tenth of them are
    /// lost.
    fn transmit(&mut self) -> Vec<Event> {
        self.line_credit += self.pace.channel * self.lines_per_second * 0.04;
        while let Some(message) = self.observer.queue.front().copied()
            && message.lines <= self.line_credit
        {
            self.line_credit -= message.lines;
            self.observer.queue.pop_front();
            if self.observer.joined.contains_key(&message.proxy) && self.rng.random_bool(0.9) {
                let at = self.now + self.rng.random_range(50.0..500.0);
                self.acknowledgements.push((at, acknowledged(message.ack_number, message.proxy)));
            }
        }
        if self.observer.queue.is_empty() {
            self.line_credit = 0.0;
        }
        let now = self.now;
        self.acknowledgements.extract_if(.., |(at, _)| *at <= now).map(|(_, event)| event).collect()
    }

    /// Applies the actions of a step and checks the invariants.
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::StartTimer { token, at } = action {
                assert!(token == ROUND_TIMER && *at > self.now);
                self.next_round = *at;
            }
        }
        self.observer.record(self.now, actions);
        self.observer.check(self.now);
    }
}
