//! The same events give the same actions through both fronts: one script goes through this adapter's wire and
//! through the protocol's codecs with the session of the real director, and the orders are compared.

use bytes::Bytes;
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{
    Effect, FetchId, InboundId, Input, ProcessLimits, RelayConnectionId, RelayLink,
    ServiceAddresses, Session, SessionConfig,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const START: f64 = 1_700_000_000_000.0;
const QUANTUM: f64 = 4.0;

fn options() -> Value {
    json!({
        "categories": [
            {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
            {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
        "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 8,
            "update-cap": 12, "counted-over-ms": 10000.0, "late-ms": 200.0, "transit-max-ms": 500.0,
            "unserved-max-ms": 7000.0, "report-every-ms": 1000.0, "level-kind": "ratio", "zonal": true,
            "base-mode": 1, "ejects": 8},
        "rules": {"drain-grace-ms": 3000.0, "start-capacity": 0.2, "cold-ms": 12000.0, "fall-multiple": 2.5,
            "overload-for-ms": 2000.0},
        "penalties": {"cross-zone": 0.12},
        "reporting": {"source": "inline"},
        "zones": ["east", "west"], "my-zone": 0, "balancers": 2, "quantum-ms": QUANTUM, "weight-source": "rough"
    })
}

/// One event, in the words of neither front.
#[derive(Clone)]
enum Happens {
    Joined(u32, usize, f64),
    Left(u32),
    /// The last mark is answered.
    Applied(u32),
    Heard(usize, &'static str, f64, f64, f64),
    Usage(u32, usize, f64, f64),
    /// Host, zone, phase, age of its start (0: long ago).
    Listed(&'static str, usize, &'static str, f64),
}

const HOSTS: [(&str, usize); 6] = [
    ("a1", 0),
    ("a2", 0),
    ("a3", 0),
    ("b1", 1),
    ("b2", 1),
    ("b3", 1),
];
const ZONES: [&str; 2] = ["east", "west"];
const CLASSES: [&str; 2] = ["look", "pay"];

/// What happens, ms after the start.
fn script() -> Vec<(f64, Happens)> {
    use Happens::*;
    let mut all = vec![
        (320.0, Joined(0, 0, 6.0)),
        (320.0, Joined(1, 1, 5.0)),
        (900.0, Joined(2, 0, 4.0)),
    ];
    all.extend([
        (700.0, Applied(0)),
        (702.0, Applied(1)),
        (1300.0, Applied(0)),
        (1300.0, Applied(2)),
    ]);
    for second in 1..25 {
        let at = f64::from(second) * 1000.0;
        for (k, (host, zone)) in HOSTS.iter().enumerate() {
            // A host that fails for a while, and a jam later on.
            let bad = if (6..9).contains(&second) && k == 1 {
                11.0
            } else {
                0.0
            };
            let mean = if (15..19).contains(&second) {
                2600.0
            } else {
                180.0 + 10.0 * k as f64
            };
            all.push((at + k as f64, Heard(*zone, host, 12.0, bad, mean)));
        }
        for proxy in 0..3 {
            all.push((at + 10.0, Usage(proxy, 0, 20.0, 1.0)));
            all.push((at + 10.0, Usage(proxy, 1, 9.0, 0.0)));
            all.push((at + 400.0 + f64::from(proxy), Applied(proxy)));
        }
    }
    all.extend([
        (3100.0, Listed("b2", 1, "Terminating", 0.0)),
        (4400.0, Listed("b2", 1, "Gone", 0.0)),
        (7050.0, Left(2)),
        (8050.0, Joined(2, 0, 4.0)),
        (9500.0, Listed("a3", 0, "Ready", 1200.0)),
        (13_000.0, Listed("b2", 1, "Ready", 100.0)),
        (11_200.0, Listed("c1", 0, "Ready", 300.0)),
        (20_000.0, Left(1)),
    ]);
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// The adapter's process, and what its last reply's mark was.
struct Wire {
    child: Child,
    to: ChildStdin,
    from: BufReader<ChildStdout>,
    batch: u64,
    mark: u64,
    timers: Vec<(f64, String)>,
}

impl Wire {
    fn start() -> Wire {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rushcourse-bench-adapter"));
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let to = child.stdin.take().expect("its input");
        let from = BufReader::new(child.stdout.take().expect("its output"));
        Wire {
            child,
            to,
            from,
            batch: 0,
            mark: 0,
            timers: Vec::new(),
        }
    }

    fn event(&self, e: &Happens, now: f64) -> Value {
        match e {
            Happens::Joined(p, zone, rate) => {
                json!({"m": "DialledIn", "director": 0, "agent": p, "locality": zone, "w": rate, "on": true})
            }
            Happens::Left(p) => json!({"m": "LostStream", "director": 0, "agent": p}),
            Happens::Applied(p) => {
                json!({"m": "TookEffect", "director": 0, "agent": p, "number": self.mark, "spent-ms": 250.0})
            }
            Happens::Heard(zone, host, n, bad, avg) => {
                json!({"m": "Observed", "director": 0, "locality": zone,
                "host": host, "tries-n": n, "unanswered": bad, "spent-ms": avg, "span-ms": 1000.0})
            }
            Happens::Usage(p, class, n, bad) => json!({"m": "Traffic", "director": 0, "agent": p,
                "priority": class, "tries-n": n, "unanswered": bad, "span-ms": 1000.0}),
            Happens::Listed(host, zone, phase, age) => {
                json!({"m": "Announce", "director": 0, "kind": "incr",
                "rows": [row(host, *zone, phase, *age, now)]})
            }
        }
    }

    /// One batch; its orders in the relay's words.
    fn tick(&mut self, now: f64, events: Vec<Value>) -> Vec<String> {
        self.batch += 1;
        let batch = json!({"clock-ms": now, "n": self.batch, "input": events});
        writeln!(self.to, "{batch}").expect("written");
        let mut line = String::new();
        self.from.read_line(&mut line).expect("a reply");
        let reply: Value = serde_json::from_str(&line).expect("JSON");
        let out = reply["out"].as_array().expect("actions").clone();
        out.iter().filter_map(|a| self.order(a)).collect()
    }

    fn order(&mut self, a: &Value) -> Option<String> {
        let (table, host) = (&a["sheet"], a["host"].as_str().unwrap_or(""));
        let number = |key: &str| a[key].as_f64().unwrap_or(-1.0);
        let words = match a["only"].as_u64() {
            Some(0 | 3) => "*",
            Some(1) => "look",
            Some(2) => "pay",
            _ => "?",
        };
        Some(match a["m"].as_str()? {
            "Line" => format!("share,{table},{host},{}", number("w")),
            "Empty" => format!("clear,{table}"),
            "Pin" => format!("bind,{},{table},{words}", a["agent"]),
            "Bench" if a["on"] == true => format!("withdraw,{host}"),
            "Bench" => format!("restore,{host}"),
            "Level" => format!("admit,{table},{words},{},{}", number("quota"), a["again"]),
            "Seal" => {
                self.mark = a["number"].as_u64()?;
                format!("mark,{},0", self.mark)
            }
            "Schedule" => {
                self.timers
                    .push((number("alarm-time-ms"), a["ctx"].as_str()?.to_string()));
                return None;
            }
            "NoteDown" => return None,
            other => panic!("no word for {other}"),
        })
    }
}

fn row(host: &str, zone: usize, phase: &str, age: f64, now: f64) -> Value {
    json!({"host": host, "locality": zone, "unit-group": 0, "readiness": phase, "w": 1.0,
        "up-since-ms": if age > 0.0 { now - age } else { 0.0 }})
}

fn member(host: &str, zone: usize, phase: &str, age: f64, now: f64) -> Value {
    json!({"id": host, "host_port": "127.0.0.1:1", "locality": ZONES[zone], "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": if age > 0.0 { now - age } else { 0.0 }})
}

/// The session, with a relay that takes every call at once and a discovery that answers at once.
struct Real {
    session: Session,
    wake: f64,
    watch: RelayConnectionId,
    request: FetchId,
    asked: f64,
    revision: u64,
    calls: BTreeMap<u64, Vec<String>>,
    mark: u64,
}

impl Real {
    fn give(&mut self, now: f64, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.session.step(now, input) {
                match effect {
                    Effect::ConnectRelay { connection, .. } => {
                        if connection.link == RelayLink::Watch {
                            self.watch = connection;
                        }
                        inputs.extend([Input::RelayConnected { connection }, Input::Wake]);
                    }
                    Effect::SendRelay { connection, .. } if connection.link == RelayLink::Watch => {
                        inputs.push_back(Input::RelayLine {
                            connection,
                            line: "OK".into(),
                        });
                    }
                    Effect::SendRelay { connection, line } => {
                        let orders: Vec<String> = line
                            .trim_end()
                            .trim_start_matches("APPLY ")
                            .split(';')
                            .map(String::from)
                            .collect();
                        let marks = orders
                            .iter()
                            .filter_map(|o| o.strip_prefix("mark,")?.split(',').next());
                        self.mark = marks
                            .fold(None, |_, m| Some(m))
                            .map_or(self.mark, |m| m.parse().expect("a number"));
                        let line = format!("OK {}", orders.len());
                        self.calls.insert(now as u64, orders);
                        inputs.extend([Input::RelayLine { connection, line }, Input::Wake]);
                    }
                    Effect::FetchEndpoints { request, path, .. } => {
                        (self.request, self.asked) = (request, now);
                        if !path.contains('?') {
                            let body = whole(self.revision).into();
                            inputs.extend([Input::EndpointsFetched { request, body }, Input::Wake]);
                        }
                    }
                    Effect::ScheduleWake { at } => self.wake = at,
                    _ => {}
                }
            }
        }
    }

    fn happens(&mut self, now: f64, e: &Happens) {
        let text = match e {
            Happens::Joined(p, zone, rate) => format!("* joined {p} {} {rate} 1", ZONES[*zone]),
            Happens::Left(p) => format!("* left {p}"),
            Happens::Applied(p) => format!("* applied {p} {} 250.0", self.mark),
            Happens::Heard(zone, host, n, bad, avg) => {
                let json = json!({"@type": "heard", "az": ZONES[*zone], "host": host, "n": n, "bad": bad,
                    "avg": avg, "window": 1000.0});
                return self.give(
                    now,
                    Input::InboundMessage {
                        inbound: InboundId(1),
                        message: Bytes::from(json.to_string()),
                    },
                );
            }
            Happens::Usage(p, class, n, bad) => {
                let json = json!({"@type": "usage", "sidecar": p, "kind": CLASSES[*class], "n": n, "bad": bad,
                    "window": 1000.0});
                return self.give(
                    now,
                    Input::InboundMessage {
                        inbound: InboundId(1),
                        message: Bytes::from(json.to_string()),
                    },
                );
            }
            Happens::Listed(host, zone, phase, age) => {
                self.revision += 1;
                let members = [member(host, *zone, phase, *age, now)];
                let body =
                    json!({"revision": self.revision, "complete": false, "members": members});
                return self.give(
                    now,
                    Input::EndpointsFetched {
                        request: self.request,
                        body: Bytes::from(body.to_string()),
                    },
                );
            }
        };
        self.give(
            now,
            Input::RelayLine {
                connection: self.watch,
                line: text,
            },
        );
    }
}

fn whole(revision: u64) -> String {
    let members: Vec<Value> = HOSTS
        .iter()
        .map(|(h, z)| member(h, *z, "Ready", 0.0, 0.0))
        .collect();
    json!({"revision": revision, "complete": true, "members": members}).to_string()
}

#[test]
fn the_same_events_give_the_same_actions_through_both_fronts() {
    let opts: DeploymentSettings = serde_json::from_value(options()).expect("options");
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let setup = SessionConfig {
        addresses: ServiceAddresses {
            relay: at,
            discovery: at,
        },
        limits: ProcessLimits {
            memory_mb: 192.0,
            descriptors: 1024,
        }
        .session(),
        has_relay: true,
        streams: None,
        names: Names::from(&opts),
        batch_interval: opts.batch_interval(),
        settings: opts.to_policy(),
        cached_endpoints: Bytes::from(whole(1)),
    };
    let session = Session::new(setup);
    let mut real = Real {
        session,
        wake: f64::INFINITY,
        watch: RelayConnectionId {
            link: RelayLink::Watch,
            generation: 0,
        },
        request: FetchId::default(),
        asked: START,
        revision: 1,
        calls: BTreeMap::new(),
        mark: 0,
    };
    let mut wire = Wire::start();
    let (mut script, mut queue, mut due) = (VecDeque::from(script()), Vec::new(), None::<f64>);
    let mut wired: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    real.give(START, Input::Start);
    real.give(
        START,
        Input::InboundOpened {
            inbound: InboundId(1),
            peer: "collector".into(),
        },
    );
    let joins = Bytes::from_static(br#"{"@type":"collector","az":"east"}"#);
    real.give(
        START,
        Input::InboundMessage {
            inbound: InboundId(1),
            message: joins,
        },
    );
    // The adapter's first batch comes when the session's first quantum is over.
    let rows: Vec<Value> = HOSTS
        .iter()
        .map(|(h, z)| row(h, *z, "Ready", 0.0, 0.0))
        .collect();
    queue.push(json!({"m": "Provision", "director": 0, "nonce64": 7, "options": options()}));
    for kind in ["warm_copy", "total"] {
        queue.push(json!({"m": "Announce", "director": 0, "number": 1, "kind": kind, "rows": rows.clone()}));
    }
    due.replace(START + QUANTUM);
    for ms in 1..26_000 {
        let now = START + f64::from(ms);
        for (_, token) in wire.timers.extract_if(.., |t| t.0 <= now) {
            queue.push(json!({"m": "Fired", "director": 0, "ctx": token}));
            due.get_or_insert(now + QUANTUM);
        }
        if now - real.asked >= 3900.0 {
            // The wait of the watch is over: nothing is newer.
            let body =
                json!({"revision": real.revision, "complete": false, "members": []}).to_string();
            real.give(
                now,
                Input::EndpointsFetched {
                    request: real.request,
                    body: Bytes::from(body),
                },
            );
        }
        if real.wake <= now {
            real.give(now, Input::Wake);
        }
        if due.is_some_and(|at| at <= now) {
            due = None;
            let orders = wire.tick(now, std::mem::take(&mut queue));
            if !orders.is_empty() {
                wired.insert(now as u64, orders);
            }
        }
        while script.front().is_some_and(|(at, _)| START + at <= now) {
            let (_, event) = script.pop_front().expect("one");
            queue.push(wire.event(&event, now));
            due.get_or_insert(now + QUANTUM);
            real.happens(now, &event);
        }
    }
    drop(wire.to);
    wire.child.wait().expect("the adapter ends");
    assert!(
        wired.len() > 20,
        "the script has the director order something: {} times",
        wired.len()
    );
    let all: Vec<&str> = wired
        .values()
        .flatten()
        .filter_map(|o| o.split(',').next())
        .collect();
    for kind in ["share", "bind", "withdraw", "admit", "mark", "restore"] {
        assert!(all.contains(&kind), "the script covers {kind}");
    }
    // Times may differ by the whole millisecond in which a timer is seen; replies and their order may not.
    // This test's reader of JSON may be off by a figure's last digit.
    let figure = |word: &str| match word.parse::<f64>() {
        Ok(v) => format!("{v:.12}"),
        Err(_) => word.to_string(),
    };
    let plain = |order: &String| order.split(',').map(figure).collect::<Vec<_>>().join(",");
    let replies = |calls: &BTreeMap<u64, Vec<String>>| -> Vec<Vec<String>> {
        calls
            .values()
            .map(|orders| orders.iter().map(plain).collect())
            .collect()
    };
    for (k, (a, b)) in replies(&wired).iter().zip(replies(&real.calls)).enumerate() {
        assert_eq!(*a, b, "reply {k}");
    }
    assert_eq!(wired.len(), real.calls.len());
}
