//! Whoever connects: collectors, pings, strangers. And the end.

mod common;
use bytes::Bytes;
use common::*;
use rushcourse_director_protocol::frames;
use rushcourse_director_state::{Bounds, Input};

fn open(stand: &mut Stand, conn: u64) {
    stand.give(Input::Opened {
        conn,
        peer: format!("127.0.0.1:{conn}"),
    });
}

fn frame(stand: &mut Stand, conn: u64, json: &str) {
    stand.give(Input::Frame {
        conn,
        bytes: Bytes::copy_from_slice(json.as_bytes()),
    });
}

#[test]
fn a_ping_is_answered_before_anything_else_is_known() {
    let mut stand = Stand::new();
    (stand.relay_up, stand.discovery_up) = (false, false);
    stand.give(Input::Start);
    open(&mut stand, 1);
    frame(&mut stand, 1, r#"{"@type":"ping"}"#);
    assert_eq!(stand.written, [(1, frames::pong())]);
}

const HEARD: &str = r#"{"@type":"heard","az":"east","host":"a1","n":12,"bad":1,"avg":41.7,"window":1000.0,"report":{"inflight":7,"util":0.61}}"#;
const USAGE: &str = r#"{"@type":"usage","sidecar":1,"kind":"look","n":19,"bad":0,"window":1000.0}"#;

fn collector(stand: &mut Stand, conn: u64, zone: &str) {
    open(stand, conn);
    frame(
        stand,
        conn,
        &format!(r#"{{"@type":"collector","az":"{zone}"}}"#),
    );
}

#[test]
fn collectors_reports_reach_the_module() {
    let mut stand = Stand::usual();
    for conn in [1, 2] {
        collector(&mut stand, conn, "east");
        frame(&mut stand, conn, HEARD);
        frame(&mut stand, conn, USAGE);
    }
    assert_eq!(
        (stand.count("reports_heard"), stand.count("reports_usage")),
        (2, 2)
    );
    assert!(
        stand.written.is_empty(),
        "nothing is ever written to a collector"
    );
}

/// Whoever has not joined as a collector of a known zone may ping, and nothing else.
#[test]
fn a_stranger_that_says_anything_but_a_ping_is_refused() {
    let says = [
        HEARD,
        USAGE,
        r#"{"@type":"collector","az":"nowhere"}"#,
        r#"{"@type":"collector"}"#,
        r#"{"@type":"joined","sidecar":1,"az":"east","share":3.0,"standing":true}"#,
        r#"{"@type":"applied","sidecar":1,"version":1,"lag_ms":1.0}"#,
        r#"{"@type":"update","orders":["clear,1"]}"#,
        r#"{"@type":"weather"}"#,
        "{}",
        "",
        "[1]",
        "\u{0}\u{1}",
    ];
    for json in says {
        let mut stand = Stand::usual();
        let events = stand.count("events");
        open(&mut stand, 1);
        frame(&mut stand, 1, r#"{"@type":"ping"}"#);
        frame(&mut stand, 1, json);
        assert_eq!(
            (stand.refused.clone(), stand.closed.clone()),
            (vec![1], vec![1]),
            "{json:?}"
        );
        // What came behind it on the same connection is nobody's.
        frame(&mut stand, 1, r#"{"@type":"collector","az":"east"}"#);
        frame(&mut stand, 1, HEARD);
        stand.pass(100.0);
        assert_eq!(
            (stand.count("reports_heard"), stand.count("reports_usage")),
            (0, 0)
        );
        assert_eq!(stand.count("events"), events);
        assert_eq!(stand.gauge("peers_open"), 0.0);
    }
}

/// One field after the other is spoilt: none of it reaches the module, and the collector goes on.
#[test]
fn a_spoilt_report_is_skipped_whole_and_its_collector_stays() {
    let heard = [
        ("az", r#""east""#),
        ("host", r#""a1""#),
        ("n", "12"),
        ("bad", "1"),
        ("avg", "41.7"),
        ("window", "1000.0"),
        ("report", r#"{"util":0.5}"#),
    ];
    let usage = [
        ("sidecar", "1"),
        ("kind", r#""look""#),
        ("n", "12"),
        ("bad", "1"),
        ("window", "1000.0"),
    ];
    let values = [
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
    let mut stand = Stand::usual();
    collector(&mut stand, 1, "east");
    let events = stand.count("events");
    let mut spoilt = 0;
    for (kind, fields) in [("heard", &heard[..]), ("usage", &usage[..])] {
        for at in 0..fields.len() {
            let none = (fields[at].0 != "report").then_some(None);
            for value in values.into_iter().map(Some).chain(none) {
                let pairs = fields.iter().enumerate().filter_map(|(k, (name, good))| {
                    let value = if k == at { value? } else { good };
                    Some(format!(r#","{name}":{value}"#))
                });
                let text = format!(r#"{{"@type":"{kind}"{}}}"#, pairs.collect::<String>());
                // No load report is one that may be.
                if fields[at].0 != "report" || value != Some("null") {
                    frame(&mut stand, 1, &text);
                    spoilt += 1;
                }
            }
        }
    }
    for text in [
        r#"{"@type":"heard","az":"east","host":"a1","n":3,"bad":4,"avg":40.0,"window":1000.0}"#,
        r#"{"@type":"usage","sidecar":8,"kind":"look","n":3,"bad":0,"window":1000.0}"#,
        r#"{"@type":"heard","az":"east","host":"never-listed","n":3,"bad":0,"avg":40.0,"window":1000.0}"#,
        r#"{"@type":"weather","sky":"blue"}"#,
        r#"{"@type":"collector","az":"nowhere"}"#,
    ] {
        frame(&mut stand, 1, text);
        spoilt += 1;
    }
    stand.pass(100.0);
    assert!(stand.closed.is_empty());
    assert_eq!(
        (stand.count("reports_heard"), stand.count("reports_usage")),
        (0, 0)
    );
    let counts = [
        "heard_unlisted",
        "heard_spoilt",
        "usage_spoilt",
        "fields_spoilt",
        "messages_odd",
    ];
    assert_eq!(
        counts.map(|c| stand.count(c)).iter().sum::<u64>(),
        spoilt,
        "each is counted"
    );
    assert_eq!(stand.count("events"), events, "nothing reached the module");
    frame(&mut stand, 1, HEARD);
    frame(
        &mut stand,
        1,
        r#"{"@type":"heard","az":"east","host":"a1","n":3,"bad":3,"window":7907.1}"#,
    );
    assert_eq!(
        stand.count("reports_heard"),
        2,
        "the good ones pass, also where nothing was good"
    );
    // What a proxy could not serve was let in earlier, or not at all.
    frame(
        &mut stand,
        1,
        r#"{"@type":"usage","sidecar":1,"kind":"look","n":0,"bad":2,"window":1000.0}"#,
    );
    assert_eq!(stand.count("reports_usage"), 1);
}

#[test]
fn bytes_that_are_no_message_end_a_collector_alone() {
    for json in ["", "{", "[1]", "\u{0}\u{1}"] {
        let mut stand = Stand::usual();
        collector(&mut stand, 1, "east");
        collector(&mut stand, 2, "east");
        frame(&mut stand, 1, json);
        assert_eq!(stand.closed, [1], "{json:?}");
        frame(&mut stand, 2, HEARD);
        assert_eq!(stand.count("reports_heard"), 1);
    }
}

#[test]
fn who_has_not_joined_in_time_is_closed_and_collectors_are_not() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    collector(&mut stand, 2, "west");
    open(&mut stand, 3);
    stand.give(Input::Http { conn: 3 });
    open(&mut stand, 4);
    for _ in 0..4 {
        stand.pass(350.0);
        // A sign of life is no joining.
        frame(&mut stand, 4, r#"{"@type":"ping"}"#);
    }
    assert_eq!(
        stand.closed,
        [1, 4],
        "well within the 3 s that they are owed"
    );
    assert!(stand.written.len() >= 3, "it had its answers");
    stand.pass(1200.0);
    assert_eq!(
        stand.closed,
        [1, 4, 3],
        "a page that is not fetched ends too"
    );
    stand.pass(120_000.0);
    assert_eq!(stand.closed, [1, 4, 3], "a quiet collector stays");
}

#[test]
fn connections_stay_bounded_and_collectors_outlive_strangers() {
    let bounds = Bounds::of(32.0, 256);
    let mut stand = Stand::usual();
    collector(&mut stand, 1, "east");
    (2..2000).for_each(|conn| open(&mut stand, conn));
    assert_eq!(stand.gauge("peers_open"), bounds.peers as f64);
    assert!(!stand.closed.contains(&1));
    // Who comes next still has its turn: the first strangers made room.
    collector(&mut stand, 2000, "west");
    frame(&mut stand, 2000, HEARD);
    assert_eq!(stand.count("reports_heard"), 1);
}

#[test]
fn collectors_are_bounded_and_only_a_silent_one_makes_room_for_another() {
    let most = Bounds::of(32.0, 256).collectors as u64;
    let mut stand = Stand::usual();
    (1..=most + 3).for_each(|conn| collector(&mut stand, conn, "east"));
    assert_eq!(stand.gauge("collectors_joined"), most as f64);
    assert_eq!(
        stand.refused,
        [most + 1, most + 2, most + 3],
        "those who report stay"
    );
    for _ in 0..6 {
        stand.pass(1000.0);
        (2..=most).for_each(|conn| frame(&mut stand, conn, HEARD));
    }
    collector(&mut stand, 100, "east");
    assert_eq!(
        stand.closed.last(),
        Some(&1),
        "its stream broke without a sign"
    );
    frame(&mut stand, 100, HEARD);
    assert_eq!(stand.gauge("collectors_joined"), most as f64);
}

#[test]
fn a_flood_of_reports_is_bounded_while_nothing_can_be_ordered() {
    let mut stand = Stand::usual();
    collector(&mut stand, 1, "east");
    for _ in 0..20_000 {
        let bytes = Bytes::from_static(USAGE.as_bytes());
        stand
            .session
            .step(stand.now, Input::Frame { conn: 1, bytes });
    }
    let waiting = stand.gauge("events_waiting");
    assert!(waiting <= 8192.0);
    assert!(stand.count("reports_dropped") > 0);
}

#[test]
fn a_long_word_of_a_stranger_is_cut_in_the_log() {
    let mut stand = Stand::usual();
    collector(&mut stand, 1, "east");
    frame(
        &mut stand,
        1,
        &format!(r#"{{"@type":"{}"}}"#, "x".repeat(900_000)),
    );
    assert!(stand.logs.iter().all(|l| l.len() < 600));
}

#[test]
fn told_to_end_it_ends_at_once_whatever_is_under_way() {
    let mut stand = Stand::usual();
    stand.plan = [Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.give(Input::Stop);
    assert!(stand.exit);
    let calls = stand.calls.len();
    stand.pass(1000.0);
    assert_eq!(stand.calls.len(), calls, "nothing more is done");
}

#[test]
fn inputs_of_one_quantum_are_one_tick() {
    let mut stand = Stand::usual();
    let ticks = stand.count("ticks");
    collector(&mut stand, 1, "east");
    for _ in 0..50 {
        frame(&mut stand, 1, USAGE);
        stand.now += 0.05;
    }
    stand.pass(10.0);
    assert!(
        stand.count("ticks") - ticks <= 2,
        "{}",
        stand.count("ticks") - ticks
    );
}
