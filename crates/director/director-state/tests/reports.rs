//! Invalid reports of collectors: each is skipped and counted, and the connection stays open.

mod common;

use common::harness::Harness;

/// A field's name and a valid value, as JSON.
type Field = (&'static str, &'static str);

const HOST_REPORT: [Field; 7] = [
    ("az", r#""east""#),
    ("host", r#""a1""#),
    ("n", "12"),
    ("bad", "1"),
    ("avg", "41.7"),
    ("window", "1000.0"),
    ("report", r#"{"util":0.5}"#),
];
const TRAFFIC_REPORT: [Field; 5] = [
    ("sidecar", "1"),
    ("kind", r#""look""#),
    ("n", "12"),
    ("bad", "1"),
    ("window", "1000.0"),
];
/// Values that are invalid in every field, except that the load report may be null.
const INVALID_VALUES: [&str; 9] = [
    "-3",
    "1e30",
    "1e999",
    "38654705664",
    "[1]",
    r#""nan""#,
    r#""""#,
    "null",
    "true",
];
/// Counters of skipped messages; each message is counted in exactly one of them.
const SKIPPED: [&str; 5] = [
    "heard_unlisted",
    "heard_spoilt",
    "usage_spoilt",
    "fields_spoilt",
    "messages_odd",
];

/// Encodes a report in which field `changed` has another value, or is missing if `value` is `None`.
fn report_with(kind: &str, fields: &[Field], changed: &str, value: Option<&str>) -> String {
    let pairs = fields.iter().filter_map(|(name, valid)| {
        let value = if *name == changed { value? } else { valid };
        Some(format!(r#","{name}":{value}"#))
    });
    format!(r#"{{"@type":"{kind}"{}}}"#, pairs.collect::<String>())
}

/// Reports in each of which one field is missing or has one of [`INVALID_VALUES`].
fn invalid_reports(kind: &str, fields: &[Field]) -> Vec<String> {
    let mut reports = Vec::new();
    for (name, _) in fields {
        let values = INVALID_VALUES.into_iter().map(Some).chain([None]);
        for value in values {
            // The load report is optional.
            let may_be_missing = *name == "report" && matches!(value, Some("null") | None);
            if !may_be_missing {
                reports.push(report_with(kind, fields, name, value));
            }
        }
    }
    reports
}

fn with_collector() -> Harness {
    let mut harness = Harness::with_bound_proxies();
    harness.open_collector(1, "east");
    harness
}

/// Asserts that none of the messages reaches the policy, that each is counted, and that the collector stays registered.
fn assert_all_skipped(messages: &[String]) {
    let mut harness = with_collector();
    let events = harness.counter("events");
    for message in messages {
        harness.receive(1, message);
    }
    harness.run_for(100.0);
    assert!(
        harness.inbound.closed.is_empty(),
        "the collector stays connected"
    );
    assert_eq!(
        (
            harness.counter("reports_heard"),
            harness.counter("reports_usage")
        ),
        (0, 0)
    );
    let skipped: u64 = SKIPPED.map(|name| harness.counter(name)).iter().sum();
    assert_eq!(skipped, messages.len() as u64, "each is counted");
    assert_eq!(
        harness.counter("events"),
        events,
        "no event reaches the policy"
    );
    // The collector can still report.
    harness.receive(1, &report_with("heard", &HOST_REPORT, "", None));
    assert_eq!(harness.counter("reports_heard"), 1);
}

#[test]
fn host_report_with_an_invalid_field_is_skipped() {
    assert_all_skipped(&invalid_reports("heard", &HOST_REPORT));
}

#[test]
fn traffic_report_with_an_invalid_field_is_skipped() {
    assert_all_skipped(&invalid_reports("usage", &TRAFFIC_REPORT));
}

#[test]
fn inconsistent_and_unexpected_messages_are_skipped() {
    assert_all_skipped(&[
        r#"{"@type":"heard","az":"east","host":"a1","n":3,"bad":4,"avg":40.0,"window":1000.0}"#,
        r#"{"@type":"usage","sidecar":8,"kind":"look","n":3,"bad":0,"window":1000.0}"#,
        r#"{"@type":"heard","az":"east","host":"never-listed","n":3,"bad":0,"avg":40.0,"window":1000.0}"#,
        r#"{"@type":"weather","sky":"blue"}"#,
        r#"{"@type":"collector","az":"nowhere"}"#,
    ]
    .map(String::from));
}

#[test]
fn reports_without_successful_attempts_are_accepted() {
    let mut harness = with_collector();
    harness.receive(
        1,
        r#"{"@type":"heard","az":"east","host":"a1","n":3,"bad":3,"window":7907.1}"#,
    );
    assert_eq!(harness.counter("reports_heard"), 1);
    // Unlike in host reports, failed requests may exceed the attempts of the same period.
    harness.receive(
        1,
        r#"{"@type":"usage","sidecar":1,"kind":"look","n":0,"bad":2,"window":1000.0}"#,
    );
    assert_eq!(harness.counter("reports_usage"), 1);
}
