//! A session on a fake clock, with a relay and a discovery that do as they are told.
#![allow(dead_code)]

use bytes::Bytes;
use rushcourse_director_protocol::relay;
use rushcourse_director_settings::{Names, Options};
use rushcourse_director_state::{Bounds, Effect, Input, Link, Places, Reread, Session, Setup};
use std::collections::VecDeque;
use std::net::SocketAddr;

pub const START: f64 = 1_700_000_000_000.0;

/// Where relay and discovery are: the first places, the second, and so on.
pub fn places(n: u16) -> Places {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port + n));
    Places {
        relay: at(7000),
        discovery: at(8000),
    }
}

pub fn options() -> Options {
    let text = r#"{
      "categories": [
        {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
        {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
      "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 8,
        "update-cap": 12, "counted-over-ms": 10000.0, "late-ms": 200.0, "transit-max-ms": 500.0,
        "unserved-max-ms": 7000.0, "report-every-ms": 1000.0, "level-kind": "ratio", "zonal": true},
      "rules": {"drain-grace-ms": 3000.0, "start-capacity": 0.2, "cold-ms": 12000.0, "fall-multiple": 2.5,
        "overload-for-ms": 2000.0},
      "caps": {"may-probe": true},
      "penalties": {"cross-zone": 0.12},
      "reporting": {"source": "inline"},
      "zones": ["east", "west"], "my-zone": 0, "balancers": 2, "quantum-ms": 4.0, "weight-source": "rough"}"#;
    serde_json::from_str(text).expect("the options")
}

/// A member of discovery's list.
pub fn member(id: &str, zone: &str, phase: &str, up: f64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"127.0.0.1:8100","locality":"{zone}","flavor":"m","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":{up}}}"#
    )
}

pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}

/// Two hosts a zone.
pub fn fleet() -> Vec<String> {
    let all = [
        ("a1", "east"),
        ("a2", "east"),
        ("b1", "west"),
        ("b2", "west"),
    ];
    all.map(|(id, zone)| member(id, zone, "Ready", 0.0))
        .to_vec()
}

/// What the relay does with the next call.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Take,
    Say(String),
    /// Breaks the connection after the call.
    Break,
    /// Says nothing.
    Silence,
}

pub struct Stand {
    pub session: Session,
    pub now: f64,
    wake: f64,
    /// Connections come up at once; without, they stay in the making.
    pub relay_up: bool,
    pub discovery_up: bool,
    /// For the calls to come; after those, each is taken.
    pub plan: VecDeque<Do>,
    pub calls: Vec<String>,
    pub outstanding: bool,
    /// What stands, told after `WATCH`.
    pub standing: Vec<String>,
    pub list: String,
    pub turns: [u64; 2],
    pub connects: [usize; 2],
    pub drops: [usize; 2],
    pub asks: Vec<(u64, String)>,
    pub logs: Vec<String>,
    pub written: Vec<(u64, Bytes)>,
    pub closed: Vec<u64>,
    /// Connections that were closed with a last word.
    pub refused: Vec<u64>,
    pub probes: Vec<String>,
    /// What the configuration says when it is read again.
    pub file: Result<Places, String>,
    /// By link: where each connection by its turn goes to; and where lists were asked for.
    pub went: Vec<(Link, u64, SocketAddr)>,
    pub asked_at: Vec<SocketAddr>,
    pub exit: bool,
    /// How streams are served, as the file says when it is read again.
    pub rules: Option<rushcourse_xds::StreamConfig>,
    /// What is to be done with streams.
    pub streamed: Vec<rushcourse_xds::Effect>,
}

/// How streams are served in these tests.
pub fn rules() -> rushcourse_xds::StreamConfig {
    rushcourse_xds::StreamConfig {
        identities: rushcourse_xds::NodeIdentities::default(),
        incarnation: 1,
        limits: rushcourse_xds::StreamLimits {
            max_streams: 16,
            max_unidentified: 4,
            max_report_streams: 0,
        },
        join_timeout: 1200.0,
        accept_timeout: 10_000.0,
        request_host_reports: false,
    }
}

impl Stand {
    pub fn with(options: Options) -> Stand {
        Stand::serving(options, None)
    }

    pub fn serving(options: Options, streams: Option<rushcourse_xds::StreamConfig>) -> Stand {
        let names = Names::of(&options);
        let known: Bytes = list(5, true, &fleet()).into();
        let setup = Setup {
            names,
            settings: rushcourse_director_settings::settings(options),
            places: places(0),
            bounds: Bounds::of(32.0, 256),
            relay: true,
            streams,
            known,
        };
        Stand {
            session: Session::new(setup),
            now: START,
            wake: f64::INFINITY,
            relay_up: true,
            discovery_up: true,
            plan: VecDeque::new(),
            calls: Vec::new(),
            outstanding: false,
            standing: Vec::new(),
            list: list(5, true, &fleet()),
            turns: [0; 2],
            connects: [0; 2],
            drops: [0; 2],
            asks: Vec::new(),
            logs: Vec::new(),
            written: Vec::new(),
            closed: Vec::new(),
            refused: Vec::new(),
            probes: Vec::new(),
            file: Ok(places(0)),
            went: Vec::new(),
            asked_at: Vec::new(),
            exit: false,
            streamed: Vec::new(),
            rules: None,
        }
    }

    pub fn new() -> Stand {
        Stand::with(options())
    }

    /// Started, and a second old.
    pub fn started() -> Stand {
        let mut stand = Stand::new();
        stand.start();
        stand
    }

    pub fn start(&mut self) {
        self.give(Input::Start);
        self.pass(1000.0);
    }

    /// A proxy of each zone joined, bound, and their answers are in.
    pub fn usual() -> Stand {
        let mut stand = Stand::started();
        stand.standing = vec![
            "* joined 1 east 5.0 1".into(),
            "* joined 2 west 5.0 1".into(),
        ];
        let standing = stand.standing.clone();
        standing.iter().for_each(|line| stand.news(line));
        stand.pass(300.0);
        stand.applied(&[1, 2]);
        stand.pass(300.0);
        stand
    }

    /// Hands an input over and does what comes of it.
    pub fn give(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        loop {
            while let Some(input) = inputs.pop_front() {
                let effects = self.session.step(self.now, input);
                self.carry_out(effects, &mut inputs);
            }
            let effects = self.session.step(self.now, Input::Wake);
            self.carry_out(effects, &mut inputs);
            if inputs.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>, inputs: &mut VecDeque<Input>) {
        for effect in effects {
            match effect {
                Effect::Write { conn, bytes } => self.written.push((conn, bytes)),
                Effect::Close { conn, last } => {
                    self.closed.push(conn);
                    self.refused.extend(last.map(|_| conn));
                }
                Effect::Connect { link, turn, to } => {
                    self.went.push((link, turn, to));
                    self.turns[link as usize] = turn;
                    self.connects[link as usize] += 1;
                    if link == Link::Calls {
                        self.outstanding = false;
                    }
                    if self.relay_up {
                        inputs.push_back(Input::Up { link, turn });
                    }
                }
                Effect::Send {
                    link: Link::News,
                    turn,
                    text,
                } => {
                    assert_eq!(text, relay::WATCH);
                    if self.relay_up {
                        let line = |text: String| Input::Line {
                            link: Link::News,
                            turn,
                            text,
                        };
                        inputs.push_back(line("OK".into()));
                        inputs.extend(self.standing.iter().cloned().map(line));
                    }
                }
                Effect::Send {
                    link: Link::Calls,
                    turn,
                    text,
                } => {
                    assert!(!self.outstanding, "one call is in flight");
                    assert!(text.ends_with("\r\n") && text.len() <= relay::ORDERS_MOST + 8);
                    let text = text
                        .trim_end()
                        .strip_prefix("APPLY ")
                        .expect("a call")
                        .to_string();
                    let taken = format!("OK {}", text.split(';').count());
                    self.calls.push(text);
                    self.outstanding = true;
                    let link = Link::Calls;
                    match self.plan.pop_front().unwrap_or(Do::Take) {
                        Do::Take => inputs.push_back(Input::Line {
                            link,
                            turn,
                            text: taken,
                        }),
                        Do::Say(text) => inputs.push_back(Input::Line { link, turn, text }),
                        Do::Break => inputs.push_back(Input::Down {
                            link,
                            turn,
                            why: "reset".into(),
                        }),
                        Do::Silence => continue,
                    }
                    self.outstanding = false;
                }
                Effect::Drop { link, turn } => {
                    assert!(
                        self.went.iter().any(|w| (w.0, w.1) == (link, turn)),
                        "what was connected is dropped"
                    );
                    let last = turn == self.turns[link as usize];
                    assert!(
                        last || link == Link::News,
                        "only news are kept beside their successor"
                    );
                    self.drops[link as usize] += 1;
                    if link == Link::Calls {
                        self.outstanding = false;
                    }
                }
                Effect::List {
                    ask,
                    at,
                    path,
                    within,
                } => {
                    self.asked_at.push(at);
                    assert!(
                        within > 0.0 && within < 10_000.0,
                        "a deadline on every call"
                    );
                    self.asks.push((ask, path.clone()));
                    if self.discovery_up && !path.contains('?') {
                        inputs.push_back(Input::Listed {
                            ask,
                            body: self.list.clone().into(),
                        });
                    }
                }
                Effect::Probe { host, .. } => self.probes.push(host.to_string()),
                Effect::Wake { at } => self.wake = at,
                Effect::Log { text, .. } => self.logs.push(text),
                Effect::Reread => {
                    let read = self.file.clone().map(|places| Reread {
                        places,
                        streams: self.rules.clone(),
                        left: Vec::new(),
                    });
                    inputs.push_back(Input::Reread(read));
                }
                Effect::Stream(effect) => self.streamed.push(effect),
                Effect::Exit => self.exit = true,
            }
        }
    }

    /// Lets time pass; the session is woken when it asked for it.
    pub fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        let mut steps = 0;
        while self.wake <= end {
            self.now = self.now.max(self.wake);
            self.wake = f64::INFINITY;
            self.give(Input::Wake);
            steps += 1;
            assert!(steps < 200_000, "it does not wake itself without end");
        }
        self.now = end;
        self.give(Input::Wake);
    }

    pub fn news(&mut self, line: &str) {
        let turn = self.turns[Link::News as usize];
        self.give(Input::Line {
            link: Link::News,
            turn,
            text: line.into(),
        });
    }

    pub fn down(&mut self, link: Link) {
        let turn = self.turns[link as usize];
        self.give(Input::Down {
            link,
            turn,
            why: "reset".into(),
        });
    }

    pub fn answer(&mut self, text: &str) {
        let (link, turn) = (Link::Calls, self.turns[Link::Calls as usize]);
        self.outstanding = false;
        self.give(Input::Line {
            link,
            turn,
            text: text.into(),
        });
    }

    /// The number of the last mark sent.
    pub fn mark(&self) -> u16 {
        let orders = self.calls.iter().flat_map(|c| c.split(';'));
        let marks = orders.filter_map(|o| o.strip_prefix("mark,")?.split(',').next()?.parse().ok());
        marks.fold(None, |_, m| Some(m)).expect("a mark was sent")
    }

    pub fn applied(&mut self, proxies: &[u32]) {
        let mark = self.mark();
        proxies
            .iter()
            .for_each(|p| self.news(&format!("* applied {p} {mark} 250.0")));
    }

    /// Discovery answers the watch that is open.
    pub fn change(&mut self, revision: u64, members: &[String]) {
        let ask = self.asks.last().expect("an ask").0;
        self.give(Input::Listed {
            ask,
            body: list(revision, false, members).into(),
        });
    }

    pub fn drain(&mut self, revision: u64, id: &str, zone: &str) {
        self.change(revision, &[member(id, zone, "Terminating", 0.0)]);
    }

    pub fn count(&self, name: &str) -> u64 {
        self.session.counters().get(name)
    }

    pub fn gauge(&self, name: &str) -> f64 {
        self.session
            .gauges()
            .iter()
            .find(|g| g.0 == name)
            .expect("a gauge")
            .2
    }

    /// Orders in calls from the `from`th on.
    pub fn orders(&self, from: usize) -> Vec<String> {
        self.calls[from..]
            .iter()
            .flat_map(|c| c.split(';'))
            .map(str::to_string)
            .collect()
    }
}
