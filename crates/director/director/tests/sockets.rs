//! The director's process on loopback sockets, with stand-ins that misbehave.

mod common;
use common::*;
use rushcourse_standin::collector::{Collector, encode_frame, read_message};
use rushcourse_standin::discovery::{Behavior, Discovery};
use rushcourse_standin::relay::CallFault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads until the other side ends the connection; what it said before.
async fn ended(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // A reset is an end too.
    _ = stream.read_to_end(&mut rest).await;
    rest
}

#[tokio::test]
async fn a_proxy_is_bound_and_a_drain_is_kept() {
    let bench = Bench::bound().await;
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("withdrawn", || bench.relay.endpoints(0).keys().eq(["h-1"]))
        .await;
    bench
        .holds("removed", || !bench.relay.has_endpoint(0, "h-2"))
        .await;
    assert_eq!(
        bench.metric("rushcourse_invariant_failures_total").await,
        0.0
    );
}

#[tokio::test]
async fn a_call_of_unknown_outcome_is_sent_again() {
    for done in [true, false] {
        let bench = Bench::bound().await;
        for fault in [
            CallFault::Disconnect { is_applied: done },
            CallFault::NoReply { is_applied: done },
            CallFault::GarbledReply { is_applied: done },
        ] {
            bench.relay.inject_fault(fault);
        }
        let before = bench.relay.received_calls().len();
        bench
            .discovery
            .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
        // One that was not carried out goes out until it is answered; one that was, until a proxy's answer shows
        // it. Nothing else goes out before.
        let least = if done { 2 } else { 4 };
        bench
            .holds("again and again", || {
                bench.relay.received_calls().len() >= before + least
            })
            .await;
        let calls = bench.relay.received_calls();
        assert_eq!(
            calls[before..before + least],
            vec![calls[before].clone(); least]
        );
        bench
            .holds("withdrawn", || bench.relay.endpoints(0).keys().eq(["h-1"]))
            .await;
        bench
            .metric_reaches("rushcourse_calls_unknown_total", 3.0)
            .await;
        bench.log_has("call unknown").await;
    }
}

#[tokio::test]
async fn busy_and_syntax_are_no_end() {
    let bench = Bench::start().await;
    bench.relay.inject_fault(CallFault::Busy);
    bench.relay.inject_fault(CallFault::SyntaxError);
    bench.relay.inject_fault(CallFault::Busy);
    bench.relay.join_proxy(0, "east", 5.0);
    bench
        .holds("bound", || bench.relay.endpoints(0).len() == 2)
        .await;
}

#[tokio::test]
async fn news_that_break_or_turn_to_nonsense_are_asked_for_again() {
    let bench = Bench::bound().await;
    bench.relay.disconnect_watchers();
    bench.log_has("watch lost").await;
    bench
        .holds("watched again", || bench.relay.watcher_count() == 1)
        .await;
    bench.relay.join_proxy(1, "east", 5.0);
    bench
        .holds("bound", || bench.relay.endpoints(1).len() == 2)
        .await;
    bench.relay.notify("* joined nobody");
    bench.log_has("can't be read").await;
    bench.relay.join_proxy(2, "east", 5.0);
    bench
        .holds("bound", || bench.relay.endpoints(2).len() == 2)
        .await;
}

#[tokio::test]
async fn a_relay_out_of_reach_comes_back() {
    let bench = Bench::bound().await;
    bench.relay.set_unreachable(true);
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench.log_has("no sign of life").await;
    bench
        .metric_reaches("rushcourse_calls_unknown_total", 2.0)
        .await;
    bench.relay.set_unreachable(false);
    bench
        .holds("withdrawn", || bench.relay.endpoints(0).keys().eq(["h-1"]))
        .await;
}

#[tokio::test]
async fn discovery_that_is_silent_or_talks_nonsense_is_asked_again() {
    let bench = Bench::bound().await;
    for mood in [Behavior::Garbled, Behavior::Silent] {
        bench.discovery.set_behavior(mood);
        let asked = bench.discovery.request_count();
        bench
            .holds("asked again", || {
                bench.discovery.request_count() > asked + 2
            })
            .await;
    }
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench.discovery.set_behavior(Behavior::Normal);
    bench
        .holds("withdrawn", || bench.relay.endpoints(0).keys().eq(["h-1"]))
        .await;
}

#[tokio::test]
async fn messages_in_pieces_and_in_bursts_are_the_same_messages() {
    let bench = Bench::start().await;
    let mut stream = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    for byte in encode_frame(r#"{"@type":"ping"}"#) {
        stream.write_all(&[byte]).await.expect("written");
        tokio::task::yield_now().await;
    }
    assert!(
        read_message(&mut stream)
            .await
            .expect("an answer")
            .contains("pong")
    );
    let mut burst = encode_frame(r#"{"@type":"collector","az":"east"}"#);
    for _ in 0..500 {
        burst.extend(encode_frame(
            r#"{"@type":"usage","sidecar":0,"kind":"look","n":3,"bad":0,"window":1000.0}"#,
        ));
    }
    burst.extend(encode_frame(r#"{"@type":"ping"}"#));
    stream.write_all(&burst).await.expect("written");
    assert!(
        read_message(&mut stream)
            .await
            .expect("an answer")
            .contains("pong")
    );
    bench
        .metric_reaches("rushcourse_reports_usage_total", 500.0)
        .await;
    let mut two = Collector::connect(bench.address, "east")
        .await
        .expect("another of the zone");
    two.report_host("east", "h-1", 9).await.expect("said");
    bench
        .metric_reaches("rushcourse_reports_heard_total", 1.0)
        .await;
}

#[tokio::test]
async fn what_is_no_message_ends_that_connection_only() {
    let bench = Bench::start().await;
    let mut good = Collector::connect(bench.address, "east")
        .await
        .expect("a collector");
    let over = ((1u32 << 20) + 1).to_le_bytes().to_vec();
    let long = encode_frame(&format!(
        r#"{{"@type":"collector","az":"{}"}}"#,
        "x".repeat(5000)
    ));
    let tls = vec![0x16, 3, 1, 2, 0, 1, 0, 1];
    for bytes in [
        over,
        vec![0xff; 4096],
        encode_frame("no json"),
        b"PRI * HTTP/2.0\r\n\r\n".to_vec(),
        long,
        tls,
    ] {
        let mut stream = TcpStream::connect(bench.address)
            .await
            .expect("a connection");
        _ = stream.write_all(&bytes).await;
        ended(&mut stream).await;
    }
    // Who goes on without end sees the end too.
    let mut stream = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    while stream.write_all(&[b'x'; 65_536]).await.is_ok() {}
    // A collector that goes on with what is no message, or with a message that does not end.
    for bytes in [vec![b'x'; 64], vec![0, 2, 0, 0, b'{']] {
        let mut odd = Collector::connect(bench.address, "east")
            .await
            .expect("a collector");
        odd.stream.write_all(&bytes).await.expect("written");
        ended(&mut odd.stream).await;
    }
    good.report_host("east", "h-1", 9).await.expect("said");
    bench
        .metric_reaches("rushcourse_reports_heard_total", 1.0)
        .await;
    bench.answers().await;
}

#[tokio::test]
async fn strangers_in_numbers_leave_room_for_those_who_speak() {
    let bench = Bench::start().await;
    let mut good = Collector::connect(bench.address, "east")
        .await
        .expect("a collector");
    good.report_host("east", "h-1", 9).await.expect("said");
    bench
        .metric_reaches("rushcourse_reports_heard_total", 1.0)
        .await;
    let mut strangers = Vec::new();
    for k in 0..300 {
        let mut stream = TcpStream::connect(bench.address)
            .await
            .expect("a connection");
        if k % 3 > 0 {
            // Half a message, or a long one that never comes.
            let bytes = if k % 3 == 1 {
                vec![9, 0]
            } else {
                (1u32 << 20).to_le_bytes().to_vec()
            };
            _ = stream.write_all(&bytes).await;
        }
        strangers.push(stream);
    }
    bench.answers().await;
    for stranger in &mut strangers {
        assert!(ended(stranger).await.is_empty(), "each sees its end");
    }
    good.report_host("east", "h-1", 9)
        .await
        .expect("still there");
    bench
        .metric_reaches("rushcourse_reports_heard_total", 2.0)
        .await;
    assert!(bench.metric("rushcourse_peers_open").await <= 256.0);
}

#[tokio::test]
async fn a_stranger_that_pings_and_holds_on_or_reports_is_let_go() {
    let bench = Bench::start().await;
    let mut holds = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    holds
        .write_all(&encode_frame(r#"{"@type":"ping"}"#))
        .await
        .expect("written");
    assert!(
        read_message(&mut holds)
            .await
            .expect("an answer")
            .contains("pong")
    );
    assert!(ended(&mut holds).await.is_empty());
    for json in [
        r#"{"@type":"collector","az":"nowhere"}"#,
        r#"{"@type":"update","orders":[]}"#,
    ] {
        let mut stream = TcpStream::connect(bench.address)
            .await
            .expect("a connection");
        stream
            .write_all(&encode_frame(json))
            .await
            .expect("written");
        assert!(
            read_message(&mut stream)
                .await
                .expect("a last word")
                .contains("refused")
        );
        assert!(ended(&mut stream).await.is_empty());
    }
    // HTTP has its answer, then a close, though the client would go on; half a request has a close.
    let mut page = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    page.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("asked");
    assert!(String::from_utf8_lossy(&ended(&mut page).await).ends_with("ok\n"));
    let mut half = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    half.write_all(b"GET /healthz HTT").await.expect("asked");
    ended(&mut half).await;
}

#[tokio::test]
async fn a_large_message_of_a_collector_is_read_at_once_after_its_joining() {
    let bench = Bench::start().await;
    let mut burst = encode_frame(r#"{"@type":"collector","az":"east"}"#);
    let pad = " ".repeat(200_000);
    burst.extend(encode_frame(&format!(
        r#"{{"@type":"heard","az":"east","host":"h-1","n":3,"bad":0,"avg":40.0,"window":1000.0{pad}}}"#
    )));
    let mut stream = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    stream.write_all(&burst).await.expect("written");
    bench
        .metric_reaches("rushcourse_reports_heard_total", 1.0)
        .await;
}

#[tokio::test]
async fn the_pages_tell_how_it_stands() {
    let bench = Bench::bound().await;
    let (status, body) = bench.page("/healthz").await;
    assert!(
        status.contains("200") && body.starts_with("ok"),
        "{status} {body}"
    );
    let (status, body) = bench.page("/metrics").await;
    assert!(status.contains("200"));
    for name in [
        "rushcourse_calls_sent_total",
        "rushcourse_proxies_joined",
        "rushcourse_list_age_seconds",
    ] {
        assert!(
            body.lines().any(|l| l.starts_with(name)),
            "{name} is missing: {body}"
        );
        assert!(
            body.contains(&format!("# HELP {name} ")) && body.contains(&format!("# TYPE {name} "))
        );
    }
    bench
        .metric_reaches("rushcourse_tick_to_call_seconds_count", 1.0)
        .await;
    let (status, body) = bench.page("/tables").await;
    assert!(status.contains("200"));
    let tables: serde_json::Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(tables["proxies"][0]["proxy"], 0, "{body}");
    assert_eq!(
        tables["proxies"][0]["lines"].as_array().map(Vec::len),
        Some(2),
        "{body}"
    );
    let (status, _) = bench.page("/nothing").await;
    assert!(status.contains("404"));
    let mut post = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    post.write_all(b"POST /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .await
        .expect("asked");
    let mut text = String::new();
    post.read_to_string(&mut text).await.expect("an answer");
    assert!(text.starts_with("HTTP/1.1 405"), "read only: {text}");
}

#[tokio::test]
async fn told_to_end_it_exits_well_whatever_is_under_way() {
    let mut bench = Bench::bound().await;
    bench.relay.set_unreachable(true);
    bench.discovery.set_behavior(Behavior::Silent);
    bench
        .discovery
        .set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    let _half = TcpStream::connect(bench.address)
        .await
        .expect("a connection");
    bench.terminate();
    assert!(bench.ended().await.success());
}

#[tokio::test]
async fn a_reload_moves_to_new_addresses_and_a_bad_file_changes_nothing() {
    let mut bench = Bench::bound().await;
    for text in ["", "{\"name\":", "{}"] {
        bench.reload(text);
    }
    bench.log_has("nothing is changed").await;
    bench
        .metric_reaches("rushcourse_reloads_failed_total", 1.0)
        .await;
    let relay = bench
        .relay
        .also_at(free())
        .await
        .expect("the relay elsewhere");
    let discovery = Discovery::start(free()).await.expect("discovery elsewhere");
    ["h-1", "h-2"]
        .iter()
        .for_each(|h| discovery.set_host(h, "east", "Ready", "127.0.0.1:1", 0.0));
    let binds = || {
        bench
            .relay
            .accepted_orders()
            .iter()
            .filter(|o| o.starts_with("bind,0,"))
            .count()
    };
    let before = binds();
    let mut config = bench.config.clone();
    config["store"]["address"] = relay.address.to_string().into();
    config["discovery"] = discovery.address.to_string().into();
    config["listen"] = "127.0.0.1:1".into();
    bench.reload(&config.to_string());
    // A signal during the move asks for the same again.
    bench.signal("HUP");
    bench
        .log_has("listen has changed: that needs a restart, the old one is kept")
        .await;
    bench
        .holds("a watch stands at the new place", || {
            bench.relay.watches_started() >= 2
        })
        .await;
    bench
        .holds("the old one ends", || bench.relay.watcher_count() == 1)
        .await;
    bench.relay.close();
    bench.discovery.set_behavior(Behavior::Silent);
    discovery.set_host("h-2", "east", "Terminating", "127.0.0.1:1", 0.0);
    bench
        .holds("withdrawn", || bench.relay.endpoints(0).keys().eq(["h-1"]))
        .await;
    relay.join_proxy(1, "east", 5.0);
    bench
        .holds("bound", || bench.relay.endpoints(1).keys().eq(["h-1"]))
        .await;
    assert_eq!(binds(), before, "nobody is bound anew");
    assert_eq!(bench.metric("rushcourse_news_breaks_total").await, 0.0);
    assert_eq!(
        bench.metric("rushcourse_invariant_failures_total").await,
        0.0
    );
    bench.signal("HUP");
    bench.terminate();
    assert!(bench.ended().await.success());
}

#[tokio::test]
async fn a_start_from_nothing_under_the_same_name_binds_anew() {
    let mut bench = Bench::bound().await;
    bench.child.kill().expect("killed");
    bench.ended().await;
    let taken = bench.relay.accepted_orders().len();
    bench.child = spawn(&bench.path, &bench.log);
    bench.answers().await;
    bench
        .holds("bound", || {
            bench.relay.accepted_orders()[taken..]
                .iter()
                .any(|o| o.starts_with("bind,0,"))
        })
        .await;
    assert_eq!(bench.relay.endpoints(0).len(), 2);
}

#[tokio::test]
async fn the_example_runs_to_its_end() {
    let config = config();
    let (path, log) = (file("config.json", &config.to_string()), file("log", ""));
    let mut child = spawn(&path, &log);
    let told = std::cell::RefCell::new(Vec::new());
    let done = rushcourse_standin::scenario::play(&config, |line| {
        told.borrow_mut().push(line.to_string())
    })
    .await;
    _ = child.kill();
    _ = child.wait();
    done.unwrap_or_else(|e| {
        panic!(
            "{e}; told: {told:?}; its log: {:?}",
            std::fs::read_to_string(&log)
        )
    });
    let last = told.borrow().last().cloned().unwrap_or_default();
    assert!(last.contains("the drain was kept"), "{last}");
}

/// Calls that break, fall silent or are answered with nonsense, carried out or not, while hosts come and go, news
/// break and discovery has moods. Afterwards the relay holds what the model holds, and no proxy got too much.
#[tokio::test]
async fn after_a_storm_the_relay_holds_what_the_model_holds() {
    let bench = Bench::bound().await;
    (1..4).for_each(|proxy| bench.relay.join_proxy(proxy, "east", 5.0));
    bench
        .holds("all are bound", || {
            (0..4).all(|p| bench.relay.endpoints(p).len() == 2)
        })
        .await;
    let mut dice = 12_345u64;
    let mut roll = |n: u64| {
        dice = dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (dice >> 33) % n
    };
    for k in 0..40 {
        let done = roll(2) == 0;
        match roll(5) {
            0 => bench
                .relay
                .inject_fault(CallFault::Disconnect { is_applied: done }),
            1 => bench
                .relay
                .inject_fault(CallFault::NoReply { is_applied: done }),
            2 => bench
                .relay
                .inject_fault(CallFault::GarbledReply { is_applied: done }),
            3 => bench.relay.disconnect_watchers(),
            _ => bench.discovery.set_behavior(if done {
                Behavior::Normal
            } else {
                Behavior::Garbled
            }),
        }
        let id = ["h-2", "h-3", "h-4"][roll(3) as usize];
        let phase = ["Ready", "Ready", "Terminating", "Gone"][roll(4) as usize];
        bench
            .discovery
            .set_host(id, "east", phase, "127.0.0.1:1", 0.0);
        let ms = 20 + roll(300) + if k % 10 == 9 { 2500 } else { 0 };
        tokio::time::sleep(std::time::Duration::from_millis(ms)).await;
        assert!(
            (0..4).all(|p| bench.relay.endpoints(p).contains_key("h-1")),
            "nobody is without the host that stays"
        );
    }
    bench.discovery.set_behavior(Behavior::Normal);
    bench.relay.clear_faults();
    for id in ["h-2", "h-3", "h-4"] {
        bench
            .discovery
            .set_host(id, "east", "Ready", "127.0.0.1:1", 0.0);
    }
    bench
        .holds("all four hosts are back", || {
            (0..4).all(|p| bench.relay.endpoints(p).len() == 4)
        })
        .await;
    bench
        .metric_reaches("rushcourse_calls_unknown_total", 3.0)
        .await;
    // The model's tables are the relay's, once nothing is under way.
    let same = || async {
        let (_, body) = bench.page("/tables").await;
        let page: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        let tables = page["tables"].as_array().expect("tables").clone();
        tables.iter().all(|t| {
            let mine = t["lines"].as_object().expect("lines");
            let its = bench
                .relay
                .table(t["table"].as_u64().expect("a number") as u32);
            mine.iter()
                .map(|(h, w)| (h.clone(), w.as_f64().unwrap_or(0.0)))
                .eq(its)
        })
    };
    let mut tries = 0;
    while !same().await {
        tries += 1;
        assert!(
            tries < 1000,
            "the relay holds something else; its log: {}",
            bench.logged()
        );
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_eq!(
        bench.metric("rushcourse_invariant_failures_total").await,
        0.0
    );
    let most = bench
        .relay
        .max_messages_within(std::time::Duration::from_secs(10));
    assert!(most <= 12, "{most} messages to one proxy in ten seconds");
}

/// What the on-call page names is there to be looked at.
#[tokio::test]
async fn the_metrics_that_the_on_call_page_names_are_there() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../docs/on-call.md");
    let text = std::fs::read_to_string(path).expect("the page");
    let words = text.split('`').skip(1).step_by(2);
    let ends = ["_total", "_seconds", "_waiting", "_open"];
    let named: Vec<&str> = words
        .filter(|w| ends.iter().any(|e| w.ends_with(e)) && !w.contains(' '))
        .collect();
    assert!(named.len() > 20, "{named:?}");
    let (_, body) = Bench::start().await.page("/metrics").await;
    for name in named {
        assert!(
            body.contains(&format!("# TYPE rushcourse_{name} ")),
            "{name} is not on the page"
        );
    }
}
