//! Whoever connects: collectors, pings, strangers. And the end.

mod common;
use bytes::Bytes;
use common::*;
use rushcourse_protocol::frames;
use rushcourse_reducer::Input;

fn open(stand: &mut Stand, conn: u64) {
    stand.give(Input::Opened { conn, peer: format!("127.0.0.1:{conn}") });
}

fn frame(stand: &mut Stand, conn: u64, json: &str) {
    stand.give(Input::Frame { conn, bytes: Bytes::copy_from_slice(json.as_bytes()) });
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

#[test]
fn collectors_reports_reach_the_module() {
    let mut stand = Stand::usual();
    for conn in [1, 2] {
        open(&mut stand, conn);
        frame(&mut stand, conn, r#"{"@type":"collector","az":"east"}"#);
        frame(
            &mut stand,
            conn,
            r#"{"@type":"heard","az":"east","host":"a1","n":12,"bad":1,"avg":41.7,"window":1000.0,"report":{"inflight":7,"util":0.61}}"#,
        );
        frame(
            &mut stand,
            conn,
            r#"{"@type":"usage","sidecar":1,"kind":"look","n":19,"bad":0,"window":1000.0}"#,
        );
    }
    assert_eq!((stand.count("reports_heard"), stand.count("reports_usage")), (2, 2));
    assert!(stand.written.is_empty(), "nothing is ever written to a collector");
}

#[test]
fn unknown_kinds_fields_zones_and_classes_are_skipped() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    for json in [
        r#"{"@type":"weather","sky":"blue"}"#,
        r#"{"@type":"collector","az":"nowhere","more":[1,2]}"#,
        r#"{"@type":"heard","az":"nowhere","host":"a1","n":1}"#,
        r#"{"@type":"usage","sidecar":1,"kind":"dance","n":1}"#,
        r#"{"@type":"heard","az":"east","host":"never-listed","n":1,"odd":{"a":[null]}}"#,
        r#"{"@type":"heard","az":"east","host":"a1","n":3,"report":"none"}"#,
    ] {
        frame(&mut stand, 1, json);
    }
    stand.pass(500.0);
    assert!(stand.closed.is_empty());
    assert_eq!(stand.count("messages_odd"), 4);
}

#[test]
fn a_message_that_can_not_be_read_ends_that_connection_only() {
    for json in ["", "{", "[1]", "{}", r#"{"@type":7}"#, r#"{"@type":"heard","az":"east"}"#, "\u{0}\u{1}"] {
        let mut stand = Stand::usual();
        open(&mut stand, 1);
        open(&mut stand, 2);
        frame(&mut stand, 1, json);
        assert_eq!(stand.closed, [1], "{json:?}");
        frame(&mut stand, 2, r#"{"@type":"ping"}"#);
        assert_eq!(stand.written.len(), 1);
    }
}

#[test]
fn numbers_that_make_no_sense_do_no_harm() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    for n in ["-5", "1e300", "0"] {
        frame(
            &mut stand,
            1,
            &format!(r#"{{"@type":"heard","az":"east","host":"a1","n":{n},"bad":9,"avg":-3}}"#),
        );
        frame(
            &mut stand,
            1,
            &format!(r#"{{"@type":"usage","sidecar":4000000,"kind":"look","n":{n},"bad":1e9}}"#),
        );
    }
    stand.pass(3000.0);
    assert_eq!(stand.count("invariant_failures"), 0);
}

#[test]
fn strangers_that_say_nothing_are_closed_and_collectors_are_not() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    open(&mut stand, 2);
    frame(&mut stand, 2, r#"{"@type":"collector","az":"west"}"#);
    stand.pass(11_000.0);
    assert_eq!(stand.closed, [1]);
    stand.pass(120_000.0);
    assert_eq!(stand.closed, [1], "a quiet collector stays");
}

#[test]
fn connections_stay_bounded_and_collectors_outlive_strangers() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    frame(&mut stand, 1, r#"{"@type":"collector","az":"east"}"#);
    (2..2000).for_each(|conn| open(&mut stand, conn));
    let open = stand.gauge("peers_open");
    assert!(open <= 64.0, "{open} connections");
    assert!(!stand.closed.contains(&1));
}

#[test]
fn a_flood_of_reports_is_bounded_while_nothing_can_be_ordered() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    for _ in 0..20_000 {
        let bytes = Bytes::from_static(br#"{"@type":"usage","sidecar":1,"kind":"look","n":1}"#);
        stand.session.step(stand.now, Input::Frame { conn: 1, bytes });
    }
    let waiting = stand.gauge("events_waiting");
    assert!(waiting <= 8192.0);
    assert!(stand.count("reports_dropped") > 0);
}

#[test]
fn a_long_word_of_a_stranger_is_cut_in_the_log() {
    let mut stand = Stand::usual();
    open(&mut stand, 1);
    frame(&mut stand, 1, &format!(r#"{{"@type":"{}"}}"#, "x".repeat(900_000)));
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
    open(&mut stand, 1);
    for _ in 0..50 {
        frame(&mut stand, 1, r#"{"@type":"usage","sidecar":1,"kind":"look","n":1}"#);
        stand.now += 0.05;
    }
    stand.pass(10.0);
    assert!(stand.count("ticks") - ticks <= 2, "{}", stand.count("ticks") - ticks);
}
