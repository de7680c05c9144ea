//! Random events for two directors of the same settings, and the channel between them and their proxies.

use crate::common::{
    ROUND_TIMER, acknowledged, cached_list, delta, host, host_report, join_with_rate, left, round_timer,
    started, traffic, with_state,
};
use crate::observer::Observer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, HostEntry, Ms, Readiness, Settings};

/// Time between two steps.
const STEP: Ms = 40.0;

/// How large a fleet is played, and whether it grows and its list is wrong for a while.
#[derive(Clone, Copy)]
pub struct Scale {
    pub hosts: usize,
    /// Hosts that may start later.
    pub spare: usize,
    pub proxies: u32,
    pub steps: usize,
    pub grows: bool,
}

/// How fast things go.
#[derive(Clone, Copy)]
pub struct Pace {
    /// What the channel carries, as a part of what its settings say.
    pub channel: f64,
    /// Of a hundred steps, those in which a host changes; twice as many in which a proxy joins or leaves.
    pub changes: i32,
}

/// Plays random events; answers the actions of each batch.
pub fn play(scale: Scale, seed: u64, settings: Settings, pace: Pace) -> Vec<Vec<Action>> {
    let mut play = RandomPlay::new(scale, seed, settings.clone(), pace);
    let (mut director, mut twin) = (Director::new(settings.clone()), Director::new(settings));
    let mut batches = Vec::new();
    for step in 0..scale.steps {
        let events = play.step(step);
        if events.is_empty() {
            continue;
        }
        let actions = director.handle(play.now, events.clone());
        assert_eq!(actions, twin.handle(play.now, events), "the same events, other actions");
        play.take(&actions);
        batches.push(actions);
    }
    batches
}

struct RandomPlay {
    scale: Scale,
    pace: Pace,
    lines_per_second: f64,
    rng: ChaCha8Rng,
    now: Ms,
    next_round: Ms,
    first_list: Vec<HostEntry>,
    observer: Observer,
    /// Lines that the channel has carried beyond the messages that have left.
    carried: f64,
    /// Acknowledgements that are on their way, and when they arrive.
    acknowledgements: Vec<(Ms, Event)>,
}

fn name(host: usize) -> String {
    format!("h{host:02}")
}

impl RandomPlay {
    fn new(scale: Scale, seed: u64, settings: Settings, pace: Pace) -> RandomPlay {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut first_list: Vec<HostEntry> = (0..scale.hosts).map(|k| host(&name(k), k % 2)).collect();
        first_list.iter_mut().for_each(|entry| entry.weight = rng.random_range(0.5..2.0));
        RandomPlay {
            scale,
            pace,
            lines_per_second: settings.channel.lines_per_second,
            rng,
            now: 500.0,
            next_round: 0.0,
            first_list,
            observer: Observer::new(settings),
            carried: 0.0,
            acknowledgements: Vec::new(),
        }
    }

    /// The events of the next step.
    fn step(&mut self, step: usize) -> Vec<Event> {
        self.now += STEP;
        let mut events = Vec::new();
        let mut listed = if step == 0 { self.first_list.clone() } else { Vec::new() };
        if self.now >= self.next_round {
            events.push(round_timer());
        }
        let changes = self.pace.changes;
        match self.rng.random_range(0..100) {
            draw if draw < changes => listed.push(self.changed_host()),
            draw if draw < 3 * changes => events.push(self.join_or_leave()),
            12..40 => events.extend(self.report()),
            _ => {}
        }
        if self.scale.grows {
            events.extend(self.growth(step, &mut listed));
        }
        if !listed.is_empty() {
            self.observer.list(self.now, &listed);
            events.push(if step == 0 { cached_list(&listed) } else { delta(&listed) });
        }
        events.extend(self.carry());
        events
    }

    /// A host restarts, or drains or ends while enough others are ready.
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
            let is_its =
                |event: &Event| matches!(event, Event::Acknowledged { proxy: of, .. } if *of == proxy);
            self.acknowledgements.retain(|(_, event)| !is_its(event));
            return left(proxy);
        }
        let zone = self.rng.random_range(0..2);
        self.observer.joined.insert(proxy, zone);
        let is_fresh = self.rng.random();
        Event::ProxyJoined { proxy, zone, rate: 4.0, is_fresh, channel: Channel::Shared }
    }

    /// What proxies of a zone observed at a host, and what came to one of them.
    fn report(&mut self) -> [Event; 2] {
        let name = name(self.rng.random_range(0..self.scale.hosts + self.scale.spare));
        let attempts = f64::from(self.rng.random_range(1..12));
        let failed = if self.rng.random_bool(0.3) { attempts } else { 0.0 };
        let (zone, latency) = (self.rng.random_range(0..2), self.rng.random_range(50.0..1500.0));
        [host_report(zone, &name, attempts, failed, latency), traffic(0, 0, attempts)]
    }

    /// All proxies join and the fleet doubles; later most of it is called gone for a while, and is back with the starts
    /// it had.
    fn growth(&mut self, step: usize, listed: &mut Vec<HostEntry>) -> Vec<Event> {
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

    /// The channel sends at its pace, and acknowledgements arrive; a tenth of them never come.
    fn carry(&mut self) -> Vec<Event> {
        self.carried += self.pace.channel * self.lines_per_second * 0.04;
        while let Some(message) = self.observer.queue.front().copied()
            && message.lines <= self.carried
        {
            self.carried -= message.lines;
            self.observer.queue.pop_front();
            if self.observer.joined.contains_key(&message.proxy) && self.rng.random_bool(0.9) {
                let at = self.now + self.rng.random_range(50.0..500.0);
                self.acknowledgements.push((at, acknowledged(message.ack_number, message.proxy)));
            }
        }
        if self.observer.queue.is_empty() {
            self.carried = 0.0;
        }
        let now = self.now;
        self.acknowledgements.extract_if(.., |(at, _)| *at <= now).map(|(_, event)| event).collect()
    }

    /// Takes what came of a step.
    fn take(&mut self, actions: &[Action]) {
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
