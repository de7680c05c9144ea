//! Deserialization, conversion and validation of the settings object.

use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_policy::interface::{AdmissionKind, Idempotency, LoadSource, RetryPolicy};
use serde_json::{Value, json};

fn document() -> Value {
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

/// The valid document, with the value at a JSON pointer replaced.
fn document_with(path: &str, value: Value) -> Value {
    let mut document = document();
    *document.pointer_mut(path).expect("a field") = value;
    document
}

fn read(document: Value) -> DeploymentSettings {
    serde_json::from_value(document).expect("settings")
}

#[test]
fn names_keep_their_positions() {
    let names = Names::from(&read(document()));
    assert_eq!(
        (names.zones, names.classes),
        (
            vec!["east".into(), "west".into()],
            vec!["look".into(), "pay".into()]
        )
    );
}

#[test]
fn settings_are_converted_for_the_policy() {
    let settings = read(document()).to_policy();
    let fleet = &settings.fleet;
    assert_eq!(
        (
            fleet.zones,
            fleet.own_zone,
            fleet.own_index,
            fleet.directors,
            fleet.proxies
        ),
        (2, Some(0), 1, 2, 12)
    );
    let channel = &settings.channel;
    assert_eq!(
        (
            channel.max_queued_lines,
            channel.lines_per_second,
            channel.max_messages,
            channel.message_window
        ),
        (9400.0, 4700.0, 12, 10_000.0)
    );
    let [look, pay] = &settings.classes[..] else {
        panic!("two classes")
    };
    assert_eq!(
        (look.idempotency, pay.idempotency),
        (Idempotency::Idempotent, Idempotency::NotIdempotent)
    );
    assert_eq!(
        (pay.is_zone_bound, pay.is_write, look.is_zone_bound),
        (true, true, false)
    );
    assert_eq!(
        (
            settings.proxies.admission_kind,
            settings.proxies.retry_policy,
            settings.load_source
        ),
        (
            AdmissionKind::Ratio,
            RetryPolicy::OnceIfNotRun,
            LoadSource::Reports
        )
    );
    assert!(settings.may_check_health && !settings.may_message_peers);
    assert!(settings.hosts.has_listed_weights && !settings.must_subscribe);
}

#[test]
fn invalid_setting_is_reported_with_its_path() {
    assert_eq!(read(document()).validate(), Ok(()));
    let invalid = [
        ("/family-info/backlog", json!(0), "family-info.backlog"),
        ("/family-info/push-rate", json!(-1), "family-info.push-rate"),
        ("/my-zone", json!(2), "my-zone"),
        ("/zones/1", json!("a,b"), "zones[1]"),
        ("/categories/0/name", json!(""), "categories[0].name"),
    ];
    for (path, value, field) in invalid {
        let error = read(document_with(path, value))
            .validate()
            .expect_err("an invalid setting");
        assert_eq!(error.field, field, "{path}");
        assert!(error.to_string().contains(&format!("settings.{field} ")));
    }
}

#[test]
fn batch_interval_is_clamped() {
    assert_eq!(read(document()).batch_interval(), 4.0);
    for (interval, bounded) in [(json!(-5.0), 0.0), (json!(1e9), 100.0)] {
        let settings = read(document_with("/quantum-ms", interval));
        assert_eq!(settings.batch_interval(), bounded);
    }
}
