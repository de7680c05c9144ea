//! A director's session on a fake clock, with discovery, relay, collector, proxies and their streams around it.

use crate::check::{Broken, Checker, Limits};
use crate::proxy::{Relay, Streamed, Table, Way};
use crate::script::{ANEW, At, CLASSES, Happens, LASTS, Met, Phase, Reported, Script};
use bytes::Bytes;
use rushcourse_reducer::{Bounds, Conn, Effect, Input, Link, Places, Session, Setup};
use rushcourse_settings::{Names, Options};
use rushcourse_xds as xds;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const START: f64 = 1_700_000_000_000.0;
/// ms that a message takes to its proxy, and that an answer takes back.
const WAY: At = 100.0;
/// ms after which streams are opened anew at a director that came back, and the relay tells who stands.
const REOPENS: At = 50.0;
/// ms between two looks of the checker.
const LOOK: At = 100.0;
/// ms after which a stream is taken to have been silent, and for which its first report is held back then.
const SILENCE: At = 2500.0;
const BURST: At = 200.0;
const COLLECTOR: Conn = 1;

/// Which protocol the proxies of a run speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Platform,
    Whole,
    Delta,
    /// Each third proxy another one.
    Mix,
}

impl Mode {
    pub const ALL: [Mode; 4] = [Mode::Platform, Mode::Whole, Mode::Delta, Mode::Mix];

    fn way(self, proxy: usize) -> Way {
        match self {
            Mode::Platform => Way::Platform,
            Mode::Whole => Way::Whole,
            Mode::Delta => Way::Delta,
            Mode::Mix => [Way::Platform, Way::Whole, Way::Delta][proxy % 3],
        }
    }
}

/// A fault put in on purpose, to see the checker find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Proxies on streams go on with each host that they ever had.
    KeepsHosts,
    /// Tables reach proxies on streams without their hosts.
    EmptiesTables,
    /// Hosts that have just started get their full weight at once.
    FloodsColdHosts,
    /// Each response goes out twenty times.
    Babbles,
    /// All may be tried again after any failure.
    RepeatsAll,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub broken: Vec<Broken>,
    pub made: BTreeMap<&'static str, u64>,
    /// What each proxy holds, by class: after what happened, and once tables were made from nothing.
    pub tables: Tables,
    pub anew: Tables,
    /// Messages to proxies, and things that must hold in the director and did not.
    pub messages: u64,
    pub invariants: u64,
    pub steps: u64,
}

/// What proxies hold, by number and class.
pub type Tables = BTreeMap<(u32, &'static str), Option<Table>>;

enum Thing {
    Script(usize),
    WatchEnds(u64),
    Alive,
    /// The platform's tables reach proxies, as they stood then.
    Tells {
        proxies: Vec<usize>,
        tables: Rc<Relay>,
        mark: Option<u16>,
    },
    Applied {
        proxy: usize,
        mark: u16,
    },
    Response {
        stream: u64,
        response: xds::Response,
    },
    Answer {
        stream: u64,
        nonce: String,
    },
    Reopens(usize),
    Collected(Rc<Vec<Reported>>),
}

#[derive(Default)]
struct Proxy {
    joined: bool,
    stalled: bool,
    tables: Option<Rc<Relay>>,
    streamed: Streamed,
    ads: u64,
    lrs: u64,
    /// What came while it stalled.
    waiting: Vec<Thing>,
    /// A response that the transport has not taken.
    untaken: bool,
}

pub struct World<'a> {
    script: &'a Script,
    mode: Mode,
    flaw: Option<Flaw>,
    session: Session,
    now: At,
    wake: f64,
    queue: BTreeMap<(u64, u64), Thing>,
    set: u64,
    proxies: Vec<Proxy>,
    /// By stream: its proxy.
    streams: BTreeMap<u64, usize>,
    last: u64,
    relay: Relay,
    relay_stalls: bool,
    turn: u64,
    ask: u64,
    revision: u64,
    hosts: Vec<Option<(Phase, f64)>>,
    lives: u64,
    /// When reports last came.
    reported: At,
    checker: Checker,
    messages: u64,
    steps: u64,
}

/// A relay with no tables, whose proxies try again after proof.
fn relay() -> Relay {
    let mut relay = Relay::default();
    relay.base_again(1);
    relay
}

fn options(script: &Script) -> Options {
    let value = json!({
        "categories": [
            {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
            {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
        "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 16,
            "update-cap": 12, "counted-over-ms": 10000.0, "late-ms": WAY, "transit-max-ms": 500.0,
            "unserved-max-ms": 3000.0, "report-every-ms": 1000.0, "level-kind": "ratio", "base-mode": 1, "ejects": 8},
        "rules": {"drain-grace-ms": 3000.0, "start-capacity": 0.2, "cold-ms": 12000.0, "fall-multiple": 2.5,
            "overload-for-ms": 2000.0},
        "penalties": {"cross-zone": 0.12}, "reporting": {"source": "inline"}, "zones": script.zones,
        "balancers": 1, "quantum-ms": 4.0, "weight-source": "rough"});
    serde_json::from_value(value).expect("the options")
}

fn limits() -> Limits {
    Limits {
        unserved: 3000.0,
        grace: 3000.0,
        start_capacity: 0.2,
        cold: 12_000.0,
        fall_multiple: 2.5,
        overload_for: 2000.0,
        cap: 12,
        counted_over: 10_000.0,
    }
}

fn address(host: usize) -> String {
    format!("10.0.{}.{}:8000", host / 200, host % 200 + 1)
}

impl<'a> World<'a> {
    pub fn new(script: &'a Script, mode: Mode, flaw: Option<Flaw>) -> World<'a> {
        let up = |k: usize| (k < script.first).then_some((Phase::Ready, 0.0));
        let hosts: Vec<_> = (0..script.hosts.len()).map(up).collect();
        World {
            session: World::director(script, members(script, &hosts), 1),
            script,
            mode,
            flaw,
            now: 0.0,
            wake: f64::INFINITY,
            queue: BTreeMap::new(),
            set: 0,
            proxies: script.proxies.iter().map(|_| Proxy::default()).collect(),
            streams: BTreeMap::new(),
            last: 0,
            relay: relay(),
            relay_stalls: false,
            turn: 0,
            ask: 0,
            revision: 1,
            hosts,
            lives: 1,
            reported: 0.0,
            checker: Checker::new(limits()),
            messages: 0,
            steps: 0,
        }
    }

    fn director(script: &Script, members: Vec<Value>, life: u64) -> Session {
        let options = options(script);
        let at = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let names = Names::of(&options);
        Session::new(Setup {
            settings: rushcourse_settings::settings(options),
            names,
            seed: script.seed,
            places: Places { relay: at, discovery: at },
            bounds: Bounds::of(192.0, 1024),
            relay: true,
            streams: Some(xds::Rules {
                identities: xds::Identities::default(),
                epoch: life,
                limits: xds::Limits { streams: 64, strangers: 16, nodes: 0 },
                join_within: 1200.0,
                take_within: 10_000.0,
                ask_hosts: false,
            }),
            known: json!({"revision": 1, "complete": true, "members": members}).to_string().into(),
        })
    }

    /// Plays the script to its end.
    pub fn play(mut self) -> Outcome {
        for (k, (at, _)) in self.script.events.iter().enumerate() {
            self.after(*at, Thing::Script(k));
        }
        self.after(1000.0, Thing::Alive);
        self.lists_to_checker();
        self.begin();
        let (mut look, mut before) = (LOOK, None);
        while self.now < LASTS {
            let next = self.queue.first_key_value().map_or(f64::INFINITY, |(k, _)| k.0 as f64 / 1000.0);
            let wake = self.wake - START;
            self.now = next.min(wake).min(look).max(self.now);
            if self.now >= look {
                self.checker.look(self.now);
                look += LOOK;
                if look > ANEW && before.is_none() {
                    before = Some(self.all_held());
                }
                continue;
            }
            if next <= self.now {
                let (_, thing) = self.queue.pop_first().expect("a thing");
                self.happens(thing);
            } else {
                self.wake = f64::INFINITY;
                self.give(Input::Wake);
            }
            self.steps += 1;
            assert!(self.steps < 2_000_000, "it ends: seed {}", self.script.seed);
        }
        let (tables, anew) = (before.unwrap_or_default(), self.all_held());
        let Checker { broken, made, .. } = self.checker;
        let invariants = self.session.counters().get("invariant_failures");
        Outcome { broken, made, tables, anew, messages: self.messages, invariants, steps: self.steps }
    }

    fn all_held(&self) -> Tables {
        let mut tables = BTreeMap::new();
        for (k, p) in self.script.proxies.iter().enumerate() {
            for class in CLASSES {
                let held = if self.proxies[k].joined { self.held(k, class) } else { None };
                tables.insert((p.number, class), held);
            }
        }
        tables
    }

    fn after(&mut self, ms: At, thing: Thing) {
        self.set += 1;
        self.queue.insert((((self.now + ms) * 1000.0) as u64, self.set), thing);
    }

    fn lists_to_checker(&mut self) {
        for (host, listed) in self.script.hosts.iter().zip(&self.hosts) {
            if let Some((phase, up)) = listed {
                let up = if *up > 0.0 { up - START } else { f64::NEG_INFINITY };
                self.checker.listed(self.now, &host.id, *phase, up);
            }
        }
    }

    /// A director starts: collectors dial in.
    fn begin(&mut self) {
        self.give(Input::Start);
        self.give(Input::Opened { conn: COLLECTOR, peer: "collector".into() });
        let joins = json!({"@type": "collector", "az": self.script.zones[0]}).to_string();
        self.give(Input::Frame { conn: COLLECTOR, bytes: joins.into() });
    }

    /// Hands an input over and does what comes of it.
    fn give(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.session.step(START + self.now, input) {
                self.carry_out(effect, &mut inputs);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::Connect { link, turn, .. } => {
                if link == Link::News {
                    self.turn = turn;
                }
                inputs.extend([Input::Up { link, turn }, Input::Wake]);
            }
            Effect::Send { link: Link::News, turn, .. } => {
                inputs.push_back(Input::Line { link: Link::News, turn, text: "OK".into() });
                inputs.push_back(Input::Wake);
            }
            Effect::Send { link: Link::Calls, turn, text } if !self.relay_stalls => {
                let orders = text.trim_end().trim_start_matches("APPLY ").to_string();
                self.call(&orders);
                let text = format!("OK {}", orders.split(';').count());
                inputs.extend([Input::Line { link: Link::Calls, turn, text }, Input::Wake]);
            }
            Effect::List { ask, path, .. } => {
                self.ask = ask;
                if path.contains('?') {
                    self.after(3900.0, Thing::WatchEnds(ask));
                } else {
                    let members = members(self.script, &self.hosts);
                    let body = json!({"revision": self.revision, "complete": true, "members": members});
                    inputs.extend([Input::Listed { ask, body: body.to_string().into() }, Input::Wake]);
                }
            }
            Effect::Wake { at } => self.wake = at,
            Effect::Stream(xds::Effect::Respond { stream, response }) => {
                self.respond(stream, response, inputs)
            }
            Effect::Stream(xds::Effect::End { stream, .. }) => {
                // Its relay opens another one a little later.
                if let Some(k) = self.streams.remove(&stream)
                    && self.proxies[k].joined
                    && (self.proxies[k].ads == stream || self.proxies[k].lrs == stream)
                {
                    self.after(300.0, Thing::Reopens(k));
                }
            }
            _ => {}
        }
    }

    /// The platform's relay carries a call out: all that it has for a proxy is one message.
    fn call(&mut self, orders: &str) {
        let (reached, mark) = self.relay.apply(orders, &CLASSES);
        let index = |number: &u32| self.script.proxies.iter().position(|p| p.number == *number);
        let proxies: Vec<usize> =
            reached.iter().filter_map(index).filter(|k| self.proxies[*k].joined).collect();
        for k in &proxies {
            self.messages += 1;
            self.checker.message(self.now, self.script.proxies[*k].number);
        }
        if !proxies.is_empty() {
            let tables = Rc::new(self.relay.clone());
            self.after(WAY, Thing::Tells { proxies, tables, mark });
        }
    }

    fn respond(&mut self, stream: u64, mut response: xds::Response, inputs: &mut VecDeque<Input>) {
        let Some(k) = self.streams.get(&stream).copied() else { return };
        if matches!(response, xds::Response::Load { .. }) {
            return;
        }
        self.spoil(&mut response);
        let number = self.script.proxies[k].number;
        let times = if self.flaw == Some(Flaw::Babbles) { 20 } else { 1 };
        for _ in 0..times {
            self.messages += 1;
            self.checker.message(self.now, number);
        }
        if self.proxies[k].stalled {
            self.proxies[k].untaken = true;
            self.proxies[k].waiting.push(Thing::Response { stream, response });
        } else {
            inputs.extend([Input::Stream(xds::Input::Taken { stream }), Input::Wake]);
            self.after(WAY, Thing::Response { stream, response });
        }
    }

    /// Puts the flaw of this run into a response.
    fn spoil(&self, response: &mut xds::Response) {
        let (xds::Response::Whole { resources, .. } | xds::Response::Delta { resources, .. }) = response
        else {
            return;
        };
        for r in resources {
            let mut table = (*r.table).clone();
            for e in table.localities.iter_mut().flat_map(|l| l.endpoints.iter_mut()) {
                match self.flaw {
                    Some(Flaw::KeepsHosts) => e.draining = false,
                    Some(Flaw::FloodsColdHosts) if e.weight < 9000 => e.weight = 60_000,
                    _ => {}
                }
            }
            match self.flaw {
                Some(Flaw::EmptiesTables) => table.localities.clear(),
                Some(Flaw::RepeatsAll) => table.again = rushcourse_core::interface::Again::TwiceAfterAny,
                _ => {}
            }
            r.table = table.into();
        }
    }

    fn held(&self, k: usize, class: &str) -> Option<Table> {
        match self.mode.way(k) {
            Way::Platform => self.proxies[k].tables.as_ref()?.table(self.script.proxies[k].number, class),
            _ => self.proxies[k].streamed.table(class),
        }
    }

    /// A proxy holds something else now.
    fn holds(&mut self, k: usize) {
        for class in CLASSES {
            if let Some(table) = self.held(k, class) {
                self.checker.holds(self.script.proxies[k].number, class, table);
            }
        }
    }

    fn happens(&mut self, thing: Thing) {
        match thing {
            Thing::Script(k) => {
                let event = self.script.events[k].1.clone();
                self.play_event(event);
            }
            Thing::WatchEnds(ask) if ask == self.ask => {
                let body = json!({"revision": self.revision, "complete": false, "members": []}).to_string();
                self.give(Input::Listed { ask, body: body.into() });
            }
            Thing::WatchEnds(_) => {}
            Thing::Alive => {
                self.news("*".into());
                self.after(1000.0, Thing::Alive);
            }
            Thing::Tells { proxies, tables, mark } => {
                for k in proxies {
                    if !self.proxies[k].joined {
                        continue;
                    }
                    if self.proxies[k].stalled {
                        let thing = Thing::Tells { proxies: vec![k], tables: tables.clone(), mark };
                        self.proxies[k].waiting.push(thing);
                        continue;
                    }
                    self.proxies[k].tables = Some(tables.clone());
                    self.holds(k);
                    if let Some(mark) = mark {
                        self.after(WAY, Thing::Applied { proxy: k, mark });
                    }
                }
            }
            Thing::Applied { proxy, mark } => {
                if self.proxies[proxy].joined {
                    let number = self.script.proxies[proxy].number;
                    self.news(format!("* applied {number} {mark} {}", 2.0 * WAY));
                }
            }
            Thing::Response { stream, response } => {
                let Some(k) = self.streams.get(&stream).copied() else { return };
                if self.proxies[k].stalled {
                    return self.proxies[k].waiting.push(Thing::Response { stream, response });
                }
                let before = self.proxies[k].streamed.tables.clone();
                self.proxies[k].streamed.take(&response);
                if self.flaw == Some(Flaw::KeepsHosts) {
                    self.proxies[k].streamed.keep(&before);
                }
                self.holds(k);
                if let xds::Response::Whole { nonce, .. } | xds::Response::Delta { nonce, .. } = response {
                    self.after(WAY, Thing::Answer { stream, nonce });
                }
            }
            Thing::Answer { stream, nonce } => {
                let Some(k) = self.streams.get(&stream).copied() else { return };
                let said = self.request(k, nonce, false);
                self.give(Input::Stream(xds::Input::Said { stream, said }));
            }
            Thing::Reopens(k) => {
                if self.proxies[k].joined && self.mode.way(k) == Way::Platform {
                    self.news(joined(self.script, &self.script.proxies[k], false));
                } else if self.proxies[k].joined && !self.proxies[k].stalled {
                    self.open(k);
                }
            }
            Thing::Collected(all) => self.collected(&all),
        }
    }

    fn news(&mut self, text: String) {
        let turn = self.turn;
        self.give(Input::Line { link: Link::News, turn, text });
    }

    /// A request of a proxy's discovery stream.
    fn request(&self, k: usize, nonce: String, first: bool) -> xds::Said {
        let p = &self.script.proxies[k];
        let node = first.then(|| xds::Node {
            id: format!("relay-{}", p.number),
            zone: self.script.zones[p.zone].clone(),
            rate: Some(p.rate),
        });
        let names: Vec<String> = CLASSES.map(String::from).to_vec();
        let type_url = xds::TABLE_TYPE.to_string();
        let held = &self.proxies[k].streamed;
        if self.mode.way(k) == Way::Whole {
            let version = held.version.clone();
            return xds::Said::Whole(xds::Ask { node, type_url, names, version, nonce, error: None });
        }
        xds::Said::Delta(xds::DeltaAsk {
            node,
            type_url,
            subscribe: if first { names } else { Vec::new() },
            initial: if first { held.versions.clone() } else { BTreeMap::new() },
            nonce,
            ..xds::DeltaAsk::default()
        })
    }

    /// A proxy opens its streams.
    fn open(&mut self, k: usize) {
        let way = self.mode.way(k);
        let service = if way == Way::Whole { xds::Service::Whole } else { xds::Service::Delta };
        let connection = 1 + k as u64;
        let old = [self.proxies[k].ads, self.proxies[k].lrs];
        old.iter().for_each(|stream| _ = self.streams.remove(stream));
        let (ads, lrs) = (self.last + 1, self.last + 2);
        self.last += 2;
        (self.proxies[k].ads, self.proxies[k].lrs) = (ads, lrs);
        self.streams.extend([(ads, k), (lrs, k)]);
        for (stream, service) in [(ads, service), (lrs, xds::Service::Load)] {
            let peer = format!("proxy {k}");
            self.give(Input::Stream(xds::Input::Opened { stream, connection, service, peer }));
        }
        let first = self.request(k, String::new(), true);
        self.give(Input::Stream(xds::Input::Said { stream: ads, said: first }));
        let node = match self.request(k, String::new(), true) {
            xds::Said::Whole(ask) => ask.node,
            xds::Said::Delta(ask) => ask.node,
            xds::Said::Load(stats) => stats.node,
        };
        let said = xds::Said::Load(xds::LoadStats { node, clusters: Vec::new() });
        self.give(Input::Stream(xds::Input::Said { stream: lrs, said }));
    }

    fn play_event(&mut self, event: Happens) {
        match event {
            Happens::Joins(k) => {
                let p = self.script.proxies[k];
                self.checker.joined(self.now, p.number, p.rate);
                self.proxies[k] =
                    Proxy { joined: true, stalled: self.proxies[k].stalled, ..Proxy::default() };
                if self.mode.way(k) == Way::Platform {
                    self.news(joined(self.script, &p, true));
                } else {
                    self.open(k);
                }
            }
            Happens::Leaves(k) => {
                let number = self.script.proxies[k].number;
                self.checker.left(number);
                self.proxies[k].joined = false;
                self.proxies[k].waiting.clear();
                if self.mode.way(k) == Way::Platform {
                    self.relay.forget(number);
                    self.news(format!("* left {number}"));
                } else {
                    for stream in [self.proxies[k].ads, self.proxies[k].lrs] {
                        self.streams.remove(&stream);
                        self.give(Input::Stream(xds::Input::Closed { stream, why: String::new() }));
                    }
                }
            }
            Happens::Lists { host, phase, cold } => {
                let up = match (cold, self.hosts[host]) {
                    (true, _) => START + self.now,
                    (false, Some((_, up))) => up,
                    (false, None) => 0.0,
                };
                self.hosts[host] = Some((phase, up));
                self.lists_to_checker();
                self.revision += 1;
                let changed = member(self.script, host, phase, up);
                let body = json!({"revision": self.revision, "complete": false, "members": [changed]});
                let ask = self.ask;
                self.give(Input::Listed { ask, body: body.to_string().into() });
            }
            Happens::Stalls(k) => self.stall(k, true),
            Happens::Resumes(k) => self.stall(k, false),
            Happens::RelayStalls | Happens::RelayResumes => {
                self.relay_stalls = event == Happens::RelayStalls;
                for k in 0..self.proxies.len() {
                    if self.mode.way(k) == Way::Platform && !self.proxies[k].stalled {
                        self.checker.stalled(self.now, self.script.proxies[k].number, self.relay_stalls);
                    }
                }
            }
            Happens::Restarts => self.restart(),
            Happens::Reports(all) => self.reports(all),
        }
    }

    fn stall(&mut self, k: usize, stalls: bool) {
        self.proxies[k].stalled = stalls;
        self.checker.stalled(self.now, self.script.proxies[k].number, stalls);
        if stalls {
            return;
        }
        if std::mem::take(&mut self.proxies[k].untaken) {
            let stream = self.proxies[k].ads;
            self.give(Input::Stream(xds::Input::Taken { stream }));
        }
        for thing in std::mem::take(&mut self.proxies[k].waiting) {
            self.after(0.0, thing);
        }
        if self.mode.way(k) != Way::Platform && !self.streams.contains_key(&self.proxies[k].ads) {
            self.after(0.0, Thing::Reopens(k));
        }
    }

    /// The director dies and comes back with the list that it had: streams are opened anew, and the relay tells who
    /// stands. What was on its way from the old one is lost with it.
    fn restart(&mut self) {
        self.lives += 1;
        self.session = World::director(self.script, members(self.script, &self.hosts), self.lives);
        self.streams.clear();
        // What the relay kept of the old one's tables went with it; proxies hold what they had.
        self.relay = relay();
        self.wake = f64::INFINITY;
        self.checker.restarted(self.now);
        self.queue
            .retain(|_, t| !matches!(t, Thing::WatchEnds(_) | Thing::Answer { .. } | Thing::Response { .. }));
        self.begin();
        for k in 0..self.proxies.len() {
            if self.proxies[k].joined {
                self.proxies[k].waiting.clear();
                self.proxies[k].untaken = false;
                self.after(REOPENS, Thing::Reopens(k));
            }
        }
    }

    /// Each second's reports: proxies on streams by themselves, the others through the collector. After a silence a
    /// stream's report is believed a little later, as it may be one of a burst of old ones; the collector speaks as
    /// much later then, so that the same is known at the same time.
    fn reports(&mut self, all: Vec<Reported>) {
        let late = if self.now - self.reported > SILENCE { BURST } else { 0.0 };
        self.reported = self.now;
        let all = Rc::new(all);
        self.after(late, Thing::Collected(all.clone()));
        for (k, met, usage) in all.iter() {
            if self.proxies[*k].joined && self.mode.way(*k) != Way::Platform {
                self.load(*k, met, usage);
            }
        }
    }

    fn collected(&mut self, all: &[Reported]) {
        let mut heard: BTreeMap<(usize, usize), (u64, u64, f64)> = BTreeMap::new();
        for (k, met, usage) in all {
            if !self.proxies[*k].joined || self.mode.way(*k) != Way::Platform {
                continue;
            }
            let p = self.script.proxies[*k];
            for m in met {
                let sum = heard.entry((p.zone, m.host)).or_default();
                sum.0 += m.tries;
                sum.1 += m.failed;
                sum.2 += m.mean * (m.tries - m.failed) as f64;
            }
            for (class, (n, bad)) in CLASSES.iter().zip(usage) {
                let text = json!({"@type": "usage", "sidecar": p.number, "kind": class, "n": n, "bad": bad,
                    "window": 1000.0});
                self.give(Input::Frame { conn: COLLECTOR, bytes: Bytes::from(text.to_string()) });
            }
        }
        for ((zone, host), (n, bad, time)) in heard {
            let mut text = json!({"@type": "heard", "az": self.script.zones[zone],
                "host": self.script.hosts[host].id, "n": n, "bad": bad, "window": 1000.0});
            if n > bad {
                text["avg"] = json!(time / (n - bad) as f64);
            }
            self.give(Input::Frame { conn: COLLECTOR, bytes: Bytes::from(text.to_string()) });
        }
    }

    fn load(&mut self, k: usize, met: &[Met], usage: &[(u64, u64); 2]) {
        let host = |m: &Met| xds::HostLoad {
            address: address(m.host),
            issued: m.tries,
            errors: m.failed,
            in_progress: 0,
            metrics: [("latency_ms".to_string(), (m.tries - m.failed, m.mean * (m.tries - m.failed) as f64))]
                .into(),
        };
        let cluster = |(c, (n, bad)): (usize, &(u64, u64))| xds::ClusterLoad {
            cluster: CLASSES[c].into(),
            interval: Some(1000.0),
            successes: n - bad,
            errors: *bad,
            hosts: if c == 0 { met.iter().map(host).collect() } else { Vec::new() },
        };
        let clusters = usage.iter().enumerate().map(cluster).collect();
        let said = xds::Said::Load(xds::LoadStats { node: None, clusters });
        let stream = self.proxies[k].lrs;
        self.give(Input::Stream(xds::Input::Said { stream, said }));
    }
}

fn joined(script: &Script, p: &crate::script::Proxy, fresh: bool) -> String {
    format!("* joined {} {} {} {}", p.number, script.zones[p.zone], p.rate, u8::from(fresh))
}

fn member(script: &Script, host: usize, phase: Phase, up: f64) -> Value {
    let h = &script.hosts[host];
    json!({"id": h.id, "host_port": address(host), "locality": script.zones[h.zone], "flavor": "m", "cell": 0,
        "phase": format!("{phase:?}"), "size": 1.0, "up_since_ms": up})
}

fn members(script: &Script, hosts: &[Option<(Phase, f64)>]) -> Vec<Value> {
    let listed = hosts.iter().enumerate().filter_map(|(k, h)| h.map(|(phase, up)| (k, phase, up)));
    listed
        .filter(|(_, phase, _)| *phase != Phase::Gone)
        .map(|(k, phase, up)| member(script, k, phase, up))
        .collect()
}
