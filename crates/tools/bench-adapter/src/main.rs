//! Hosts directors on the bench's wire: one batch a line in, one reply a line out.

mod wire;

use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Event};
use std::collections::BTreeMap;
use std::io::{BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::Order;

type Directors = BTreeMap<u64, Director>;

/// The events of one instance in one batch, and the start that came before them, if any.
#[derive(Default)]
struct Part {
    start: Option<wire::Provision>,
    stopped: bool,
    events: Vec<Event>,
}

fn read(text: &str, number: u64) -> Result<(wire::Batch, BTreeMap<u64, Part>), String> {
    let fail = |e: serde_json::Error| format!("batch {number}: {e}");
    let mut batch: wire::Batch = serde_json::from_str(text).map_err(fail)?;
    let number = batch.n;
    let mut parts: BTreeMap<u64, Part> = BTreeMap::new();
    for value in std::mem::take(&mut batch.input) {
        let fail = |e: serde_json::Error| format!("batch {number}: event {value}: {e}");
        let head: wire::Head = serde::Deserialize::deserialize(&value).map_err(fail)?;
        let part = parts.entry(head.director).or_default();
        let fail = |e: serde_json::Error| format!("batch {number}: event {}: {e}", head.m);
        match head.m.as_str() {
            "Provision" => {
                part.start = Some(serde_json::from_value(value).map_err(fail)?);
                part.events.clear();
            }
            "Teardown" => {
                *part = Part {
                    stopped: true,
                    ..Part::default()
                };
            }
            kind => part.events.extend(wire::event(kind, value).map_err(fail)?),
        }
    }
    Ok((batch, parts))
}

fn decide(directors: &mut Directors, id: u64, part: Part, now: f64) -> Vec<Action> {
    if part.stopped {
        directors.remove(&id);
    }
    if let Some(start) = part.start {
        directors.insert(id, Director::new(start.options.to_policy()));
    }
    match directors.get_mut(&id) {
        Some(director) => director.handle(now, part.events),
        None => Vec::new(),
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let known = panic.downcast_ref::<&str>().map(|s| s.to_string());
    known
        .or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".into())
}

fn run() -> Result<(), String> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let mut directors = Directors::new();
    for (number, text) in std::io::stdin().lock().lines().enumerate() {
        let text = text.map_err(|e| format!("batch {number}: {e}"))?;
        let (batch, parts) = read(&text, number as u64 + 1)?;
        let mut reply = wire::Reply {
            n: batch.n,
            out: Vec::new(),
        };
        for (id, part) in parts {
            let decided = catch_unwind(AssertUnwindSafe(|| {
                decide(&mut directors, id, part, batch.clock)
            }));
            match decided {
                Ok(actions) => reply
                    .out
                    .extend(actions.into_iter().filter_map(|a| wire::order(id, a))),
                Err(panic) => {
                    let reason_text = panic_text(panic.as_ref());
                    reply.out.push(Order::Die {
                        director: id,
                        reason_text,
                    });
                }
            }
        }
        let line = serde_json::to_string(&reply).map_err(|e| e.to_string())?;
        writeln!(out, "{line}")
            .and_then(|()| out.flush())
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("rushcourse-bench-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}
