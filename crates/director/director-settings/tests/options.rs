//! The settings object as the operators write it.

use rushcourse_director_settings::{Names, Options, senseless, settings};
use rushcourse_policy::interface::{AdmissionKind, Idempotency, LoadSource, RetryPolicy};
use serde_json::{Value, json};

fn options() -> Value {
    json!({
        "balancers": 2, "my-number": 1, "my-zone": 0, "zones": ["east", "west"], "quantum-ms": 4.0,
        "categories": [
            {"name": "look", "aim-ms": 1200.0, "deadline-ms": 3000.0, "effect": "free", "worth": 2.0, "more": 1},
            {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "effect": "single_shot", "worth": 5.0}],
        "family-info": {"backlog": 9400.0, "push-rate": 4700.0, "per-message": 3.0, "proxy-count": 12,
            "update-cap": 12, "counted-over-ms": 10000.0, "level-kind": "ratio", "base-mode": 1,
            "zone-bound": [false, true], "class-writes": [false, true]},
        "rules": {"cold-ms": 15000.0, "drain-grace-ms": 4000.0, "start-capacity": 0.16},
        "caps": {"may-probe": true}, "reporting": {"source": "inline"}, "unheard-of": {"a": [1]}
    })
}

fn read(value: Value) -> Options {
    serde_json::from_value(value).expect("options")
}

#[test]
fn names_and_units_are_carried_over() {
    let names = Names::of(&read(options()));
    assert_eq!(
        (names.zones, names.classes),
        (
            vec!["east".into(), "west".into()],
            vec!["look".into(), "pay".into()]
        )
    );
    assert_eq!(names.quantum, 4.0);
    let s = settings(read(options()));
    assert_eq!(
        (
            s.fleet.zones,
            s.fleet.own_zone,
            s.fleet.own_index,
            s.fleet.directors,
            s.fleet.proxies
        ),
        (2, Some(0), 1, 2, 12)
    );
    assert_eq!(
        (
            s.channel.max_queued_lines,
            s.channel.lines_per_second,
            s.channel.max_messages,
            s.channel.message_window
        ),
        (9400.0, 4700.0, 12, 10_000.0)
    );
    assert_eq!(
        (s.classes[0].idempotency, s.classes[1].idempotency),
        (Idempotency::Idempotent, Idempotency::NotIdempotent)
    );
    assert_eq!(
        (
            s.classes[1].is_zone_bound,
            s.classes[1].is_write,
            s.classes[0].is_zone_bound
        ),
        (true, true, false)
    );
    assert_eq!(
        (
            s.proxies.admission_kind,
            s.proxies.retry_policy,
            s.load_source
        ),
        (
            AdmissionKind::Ratio,
            RetryPolicy::OnceIfNotRun,
            LoadSource::Reports
        )
    );
    assert!(s.may_check_health && !s.may_message_peers);
    assert!(s.hosts.has_listed_weights && !s.must_subscribe);
}

#[test]
fn what_makes_no_sense_is_named() {
    assert_eq!(senseless(&read(options())), None);
    let bent: [(&str, Value, &str); 5] = [
        ("/family-info/backlog", json!(0), "backlog"),
        ("/family-info/push-rate", json!(-1), "push-rate"),
        ("/my-zone", json!(2), "my-zone"),
        ("/zones/1", json!("a,b"), "zones[1]"),
        ("/categories/0/name", json!(""), "categories[0].name"),
    ];
    for (path, value, named) in bent {
        let mut bad = options();
        *bad.pointer_mut(path).expect("a field") = value;
        assert!(
            senseless(&read(bad)).is_some_and(|text| text.contains(named)),
            "{path}"
        );
    }
}

#[test]
fn a_quantum_that_makes_no_sense_is_bounded() {
    for (quantum, taken) in [(json!(-5.0), 0.0), (json!(1e9), 100.0)] {
        let mut odd = options();
        odd["quantum-ms"] = quantum;
        assert_eq!(Names::of(&read(odd)).quantum, taken);
    }
}
