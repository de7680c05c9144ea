//! The director's process with relays and hosts over gRPC, on loopback sockets, with stand-ins that misbehave. The
//! stand-ins' messages are a library's, not the director's own.

mod common;
use common::*;
use rushcourse_grpc_standin::host::Host;
use rushcourse_grpc_standin::raw::{Call, Way, say};
use rushcourse_grpc_standin::relay::{Manner, Met, Relay, Reports, Start, greeted};
use serde_json::Value;
use std::net::SocketAddr;
use tonic::Code;

const ADS: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

/// The example with room for eight relays.
fn roomy() -> Value {
    let mut config = config();
    *config
        .pointer_mut("/settings/family-info/proxy-count")
        .expect("a field") = 8.into();
    config
}

/// A director that serves gRPC, and where; `more` goes into the call of `grpc`.
async fn serving(more: &str) -> (Bench, SocketAddr) {
    let at = free();
    (
        Bench::start_with(roomy(), Some(&format!("grpc(listen = \"{at}\"{more})"))).await,
        at,
    )
}

fn start(number: u32, delta: bool) -> Start {
    Start::new(&format!("relay-{number}"), "east", &["look", "pay"], delta)
}

async fn joined(bench: &Bench, at: SocketAddr, start: Start) -> Relay {
    let relay = Relay::start(at, start).await.expect("a channel");
    bench
        .holds("its tables", || {
            relay.lines("look").len() == 2 && relay.lines("pay").len() == 2
        })
        .await;
    relay
}

async fn status(bench: &Bench, relay: &Relay, want: Code) {
    bench
        .holds("its stream ends", || relay.ended().is_some())
        .await;
    let status = relay.ended().expect("a status");
    assert_eq!(status.code(), want, "{status}");
}

#[tokio::test]
async fn a_relay_is_bound_over_grpc_and_a_drain_is_kept() {
    for delta in [false, true] {
        let (bench, at) = serving("").await;
        let relay = joined(&bench, at, start(3, delta)).await;
        assert!(
            relay.lines("look").values().all(|w| *w == 10_000),
            "{:?}",
            relay.lines("look")
        );
        assert_eq!(relay.table("pay").again, "never");
        bench
            .discovery
            .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
        bench
            .holds("withdrawn", || relay.lines("look").keys().eq(["h-1"]))
            .await;
        bench
            .holds("removed", || relay.table("look").lines.len() == 1)
            .await;
        bench
            .metric_reaches("rushcourse_tables_acknowledged_total", 2.0)
            .await;
        assert_eq!(
            bench.metric("rushcourse_invariant_failures_total").await,
            0.0
        );
    }
}

#[tokio::test]
async fn relays_on_both_protocols_hold_the_same_tables_at_once() {
    let (bench, at) = serving("").await;
    let (whole, delta) = (
        joined(&bench, at, start(3, false)).await,
        joined(&bench, at, start(4, true)).await,
    );
    bench.relay.join_proxy(0, "east", 5.0);
    bench
        .holds("bound", || bench.relay.endpoints(0).len() == 2)
        .await;
    let scaled = || -> Vec<(String, u32)> {
        bench
            .relay
            .endpoints(0)
            .into_iter()
            .map(|(h, w)| (h, (w * 10_000.0).round() as u32))
            .collect()
    };
    let same = || {
        [&whole, &delta]
            .iter()
            .all(|r| r.lines("look").into_iter().collect::<Vec<_>>() == scaled())
    };
    assert!(
        same(),
        "{:?} {:?} {:?}",
        scaled(),
        whole.lines("look"),
        delta.lines("look")
    );
    // The relay is silent: nobody on a stream waits for it.
    bench.relay.set_unreachable(true);
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("withdrawn on streams", || {
            [&whole, &delta]
                .iter()
                .all(|r| r.lines("look").keys().eq(["h-1"]))
        })
        .await;
    bench.relay.set_unreachable(false);
    bench.holds("the same once it is back", same).await;
}

#[tokio::test]
async fn a_relay_that_reads_nothing_answers_nothing_or_refuses_costs_the_others_nothing() {
    let (bench, at) = serving(", take_within_ms = 1500").await;
    let mut bad = Vec::new();
    for (k, manner) in [
        Manner::ReadsNothing,
        Manner::IsSilent,
        Manner::Refuses,
        Manner::AnswersOlder,
    ]
    .into_iter()
    .enumerate()
    {
        bad.push(
            Relay::start(
                at,
                Start {
                    manner,
                    ..start(k as u32, k % 2 == 0)
                },
            )
            .await
            .expect("a channel"),
        );
    }
    let good = joined(&bench, at, start(6, true)).await;
    bench
        .metric_reaches("rushcourse_tables_refused_total", 1.0)
        .await;
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("the good one is served", || {
            good.table("look").lines.len() == 1
        })
        .await;
    bench
        .holds("silent, and served", || {
            bad[1].lines("look").keys().eq(["h-1"])
        })
        .await;
    bench
        .holds("older, and served", || {
            bad[3].lines("look").keys().eq(["h-1"])
        })
        .await;
    assert!(good.ended().is_none());
    // What it has not read is one response at most.
    assert!(bench.metric("rushcourse_streams_joined").await >= 4.0);
}

#[tokio::test]
async fn strangers_and_doubles_are_told_why_they_are_not_served() {
    let (bench, at) = serving(", node_names = {\"edge\": 5}").await;
    let relay = joined(
        &bench,
        at,
        Start::new("edge", "east", &["look", "pay"], false),
    )
    .await;
    for (id, zone, want) in [
        ("edge", "east", Code::AlreadyExists),
        ("relay-5", "east", Code::AlreadyExists),
        ("nobody", "east", Code::PermissionDenied),
        ("relay-8", "east", Code::ResourceExhausted),
        ("relay-1", "north", Code::InvalidArgument),
        ("", "east", Code::InvalidArgument),
    ] {
        let other = Relay::start(at, Start::new(id, zone, &["look"], true))
            .await
            .expect("a channel");
        status(&bench, &other, want).await;
    }
    assert!(relay.ended().is_none());
    bench
        .metric_reaches("rushcourse_streams_refused_total", 6.0)
        .await;
}

#[tokio::test]
async fn a_peer_that_is_gone_without_a_word_makes_room_for_its_return() {
    let (bench, at) = serving(", ping_every_ms = 300, ping_within_ms = 300").await;
    let way = Way::start(free(), at).await.expect("a way");
    let relay = joined(&bench, way.address, start(3, true)).await;
    way.freeze(true);
    bench.metric_reaches("rushcourse_streams_joined", 1.0).await;
    bench
        .holds("it is noticed", || bench.logged().contains("is relay 3"))
        .await;
    for _ in 0..3000 {
        if bench.metric("rushcourse_streams_joined").await == 0.0 {
            break;
        }
    }
    assert_eq!(
        bench.metric("rushcourse_streams_joined").await,
        0.0,
        "its pings stay unanswered"
    );
    drop(relay);
    joined(&bench, at, start(3, true)).await;
}

#[tokio::test]
async fn who_changes_protocol_without_leaving_is_reached_the_newest_way() {
    let (bench, at) = serving("").await;
    bench.relay.join_proxy(3, "east", 5.0);
    bench
        .holds("bound", || bench.relay.endpoints(3).len() == 2)
        .await;
    let relay = joined(&bench, at, start(3, false)).await;
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("by the stream", || relay.lines("look").keys().eq(["h-1"]))
        .await;
    bench
        .discovery
        .set_host("h-2", "east", "Ready", "127.0.0.1:1", 0.0);
    bench
        .holds("let back", || relay.lines("look").len() == 2)
        .await;
    // The relay says that it has joined there: that is newer.
    bench.relay.remove_proxy(3);
    bench.relay.join_proxy(3, "east", 5.0);
    status(&bench, &relay, Code::Aborted).await;
    bench
        .holds("bound there", || bench.relay.endpoints(3).len() == 2)
        .await;
}

#[tokio::test]
async fn relays_reconnect_to_a_director_that_came_back_with_versions_it_never_gave() {
    for delta in [false, true] {
        let (mut bench, at) = serving("").await;
        let relay = joined(&bench, at, start(3, delta)).await;
        let (held, version) = relay.held();
        drop(relay);
        // The same life: what it holds is right, and nothing is sent.
        let again = Start {
            held: held.clone(),
            version: version.clone(),
            ..start(3, delta)
        };
        let relay = Relay::start(at, again.clone()).await.expect("a channel");
        bench.metric_reaches("rushcourse_streams_joined", 1.0).await;
        bench
            .discovery
            .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
        bench
            .holds("served", || relay.lines("look").keys().eq(["h-1"]))
            .await;
        bench.restart().await;
        bench
            .holds("its stream ends", || relay.ended().is_some())
            .await;
        let relay = Relay::start(at, again).await.expect("a channel");
        bench
            .holds("all anew", || !relay.table("look").lines.is_empty())
            .await;
    }
}

#[tokio::test]
async fn reports_reach_the_module_and_a_stream_that_stalls_is_ended() {
    let (bench, at) = serving("").await;
    let _relay = joined(&bench, at, start(3, true)).await;
    let reports = Reports::start(at, "relay-3", "east")
        .await
        .expect("a channel");
    bench
        .holds("an interval", || {
            *reports.every.lock().expect("no panic") == Some(1000.0)
        })
        .await;
    let met = |address: &str| Met {
        address: address.into(),
        tries: 10,
        failed: 1,
        mean: 80.0,
    };
    reports.report("look", &[met("127.0.0.1:1")]).await;
    bench
        .metric_reaches("rushcourse_loads_taken_total", 1.0)
        .await;
    reports.report("nope", &[met("127.0.0.1:1")]).await;
    bench
        .metric_reaches("rushcourse_loads_unknown_total", 1.0)
        .await;
    reports
        .report(
            "look",
            &[Met {
                mean: -5.0,
                ..met("127.0.0.1:1")
            }],
        )
        .await;
    bench
        .metric_reaches("rushcourse_loads_latency_total", 1.0)
        .await;
    // From here on it answers pings and says nothing.
    bench
        .holds("it is ended", || reports.ended().is_some())
        .await;
    assert_eq!(
        reports.ended().expect("a status").code(),
        Code::DeadlineExceeded
    );
    assert_eq!(bench.metric("rushcourse_loads_stalled_total").await, 1.0);
}

#[tokio::test]
async fn half_a_message_ends_its_stream_in_bounded_time() {
    let (bench, at) = serving(", join_within_ms = 400").await;
    for path in [ADS, LRS] {
        let mut call = Call::open(at, path, 0).await.expect("a call");
        call.message(&[0; 200], 20).expect("sent");
        // 4: DEADLINE_EXCEEDED.
        assert_eq!(call.ended().await, "4", "{path}");
    }
    assert!(bench.metric("rushcourse_streams_silent_total").await >= 2.0);
}

#[tokio::test]
async fn bad_clients_are_refused_while_joined_relays_are_served() {
    let (bench, at) = serving("").await;
    let relay = joined(&bench, at, start(3, false)).await;
    // Hundreds that say nothing.
    let mut silent = Vec::new();
    for _ in 0..300 {
        silent.push(tokio::spawn(say(at, b"")));
    }
    // A TLS greeting, HTTP/1, noise.
    let answer = say(at, &[0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3]).await;
    assert!(answer.len() < 200);
    let answer = say(at, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(!String::from_utf8_lossy(&answer).contains("200 OK"));
    say(at, &[0xff; 4096]).await;
    // A message beyond the bound, and metadata without end. 11: OUT_OF_RANGE, 8: RESOURCE_EXHAUSTED.
    let mut call = Call::open(at, ADS, 0).await.expect("a call");
    call.message(&vec![0; 1 << 20], 1 << 20).expect("sent");
    let ended = call.ended().await;
    assert!(
        ended == "11" || ended == "8" || ended.starts_with("reset"),
        "{ended}"
    );
    let ended = match Call::open(at, ADS, 64 << 10).await {
        Ok(call) => call.ended().await,
        Err(e) => e,
    };
    assert_ne!(ended, "0");
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("served all the while", || {
            relay.lines("look").keys().eq(["h-1"])
        })
        .await;
    assert!(relay.ended().is_none());
    // They are let go, or closed, in bounded time.
    for task in silent {
        task.await.expect("it ends");
    }
}

#[tokio::test]
async fn a_host_is_asked_for_its_load_and_a_stalled_one_is_asked_anew() {
    let (bench, _) = serving(", ask_hosts = True").await;
    let host = Host::start(free()).await.expect("a host");
    bench
        .discovery
        .set_host("h-1", "east", "Ready", &host.address.to_string(), 0.0);
    bench
        .metric_reaches("rushcourse_node_reports_taken_total", 3.0)
        .await;
    host.set(f64::NAN);
    bench
        .metric_reaches("rushcourse_node_reports_spoilt_total", 1.0)
        .await;
    host.set(0.7);
    host.stall(true);
    bench
        .metric_reaches("rushcourse_node_stalls_total", 1.0)
        .await;
    bench.holds("dialled anew", || host.streams() >= 2).await;
    host.stall(false);
    let before = bench.metric("rushcourse_node_reports_taken_total").await;
    bench
        .metric_reaches("rushcourse_node_reports_taken_total", before + 2.0)
        .await;
    // It starts anew: its stream is opened anew.
    let streams = host.streams();
    bench
        .discovery
        .set_host("h-1", "east", "Ready", &host.address.to_string(), 1000.0);
    bench
        .metric_reaches("rushcourse_node_restarts_total", 1.0)
        .await;
    bench
        .holds("dialled anew", || host.streams() > streams)
        .await;
}

#[tokio::test]
async fn told_to_end_it_says_goodbye_and_ends() {
    let (mut bench, at) = serving("").await;
    let relay = joined(&bench, at, start(3, true)).await;
    bench.terminate();
    status(&bench, &relay, Code::Unavailable).await;
    assert!(bench.ended().await.success());
}

#[tokio::test]
async fn an_install_without_the_platforms_relay_serves_streams_alone() {
    let at = free();
    let fronts = format!("grpc(listen = \"{at}\")\nplatform(relay = False)");
    let bench = Bench::start_with(roomy(), Some(&fronts)).await;
    let relay = joined(&bench, at, start(3, true)).await;
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("served", || relay.table("look").lines.len() == 1)
        .await;
    assert_eq!(bench.relay.watches_started(), 0, "nobody asked the relay");
}

#[tokio::test]
async fn a_reload_moves_grpc_make_before_break_and_a_bad_file_changes_nothing() {
    let (bench, at) = serving("").await;
    let relay = joined(&bench, at, start(3, true)).await;
    let fronts = bench.fronts.clone().expect("a file");
    std::fs::write(&fronts, "grpc(listen = \"nowhere\")").expect("a file");
    bench.signal("HUP");
    bench
        .log_has("fronts.star:1:1: listen is no address and port")
        .await;
    let next = free();
    std::fs::write(
        &fronts,
        format!("grpc(listen = \"{next}\", node_prefix = \"edge-\")"),
    )
    .expect("a file");
    bench.signal("HUP");
    bench.log_has(&format!("gRPC on {next}")).await;
    let other = joined(
        &bench,
        next,
        Start::new("edge-4", "east", &["look", "pay"], true),
    )
    .await;
    assert!(relay.ended().is_none(), "who is joined stays");
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("both are served", || {
            [&relay, &other]
                .iter()
                .all(|r| r.lines("look").keys().eq(["h-1"]))
        })
        .await;
    // Taken out of the file, gRPC ends.
    std::fs::write(&fronts, "# nothing").expect("a file");
    bench.signal("HUP");
    status(&bench, &relay, Code::Unavailable).await;
    bench.relay.join_proxy(0, "east", 5.0);
    bench
        .holds("the relay is served on", || {
            bench.relay.endpoints(0).len() == 1
        })
        .await;
}

/// A certificate of one's own for `director.test`, and its key, in PEM form.
fn certificate() -> (String, String) {
    let made = rcgen::generate_simple_self_signed(vec!["director.test".to_string()])
        .expect("a certificate");
    (made.cert.pem(), made.signing_key.serialize_pem())
}

#[tokio::test]
async fn keys_change_in_service_and_files_that_cannot_be_used_change_nothing() {
    let (at, (cert, key)) = (free(), certificate());
    let files = [file("cert.pem", &cert), file("key.pem", &key)];
    let tls = format!("tls_cert = {:?}, tls_key = {:?}", files[0], files[1]);
    let bench = Bench::start_with(roomy(), Some(&format!("grpc(listen = \"{at}\", {tls})"))).await;
    let greets = |cert: String| async move { greeted(at, &cert, None).await };
    let first = Relay::on(
        greets(cert.clone()).await.expect("a channel"),
        start(3, true),
    );
    bench
        .holds("its tables", || first.lines("look").len() == 2)
        .await;
    // Who greets otherwise, or not at all, is let go.
    assert!(
        greets(certificate().0).await.is_err(),
        "signed by another one"
    );
    let plain = Relay::start(at, start(4, true)).await;
    if let Ok(plain) = &plain {
        bench.holds("it ends", || plain.ended().is_some()).await;
    }
    // A key that is not the certificate's: nothing changes.
    let (next_cert, next_key) = certificate();
    std::fs::write(&files[1], &next_key).expect("a file");
    bench.signal("HUP");
    bench.log_has("nothing is changed").await;
    let still = Relay::on(
        greets(cert).await.expect("the old keys hold"),
        start(5, true),
    );
    bench
        .holds("its tables", || still.lines("look").len() == 2)
        .await;
    // Both: new connections get them, and who stands stays.
    std::fs::write(&files[0], &next_cert).expect("a file");
    bench.signal("HUP");
    let mut newer = greets(next_cert.clone()).await;
    for _ in 0..500 {
        if newer.is_ok() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        newer = greets(next_cert.clone()).await;
    }
    let third = Relay::on(newer.expect("the new keys"), start(6, false));
    bench
        .holds("its tables", || third.lines("look").len() == 2)
        .await;
    assert!(first.ended().is_none() && still.ended().is_none());
    files
        .iter()
        .for_each(|f| std::fs::remove_file(f).expect("a file"));
}

#[tokio::test]
async fn where_clients_must_show_who_they_are_others_are_not_served() {
    let (at, (cert, key), (ours, our_key)) = (free(), certificate(), certificate());
    let files = [
        file("cert.pem", &cert),
        file("key.pem", &key),
        file("ca.pem", &ours),
    ];
    let [c, k, ca] = &files;
    let text = format!(
        "grpc(listen = \"{at}\", tls_cert = {c:?}, tls_key = {k:?}, tls_client_ca = {ca:?})"
    );
    let bench = Bench::start_with(roomy(), Some(&text)).await;
    let known = greeted(at, &cert, Some((&ours, &our_key)))
        .await
        .expect("a channel");
    let known = Relay::on(known, start(3, true));
    bench
        .holds("its tables", || known.lines("look").len() == 2)
        .await;
    let (other, other_key) = certificate();
    for own in [None, Some((other.as_str(), other_key.as_str()))] {
        // The greeting may look done to a client before it is refused.
        if let Ok(channel) = greeted(at, &cert, own).await {
            let relay = Relay::on(channel, start(4, true));
            bench.holds("it ends", || relay.ended().is_some()).await;
            assert_eq!(relay.responses(), 0);
        }
    }
    files
        .iter()
        .for_each(|f| std::fs::remove_file(f).expect("a file"));
}

#[tokio::test]
async fn health_and_reflection_are_served_as_the_ecosystem_expects() {
    let (_bench, at) = serving("").await;
    // Asks for the health of all, and for the names of the services.
    for (path, message) in [
        ("/grpc.health.v1.Health/Check", &b""[..]),
        (
            "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo",
            b"\x3a\x01*",
        ),
    ] {
        let mut call = Call::open(at, path, 0).await.expect("a call");
        call.message(message, message.len()).expect("sent");
        call.finish().expect("sent");
        assert_eq!(call.ended().await, "0", "{path}");
    }
    let mut call = Call::open(at, "/no.such.Service/Method", 0)
        .await
        .expect("a call");
    call.finish().expect("sent");
    // 12: UNIMPLEMENTED.
    assert_eq!(call.ended().await, "12");
}
