//! The adapter's process, driven through its JSON messages.

use crate::script::{HOSTS, ListedHost, ScriptEvent, options};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A timer that the adapter started.
struct Timer {
    at: f64,
    token: String,
}

/// A running adapter process with its timers and the events to send.
pub struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    batch_number: u64,
    /// Number of the last requested acknowledgement.
    ack_number: u64,
    timers: Vec<Timer>,
    /// Queued events for the next batch.
    events: Vec<Value>,
}

impl Adapter {
    pub fn spawn() -> Adapter {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rushcourse-bench-adapter"));
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("its input");
        let output = BufReader::new(child.stdout.take().expect("its output"));
        Adapter {
            child,
            input,
            output,
            batch_number: 0,
            ack_number: 0,
            timers: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Queues the start of an instance and the list of hosts, as cached and as current.
    pub fn provision(&mut self) {
        let rows = HOSTS.map(|host| row(&ListedHost::ready(host), 0.0));
        self.events
            .push(json!({"m": "Provision", "director": 0, "nonce64": 7, "options": options()}));
        for kind in ["warm_copy", "total"] {
            self.events.push(
                json!({"m": "Announce", "director": 0, "number": 1, "kind": kind, "rows": rows}),
            );
        }
    }

    /// Queues the events of timers that are due. Returns whether there were any.
    pub fn fire_timers(&mut self, now: f64) -> bool {
        let due = self.timers.extract_if(.., |timer| timer.at <= now);
        let fired: Vec<Value> = due
            .map(|timer| json!({"m": "Fired", "director": 0, "ctx": timer.token}))
            .collect();
        let is_any_due = !fired.is_empty();
        self.events.extend(fired);
        is_any_due
    }

    /// Queues an event for the next batch.
    pub fn queue_event(&mut self, event: &ScriptEvent, now: f64) {
        self.events.push(match event {
            ScriptEvent::ProxyJoins { proxy, zone, rate } => json!({"m": "DialledIn", "director": 0,
                "agent": proxy, "locality": zone, "w": rate, "on": true}),
            ScriptEvent::ProxyLeaves { proxy } => {
                json!({"m": "LostStream", "director": 0, "agent": proxy})
            }
            ScriptEvent::Acknowledged { proxy } => json!({"m": "TookEffect", "director": 0,
                "agent": proxy, "number": self.ack_number, "spent-ms": 250.0}),
            ScriptEvent::HostReport {
                host,
                attempts,
                failed,
                mean_latency,
            } => json!({"m": "Observed", "director": 0, "locality": host.zone, "host": host.id,
                "tries-n": attempts, "unanswered": failed, "spent-ms": mean_latency, "span-ms": 1000.0}),
            ScriptEvent::Traffic {
                proxy,
                class,
                attempts,
                failed,
            } => json!({"m": "Traffic", "director": 0, "agent": proxy, "priority": class,
                "tries-n": attempts, "unanswered": failed, "span-ms": 1000.0}),
            ScriptEvent::HostChanges(listed) => json!({"m": "Announce", "director": 0,
                "kind": "incr", "rows": [row(listed, now)]}),
        });
    }

    /// Sends the queued events as one batch and returns the orders of the reply in the relay's syntax.
    pub fn send_batch(&mut self, now: f64) -> Vec<String> {
        self.batch_number += 1;
        let events = std::mem::take(&mut self.events);
        let batch = json!({"clock-ms": now, "n": self.batch_number, "input": events});
        writeln!(self.input, "{batch}").expect("written");
        let mut line = String::new();
        self.output.read_line(&mut line).expect("a reply");
        let reply: Value = serde_json::from_str(&line).expect("JSON");
        let orders = reply["out"].as_array().expect("orders").clone();
        let relay_orders = orders.iter().filter_map(|order| self.handle_order(order));
        relay_orders.collect()
    }

    /// Returns an order in the relay's syntax. A timer is started and a log line ignored; both give `None`.
    fn handle_order(&mut self, order: &Value) -> Option<String> {
        let (table, host) = (&order["sheet"], order["host"].as_str().unwrap_or(""));
        let number = |key: &str| order[key].as_f64().unwrap_or(-1.0);
        let classes = match order["only"].as_u64() {
            Some(0 | 3) => "*",
            Some(1) => "look",
            Some(2) => "pay",
            _ => "?",
        };
        Some(match order["m"].as_str()? {
            "Line" => format!("share,{table},{host},{}", number("w")),
            "Empty" => format!("clear,{table}"),
            "Pin" => format!("bind,{},{table},{classes}", order["agent"]),
            "Bench" if order["on"] == true => format!("withdraw,{host}"),
            "Bench" => format!("restore,{host}"),
            "Level" => {
                let (quota, retry_policy) = (number("quota"), &order["again"]);
                format!("admit,{table},{classes},{quota},{retry_policy}")
            }
            "Seal" => {
                self.ack_number = order["number"].as_u64()?;
                format!("mark,{},0", self.ack_number)
            }
            "Schedule" => {
                let token = order["ctx"].as_str()?.to_string();
                let at = number("alarm-time-ms");
                self.timers.push(Timer { at, token });
                return None;
            }
            "NoteDown" => return None,
            other => panic!("unexpected order: {other}"),
        })
    }

    /// Closes the adapter's standard input and waits until the process exits.
    pub fn end(mut self) {
        drop(self.input);
        self.child.wait().expect("the adapter ends");
    }
}

fn row(listed: &ListedHost, now: f64) -> Value {
    json!({"host": listed.host.id, "locality": listed.host.zone, "unit-group": 0, "readiness": listed.phase,
        "w": 1.0, "up-since-ms": listed.started_at(now)})
}
