//! Runs the built adapter as a process: replies, invalid input, and independence of instances.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rushcourse-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let text = lines.join("\n") + "\n";
    // The write fails if the adapter exits early because of invalid input.
    let _ = child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(text.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn batch(n: u64, clock: f64, input: Vec<Value>) -> String {
    json!({"clock-ms": clock, "n": n, "input": input}).to_string()
}

fn start(director: u64) -> Vec<Value> {
    let options = json!({
        "categories": [{"aim-ms": 1000.0, "deadline-ms": 3000.0, "effect": "free", "worth": 2.0, "novel": 1}],
        "family-info": {"backlog": 4000.0, "push-rate": 2000.0, "per-message": 3.0, "report-every-ms": 1000.0,
                        "level-kind": "ratio", "zone-bound": [false], "transit-max-ms": 500.0},
        "rules": {"cold-ms": 15000.0, "start-capacity": 0.2}, "zones": ["x", "y"], "novel": {"k": [1]}});
    let row =
        |h: &str, zone: u64| json!({"host": h, "locality": zone, "readiness": "Ready", "w": 1});
    vec![
        json!({"m": "Provision", "director": director, "nonce64": 5, "options": options}),
        json!({"m": "Announce", "director": director, "number": 1, "kind": "warm_copy",
               "rows": [row("host_a", 0), row("host_b", 1)]}),
    ]
}

fn joined(director: u64, agent: u64) -> Value {
    json!({"m": "DialledIn", "director": director, "agent": agent, "w": 3.5, "on": true})
}

fn replies(out: &Output) -> Vec<Value> {
    String::from_utf8_lossy(&out.stdout)
        .lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect()
}

#[test]
fn three_batches_are_answered_and_the_adapter_exits_successfully() {
    let fired = json!({"m": "Fired", "director": 3, "ctx": "round"});
    let out = run(&[
        batch(1, 5.0, vec![]),
        batch(2, 10.0, [start(3), vec![joined(3, 41)]].concat()),
        batch(3, 260.0, vec![fired]),
    ]);
    assert!(out.status.success());
    let replies = replies(&out);
    assert_eq!(replies[0], json!({"n": 1, "out": []}));
    let kinds = |n: usize| -> Vec<&str> {
        replies[n]["out"]
            .as_array()
            .unwrap()
            .iter()
            .map(|a| a["m"].as_str().unwrap())
            .collect()
    };
    assert_eq!(
        kinds(1),
        ["Schedule"],
        "the start schedules the first round"
    );
    let last_kinds = kinds(2);
    assert!(
        last_kinds.contains(&"Pin")
            && last_kinds.contains(&"Seal")
            && last_kinds.contains(&"Schedule"),
        "{last_kinds:?}"
    );
}

#[test]
fn malformed_json_ends_the_adapter_with_a_one_line_error() {
    let out = run(&[batch(1, 5.0, vec![]), "{\"n\":2, oops".into()]);
    assert!(!out.status.success());
    assert_eq!(replies(&out).len(), 1, "no reply to the malformed batch");
    let text = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(
        text.lines().count() == 1 && text.contains("batch 2"),
        "{text}"
    );
}

#[test]
fn missing_field_is_reported_with_its_batch() {
    let event = json!({"m": "DialledIn", "director": 3, "w": 3.5});
    for (line, field) in [
        (batch(7, 5.0, vec![event]), "agent"),
        (json!({"n": 7, "input": []}).to_string(), "clock-ms"),
        (
            batch(7, 5.0, vec![json!({"m": "Fired", "ctx": "round"})]),
            "director",
        ),
    ] {
        let out = run(&[line]);
        assert!(!out.status.success() && out.stdout.is_empty());
        let text = String::from_utf8_lossy(&out.stderr).to_string();
        let is_named = text.contains(field) && text.contains("batch");
        assert!(text.lines().count() == 1 && is_named, "{text}");
    }
}

#[test]
fn unknown_kinds_keys_and_values_are_ignored() {
    let unknown = vec![
        json!({"m": "Novelty", "director": 3, "x": 1}),
        json!({"m": "Observed", "director": 3, "host": "host_a", "locality": 0, "tries-n": 3, "more": [],
               "server-stats": {"mood": 0.3, "cpu_share": "high"}}),
        json!({"m": "LostStream", "director": 3, "agent": 9}),
        json!({"m": "LostStream", "director": 99, "agent": 9}),
    ];
    let out = run(&[
        batch(1, 10.0, start(3)),
        batch(2, 300.0, vec![]),
        batch(3, 310.0, unknown),
    ]);
    assert!(out.status.success());
    assert_eq!(replies(&out)[2]["out"], json!([]));
}

#[test]
fn unusable_settings_are_logged() {
    let mut events = start(3);
    events[0]["options"]["categories"] = json!([]);
    let out = run(&[batch(1, 10.0, events), batch(2, 20.0, vec![joined(3, 1)])]);
    assert!(out.status.success());
    let first = replies(&out)[0]["out"].clone();
    assert_eq!(first.as_array().unwrap().len(), 1);
    assert_eq!(first[0]["m"], "NoteDown");
}

#[test]
fn instances_give_the_same_orders_in_one_process_and_in_separate_ones() {
    let input = |ids: &[u64]| -> Vec<String> {
        let mut lines = vec![batch(
            1,
            10.0,
            ids.iter().flat_map(|id| start(*id)).collect(),
        )];
        for n in 2..60u64 {
            let clock = 10.0 + n as f64 * 100.0;
            let mut events = Vec::new();
            for id in ids {
                if n % 7 == id % 7 {
                    events.push(joined(*id, n % 5));
                }
                let failed = if (n + id) % 3 == 0 { 4 } else { 0 };
                events.push(
                    json!({"m": "Observed", "director": id, "host": "host_a", "tries-n": 4,
                                   "unanswered": failed, "spent-ms": 300.0}),
                );
                events.push(json!({"m": "Fired", "director": id, "ctx": "round"}));
            }
            lines.push(batch(n, clock, events));
        }
        lines
    };
    let orders_of = |out: &Output, id: u64| -> Vec<Value> {
        let all = replies(out)
            .into_iter()
            .flat_map(|r| r["out"].as_array().unwrap().clone());
        all.filter(|a| a["director"] == id).collect()
    };
    let together = run(&input(&[1, 2, 3]));
    for id in 1..=3 {
        let alone = run(&input(&[id]));
        assert!(alone.status.success());
        assert!(!orders_of(&alone, id).is_empty());
        assert_eq!(orders_of(&together, id), orders_of(&alone, id));
    }
}
