//! The session of one director: it owns the module and everything that is remembered about the outside, and
//! all of it changes in `step` alone.

use crate::boundary::{Conn, Effect, Input, Link, Places, Weight};
use crate::bounds::Bounds;
use crate::calls::Calls;
use crate::counters::{Counters, Histogram};
use crate::listing::Hosts;
use crate::news::Watch;
use crate::peers::Peers;
use crate::probes::Probes;
use crate::reload::Reload;
use crate::reports::Known;
use crate::step_context::{self, StepContext};
use crate::streams;
use bytes::Bytes;
use rushcourse_director_protocol::{discovery, relay};
use rushcourse_director_settings::Names;
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, DirectorView, Event, Ms, Settings};
use rushcourse_xds::{StreamConfig, Streams};
use std::collections::BTreeMap;

/// Timers of the module that may be pending.
const TIMERS_MOST: usize = 4096;
/// ms between two lines in the log that say how it stands.
const STATUS_EVERY: Ms = 10_000.0;

/// What a session starts from.
pub struct Setup {
    pub settings: Settings,
    pub names: Names,
    pub places: Places,
    pub bounds: Bounds,
    /// Whether there is a relay: without one, proxies are reached by streams alone.
    pub relay: bool,
    /// How streams of relays and hosts are served, where they are.
    pub streams: Option<StreamConfig>,
    /// Discovery's list as last had, in its own form.
    pub known: Bytes,
}

pub struct Session {
    director: Director,
    settings: Settings,
    names: Names,
    known: Bytes,
    places: Places,
    reload: Reload,
    context: StepContext,
    calls: Calls,
    watch: Watch,
    hosts: Hosts,
    peers: Peers,
    probes: Probes,
    relay: bool,
    streams: Option<Streams>,
    /// The module's timers: when, and in what order they were set.
    timers: BTreeMap<(u64, u64), String>,
    set: u64,
    /// When the log is next told how it stands.
    status: Ms,
    started: bool,
    stopped: bool,
}

/// Whole microseconds order as times do; a time between two of them is the later one.
fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

impl Session {
    pub fn new(setup: Setup) -> Session {
        let streams = setup
            .streams
            .map(|rules| Streams::new(rules, &setup.settings, &setup.names));
        Session {
            relay: setup.relay,
            streams,
            director: Director::new(setup.settings.clone()),
            settings: setup.settings,
            names: setup.names,
            known: setup.known,
            places: setup.places,
            reload: Reload::default(),
            context: StepContext::default(),
            calls: Calls::new(setup.places.relay, setup.bounds.calls),
            watch: Watch::new(setup.places.relay),
            hosts: Hosts::new(setup.places.discovery),
            peers: Peers::new(setup.bounds),
            probes: Probes::default(),
            timers: BTreeMap::new(),
            set: 0,
            status: f64::INFINITY,
            started: false,
            stopped: false,
        }
    }

    pub fn counters(&self) -> &Counters {
        &self.context.counters
    }

    /// Current sizes and ages: name, help, value. An age is -1 where there was nothing yet.
    pub fn gauges(&self) -> Vec<(&'static str, &'static str, f64)> {
        let now = self.context.now;
        let age = |age: Option<Ms>| age.map_or(-1.0, |ms| ms / 1000.0);
        let mut gauges = vec![
            (
                "calls_waiting",
                "Calls that wait for the relay.",
                self.calls.waiting() as f64,
            ),
            (
                "events_waiting",
                "Events that wait for the next tick.",
                self.context.events.len() as f64,
            ),
            (
                "proxies_joined",
                "Proxies that are joined, as the news tell.",
                self.watch.joined() as f64,
            ),
            (
                "hosts_known",
                "Hosts that the list names.",
                self.hosts.known() as f64,
            ),
            (
                "list_revision",
                "Revision of the list.",
                self.hosts.revision() as f64,
            ),
            (
                "list_age_seconds",
                "Time since discovery last answered.",
                age(self.hosts.age(now)),
            ),
            (
                "news_age_seconds",
                "Time since the last line of news.",
                age(self.watch.age(now)),
            ),
            (
                "peers_open",
                "Connections at the director's address.",
                self.peers.count() as f64,
            ),
            (
                "collectors_joined",
                "Connections that have joined as collectors.",
                self.peers.joined() as f64,
            ),
            (
                "timers_pending",
                "Timers of the module.",
                self.timers.len() as f64,
            ),
            (
                "module_entries",
                "What the module remembers of hosts, tables, messages.",
                self.director.record_count() as f64,
            ),
        ];
        gauges.extend(self.streams.iter().flat_map(Streams::gauges));
        gauges
    }

    /// What the module holds of proxies and tables.
    pub fn view(&self) -> DirectorView {
        self.director.view()
    }

    /// Whether a connection has joined as a collector.
    pub fn has_joined(&self, conn: Conn) -> bool {
        self.peers.has_joined(conn)
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Takes what came at this time; answers what is to be done.
    pub fn step(&mut self, now: Ms, input: Input) -> Vec<Effect> {
        let back = now < self.context.now;
        self.context.must(!back, "time goes forward");
        self.context.now = now.max(self.context.now);
        if self.stopped {
            return Vec::new();
        }
        self.take(input);
        self.settle_ways();
        std::mem::take(&mut self.context.effects)
    }

    /// Proxies may change the way by which they are reached: the newest joining counts, and who has left a stream
    /// is reached by the relay if it still stands there.
    fn settle_ways(&mut self) {
        let Some(streams) = &mut self.streams else {
            return;
        };
        for proxy in std::mem::take(&mut self.context.superseded) {
            streams.supersede(self.context.now, proxy);
        }
        for proxy in streams::hand_over(streams, &mut self.context) {
            self.watch.rejoin(&mut self.context, proxy);
        }
    }

    /// What the list says has changed: streams learn where hosts are.
    fn tell_places(&mut self) {
        if let Some(streams) = &mut self.streams {
            streams.update_hosts(self.context.now, self.hosts.all());
        }
    }

    fn take(&mut self, input: Input) {
        let context = &mut self.context;
        let zones = &self.names.zones;
        match input {
            Input::Start => {
                self.started = true;
                self.status = context.now + STATUS_EVERY;
                match discovery::decode(&self.known) {
                    Ok(list) => self.hosts.held(context, &list, zones),
                    Err(e) => context.note(Weight::Warning, "known list", || {
                        format!("can't be read ({e})")
                    }),
                }
                self.known = Bytes::new();
                self.tell_places();
            }
            Input::Opened { conn, peer } => self.peers.opened(context, conn, peer),
            Input::Frame { conn, bytes } => {
                let host = |id: &str| self.hosts.listed_as(id);
                let known = Known {
                    names: &self.names,
                    settings: &self.settings,
                    host: &host,
                };
                self.peers.frame(context, conn, &bytes, &known);
            }
            Input::Http { conn } => self.peers.page(context, conn),
            Input::Closed { conn, why } => self.peers.closed(context, conn, &why),
            Input::Up {
                link: Link::Calls,
                turn,
            } => self.calls.up(context, turn),
            Input::Up {
                link: Link::News,
                turn,
            } => self.watch.up(context, turn),
            Input::Line {
                link: Link::Calls,
                turn,
                text,
            } => self.calls.line(context, turn, &text),
            Input::Line {
                link: Link::News,
                turn,
                text,
            } => {
                self.watch.line(context, turn, &text, zones);
                std::mem::take(&mut context.proved)
                    .into_iter()
                    .for_each(|mark| self.calls.proved(context, mark));
            }
            Input::Written {
                link: Link::Calls,
                turn,
            } => self.calls.written(context, turn),
            Input::Written {
                link: Link::News, ..
            } => {}
            Input::Down {
                link: Link::Calls,
                turn,
                why,
            } => self.calls.down(context, turn, &why),
            Input::Down {
                link: Link::News,
                turn,
                why,
            } => self.watch.down(context, turn, &why),
            Input::Listed { ask, body } => {
                self.hosts.listed(context, ask, &body, zones);
                self.tell_places();
            }
            Input::Stream(input) => {
                if let Some(streams) = &mut self.streams {
                    streams.step(context.now, input);
                }
            }
            Input::Unlisted { ask, why } => self.hosts.unlisted(context, ask, &why),
            Input::Probed {
                host,
                took,
                status,
                body,
            } => self.probes.done(
                context,
                &self.settings,
                host,
                took,
                status == Some(200),
                &body,
            ),
            Input::Reload => {
                self.reload.requested();
                context.ask(Effect::Reread);
            }
            Input::Reread(read) => {
                if let Some((places, rules)) = self.reload.read(context, self.places, read) {
                    self.turn_to(places);
                    self.serve_streams(rules);
                }
            }
            Input::Wake if self.started => self.advance(),
            Input::Wake => {}
            Input::Stop => {
                self.stopped = true;
                let now = context.now;
                self.streams.iter_mut().for_each(|s| s.shut_down(now));
                self.settle_ways();
                self.context.ask(Effect::Exit);
            }
        }
    }

    /// Others are at these places from now on. What stands is kept until its successor does.
    fn turn_to(&mut self, places: Places) {
        if places.relay != self.places.relay {
            self.calls.moved(places.relay);
            self.watch.moved(places.relay);
        }
        if places.discovery != self.places.discovery {
            self.hosts.moved(&mut self.context, places.discovery);
        }
        self.places = places;
    }

    /// Streams are served by these rules from now on, or not any more.
    fn serve_streams(&mut self, rules: Option<StreamConfig>) {
        let now = self.context.now;
        match (&mut self.streams, rules) {
            (Some(streams), Some(rules)) => streams.set_config(rules),
            (Some(streams), None) => {
                streams.shut_down(now);
                self.settle_ways();
                self.streams = None;
            }
            (none, Some(rules)) => *none = Some(Streams::new(rules, &self.settings, &self.names)),
            (None, None) => {}
        }
        self.tell_places();
    }

    /// Does all that is due, and asks to be woken for what comes next.
    fn advance(&mut self) {
        let now = self.context.now;
        while let Some(due) = self
            .timers
            .first_entry()
            .filter(|t| t.key().0 <= micros(now))
        {
            let token = due.remove();
            self.context.event(Event::TimerFired { token });
        }
        if now >= self.status {
            self.status = now + STATUS_EVERY;
            self.say_status();
        }
        let quantum = self.names.quantum;
        // While many calls wait, events wait too; but those that may not be dropped stay bounded as well.
        let others = !self.context.streamed.is_empty();
        let room = self.calls.has_room(others) || self.context.is_full();
        if room
            && self
                .context
                .since
                .is_some_and(|since| now >= since + quantum)
        {
            self.tick();
        }
        let streams = self.streams.as_mut().map(|s| s.advance(now));
        self.settle_ways();
        let timer = self
            .timers
            .first_key_value()
            .map(|(at, _)| at.0 as f64 / 1000.0);
        let (calls, watch) = if self.relay {
            let calls = self.calls.advance(&mut self.context, |mark| {
                self.director.may_resend(mark, now)
            });
            (calls, self.watch.advance(&mut self.context))
        } else {
            (None, None)
        };
        let due = [
            calls,
            watch,
            streams,
            self.hosts.advance(&mut self.context),
            self.peers.advance(&mut self.context),
            self.reload.advance(&mut self.context),
            // What the parts above had to tell the module waits for a quantum too.
            self.context
                .since
                .map(|since| since + quantum)
                .filter(|_| room),
            timer,
            Some(self.status),
        ];
        let next = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
        self.context.ask(Effect::Wake { at: next });
    }

    fn say_status(&mut self) {
        let (joined, revision, waiting) = (
            self.watch.joined(),
            self.hosts.revision(),
            self.calls.waiting(),
        );
        let c = &self.context.counters;
        let delay = |h: &Histogram| format!("{}/{}", h.quantile(0.5), h.quantile(0.99));
        let text = format!(
            "{joined} proxies joined, list {revision}; {} calls, {} of unknown outcome, {waiting} waiting; ms up to, \
             median/p99: input to call {}, call to answer {}; {} invariants failed",
            c.get("calls_sent"),
            c.get("calls_unknown"),
            delay(&c.tick_to_call),
            delay(&c.call_answer),
            c.get("invariant_failures"),
        );
        self.context.note(Weight::Info, "status", || text);
    }

    /// One reply of the module to all that came in the quantum.
    fn tick(&mut self) {
        let now = self.context.now;
        let born = self.context.since.take().unwrap_or(now);
        let events = std::mem::take(&mut self.context.events);
        self.context.counters.add("ticks", 1);
        self.context.counters.add("events", events.len() as u64);
        let (mut orders, mut last) = (Vec::new(), None);
        let actions = self.director.handle(now, events);
        self.streams
            .iter_mut()
            .for_each(|s| s.apply_actions(now, &actions));
        for action in actions {
            if let Some(order) = relay::order(&action, &self.names.classes) {
                orders.push(order);
            }
            match action {
                Action::RequestAck { ack_number: number } => last = Some(number),
                Action::StartTimer { token, at } => {
                    self.set += 1;
                    self.timers.insert((micros(at), self.set), token);
                    self.context
                        .must(self.timers.len() <= TIMERS_MOST, "few timers are pending");
                }
                Action::CheckHealth { host } => {
                    let address = self.hosts.address(&host);
                    self.probes
                        .want(&mut self.context, &self.settings, host, address);
                }
                Action::SubscribeToHosts => self.hosts.refresh(),
                Action::BroadcastToPeers { .. } => self.context.counters.add("tells_not_sent", 1),
                Action::Log { text } => {
                    self.context
                        .note(Weight::Info, step_context::MODULE, || text)
                }
                _ => {}
            }
        }
        // An answer to the mark proves the whole call.
        let ended = last.is_none()
            || orders
                .last()
                .is_some_and(|order| order.starts_with("mark,"));
        self.context.must(ended, "a mark ends its reply");
        // A mark alone reaches nobody.
        let reaches = orders.iter().any(|order| !order.starts_with("mark,"));
        if self.relay && reaches {
            self.calls.push(&mut self.context, orders, last, born);
        }
    }
}
