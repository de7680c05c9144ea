//! What hosts may do to an answer, and what may come of it: each request runs at most once where it may not be repeated,
//! and each client gets the answer to its own request, whole, or none.

mod world;

use std::time::Duration;
use tokio::time::Instant;
use world::{Hosts, Manner, Plan, Signal, Step, World, answer, play, rest, until};

const TWO_HOSTS: Plan = Plan {
    hosts: 2,
    cores: 1,
    idle_timeout: 15.0,
};

/// An answer of a host: status, headers and body as they are to be.
fn says(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{headers}\r\n{body}").into_bytes()
}

/// A mutating request whose host spoils its answer in this way gets 502, and was sent once.
async fn breaks(world: &World, id: &str, spoilt: impl FnOnce(&world::Seen) -> Vec<Step> + 'static) {
    world.hosts.next(spoilt);
    let come = world.ask("POST", "/m/x", id).await;
    assert_eq!((come.status, come.whole), (502, true), "{id}: {come:?}");
    assert_eq!(world.hosts.arrivals(id), 1, "{id}: sent again");
    let connection = world.hosts.connection(id);
    until("the connection is closed", || {
        world.hosts.closed(connection)
    })
    .await;
    in_order(world, &format!("after-{id}")).await;
}

/// A further request is answered as if nothing had been.
async fn in_order(world: &World, id: &str) {
    let come = world.ask("POST", "/m/x", id).await;
    assert!(come.answers(id), "{id}: {come:?}");
    assert_eq!(world.hosts.arrivals(id), 1, "{id}");
}

/// Makes sure that there is a connection to a host that rests, and returns it.
async fn resting(world: &World, id: &str) -> usize {
    in_order(world, id).await;
    world.hosts.connection(id)
}

#[test]
fn a_request_arrives_unchanged_and_names_its_host() {
    play(Plan::default(), async |w| {
        let mut client = w.client().await;
        let headers = "Deadline-Milliseconds: 4000\r\nX-Other: 7\r\nConnection: x-other\r\n";
        client
            .request("POST", "/m/a%20b?c=d", "a1", headers, b"body")
            .await;
        assert!(client.come().await.expect("an answer").answers("a1"));
        let seen = &w.hosts.seen()[0];
        assert!(
            seen.head.starts_with("POST /m/a%20b?c=d HTTP/1.1\r\n"),
            "{}",
            seen.head
        );
        assert_eq!(
            (seen.header("expected-instance"), seen.header("x-other")),
            (Some("h0"), None)
        );
        let left: u64 = seen
            .header("deadline-milliseconds")
            .expect("it")
            .parse()
            .expect("a number");
        assert!(left <= 4_000, "{left}");
        assert_eq!(seen.body, b"body");
    });
}

#[test]
fn an_answer_with_another_id_or_none_is_nobodys() {
    play(TWO_HOSTS, async |w| {
        breaks(&w, "a1", |_| vec![Step::Write(answer("other"))]).await;
        breaks(&w, "a2", |_| {
            vec![Step::Write(
                b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n".to_vec(),
            )]
        })
        .await;
        breaks(&w, "a3", |s| {
            vec![Step::Write(says(
                "200 OK",
                s.id(),
                "Content-Length: 2\r\n",
                "ok",
            ))]
        })
        .await;
        breaks(&w, "a4", |s| {
            let two = "Attempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n";
            vec![Step::Write(says("200 OK", s.id(), two, "ok"))]
        })
        .await;
        breaks(&w, "a5", |_| {
            vec![Step::Write(b"\x00\x01 no answer\r\n\r\n".to_vec())]
        })
        .await;
    });
}

#[test]
fn a_refusal_with_another_id_says_nothing_of_this_request() {
    play(TWO_HOSTS, async |w| {
        let refusal = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        breaks(&w, "a1", move |_| {
            vec![Step::Write(says("421 Other", "other", refusal, ""))]
        })
        .await;
        breaks(&w, "a2", |_| {
            vec![Step::Write(says(
                "421 Other",
                "other",
                "Content-Length: 0\r\n",
                "",
            ))]
        })
        .await;
        breaks(&w, "a3", move |_| {
            vec![Step::Write(says("503 Full", "other", refusal, ""))]
        })
        .await;
    });
}

#[test]
fn a_refusal_without_an_id_counts_only_where_nothing_else_can_have_been_asked() {
    play(Plan::default(), async |w| {
        let refusal = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        // The first answer on a connection can only be that of its only request.
        w.hosts.next(move |_| vec![Step::Write(refusal.to_vec())]);
        let come = w.ask("POST", "/m/x", "a1").await;
        assert_eq!((come.status, w.hosts.arrivals("a1")), (503, 1));
        // On one that was used before it may be a second answer to the request before.
        let kept = resting(&w, "a2").await;
        breaks(&w, "a3", move |_| vec![Step::Write(refusal.to_vec())]).await;
        assert_eq!(w.hosts.connection("a3"), kept);
    });
}

#[test]
fn a_host_that_refuses_is_the_only_reason_for_a_second_one() {
    play(TWO_HOSTS, async |w| {
        let full = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        for (id, status, headers) in [
            ("a1", "503 Full", full),
            ("a2", "429 Full", full),
            ("a3", "421 Other", "Content-Length: 0\r\n"),
        ] {
            w.hosts.writes(move |s| says(status, s.id(), headers, ""));
            let come = w.ask("POST", "/m/x", id).await;
            assert!(come.answers(id), "{come:?}");
            let hosts: Vec<usize> = w
                .hosts
                .seen()
                .iter()
                .filter(|s| s.id() == id)
                .map(|s| s.host)
                .collect();
            assert!(hosts == [0, 1] || hosts == [1, 0], "{id}: {hosts:?}");
        }
        // Both refuse: no third try, and the client is promised that it has not run.
        for _ in 0..2 {
            w.hosts.writes(move |s| says("503 Full", s.id(), full, ""));
        }
        assert_eq!(
            (
                w.ask("POST", "/m/x", "a4").await.status,
                w.hosts.arrivals("a4")
            ),
            (503, 2)
        );
    });
}

#[test]
fn a_promise_that_the_host_did_not_give_is_not_passed_on() {
    play(TWO_HOSTS, async |w| {
        for (id, status) in [("a1", "503 Busy"), ("a2", "429 Busy"), ("a3", "408 Slow")] {
            breaks(&w, id, move |s| {
                vec![Step::Write(says(
                    status,
                    s.id(),
                    "Content-Length: 0\r\n",
                    "",
                ))]
            })
            .await;
        }
    });
}

#[test]
fn a_hosts_own_failure_is_an_answer() {
    play(TWO_HOSTS, async |w| {
        let seal = "Response-Seal: s\r\nContent-Length: 3\r\n";
        w.hosts
            .writes(move |s| says("500 Bad", s.id(), seal, "bad"));
        let come = w.ask("POST", "/m/x", "a1").await;
        assert_eq!(
            (come.status, come.body.as_slice(), w.hosts.arrivals("a1")),
            (500, b"bad".as_slice(), 1)
        );
        assert_eq!(come.header("response-seal"), Some("s"));
    });
}

#[test]
fn bytes_after_a_whole_answer_reach_nobody() {
    play(Plan::default(), async |w| {
        w.hosts
            .writes(|s| [answer(s.id()), answer(s.id())].concat());
        let mut client = w.client().await;
        client.request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.come().await.expect("an answer").answers("a1"));
        let first = w.hosts.connection("a1");
        client.request("POST", "/m/x", "a2", "", b"").await;
        let come = client.come().await.expect("an answer");
        assert!(come.answers("a2"), "{come:?}");
        assert_ne!(w.hosts.connection("a2"), first);
        until("the connection is closed", || w.hosts.closed(first)).await;
    });
}

#[test]
fn a_body_that_is_longer_than_its_length_ends_at_it() {
    play(Plan::default(), async |w| {
        w.hosts
            .writes(|s| [answer(s.id()), b"and more of it".to_vec()].concat());
        let come = w.ask("POST", "/m/x", "a1").await;
        assert!(come.answers("a1"), "{come:?}");
        let first = w.hosts.connection("a1");
        until("the connection is closed", || w.hosts.closed(first)).await;
        in_order(&w, "a2").await;
    });
}

#[test]
fn a_second_answer_that_comes_in_the_next_ones_place_is_not_the_next_ones() {
    play(TWO_HOSTS, async |w| {
        // Two connections rest at each host or less; the script answers whichever is taken.
        in_order(&w, "a1").await;
        breaks(&w, "a2", |_| vec![Step::Write(answer("a1"))]).await;
        // One that may be repeated goes to the other host.
        in_order(&w, "a3").await;
        w.hosts.writes(|_| answer("a3"));
        let come = w.ask("GET", "/r/x", "a4").await;
        assert!(come.answers("a4"), "{come:?}");
        assert_eq!(w.hosts.arrivals("a4"), 2);
    });
}

#[test]
fn a_second_answer_that_comes_while_the_connection_rests_ends_it() {
    play(Plan::default(), async |w| {
        let late = Signal::default();
        let waits = late.clone();
        w.hosts.next(move |s| {
            vec![
                Step::Write(answer(s.id())),
                Step::Wait(waits),
                Step::Write(answer(s.id())),
            ]
        });
        let first = resting(&w, "a1").await;
        late.give();
        until("the connection is closed", || w.hosts.closed(first)).await;
        in_order(&w, "a2").await;
        assert_ne!(w.hosts.connection("a2"), first);
    });
}

#[test]
fn an_answer_that_breaks_off_never_looks_whole() {
    play(TWO_HOSTS, async |w| {
        breaks(&w, "a1", |s| {
            let bytes = answer(s.id());
            vec![Step::Write(bytes[..bytes.len() - 1].to_vec()), Step::Close]
        })
        .await;
        breaks(&w, "a2", |s| {
            let bytes = answer(s.id());
            vec![Step::Write(bytes[..bytes.len() - 1].to_vec()), Step::Reset]
        })
        .await;
        breaks(&w, "a3", |s| {
            vec![Step::Write(answer(s.id())[..30].to_vec()), Step::Close]
        })
        .await;
        let chunked = "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n";
        breaks(&w, "a4", move |s| {
            vec![
                Step::Write(says("200 OK", s.id(), chunked, "3\r\nabc\r\n")),
                Step::Close,
            ]
        })
        .await;
        // Without a length or chunks its end is the connection's end, which a broken-off one has too.
        breaks(&w, "a5", |s| {
            vec![
                Step::Write(says("200 OK", s.id(), "Response-Seal: s\r\n", "abc")),
                Step::Close,
            ]
        })
        .await;
        let both = "Response-Seal: s\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n";
        breaks(&w, "a6", move |s| {
            vec![Step::Write(says(
                "200 OK",
                s.id(),
                both,
                "3\r\nabc\r\n0\r\n\r\n",
            ))]
        })
        .await;
        let two = "Response-Seal: s\r\nContent-Length: 3\r\nContent-Length: 2\r\n";
        breaks(&w, "a7", move |s| {
            vec![Step::Write(says("200 OK", s.id(), two, "abc"))]
        })
        .await;
        breaks(&w, "a8", |s| {
            vec![Step::Write(says(
                "101 Switching",
                s.id(),
                "Upgrade: x\r\n",
                "",
            ))]
        })
        .await;
    });
}

#[test]
fn a_long_answer_that_breaks_off_while_it_is_passed_on_breaks_off_for_the_client() {
    play(TWO_HOSTS, async |w| {
        let long = "x".repeat(600_000);
        let half = long[..500_000].to_string();
        let head = format!("Response-Seal: s\r\nContent-Length: {}\r\n", long.len());
        let (whole, cut) = (head.clone(), head);
        w.hosts
            .writes(move |s| says("200 OK", s.id(), &whole, &long));
        let come = w.ask("GET", "/r/x", "a1").await;
        assert_eq!(
            (come.status, come.whole, come.body.len()),
            (200, true, 600_000)
        );
        w.hosts.next(move |s| {
            vec![
                Step::Write(says("200 OK", s.id(), &cut, &half)),
                Step::Close,
            ]
        });
        let come = w.ask("GET", "/r/x", "a2").await;
        assert_eq!(
            (come.status, come.whole, w.hosts.arrivals("a2")),
            (200, false, 1)
        );
        in_order(&w, "a3").await;
    });
}

#[test]
fn answers_without_a_body_are_whole() {
    play(Plan::default(), async |w| {
        w.hosts
            .writes(|s| says("204 None", s.id(), "Response-Seal: s\r\n", ""));
        let come = w.ask("POST", "/m/x", "a1").await;
        assert_eq!((come.status, come.whole, come.body.len()), (204, true, 0));
        w.hosts.writes(|s| {
            says(
                "200 OK",
                s.id(),
                "Response-Seal: s\r\nContent-Length: 5\r\n",
                "",
            )
        });
        let mut client = w.client().await;
        client.request("HEAD", "/r/x", "a2", "", b"").await;
        let come = client.come_without_body().await.expect("an answer");
        assert_eq!(
            (come.status, come.header("content-length")),
            (200, Some("5"))
        );
        // Nothing of a body is left on the connection to the client.
        client.request("POST", "/m/x", "a3", "", b"").await;
        assert!(client.come().await.expect("an answer").answers("a3"));
    });
}

#[test]
fn a_request_is_not_sent_again_after_a_reset() {
    play(TWO_HOSTS, async |w| {
        breaks(&w, "a1", |_| vec![Step::Reset]).await;
        breaks(&w, "a2", |_| vec![Step::Close]).await;
        w.hosts.next(|_| vec![Step::Reset]);
        let come = w.ask("GET", "/r/x", "a3").await;
        assert!(come.answers("a3"), "one that may be repeated is: {come:?}");
        assert_eq!(w.hosts.arrivals("a3"), 2);
    });
}

#[test]
fn a_request_is_not_sent_again_after_its_first_byte() {
    play(TWO_HOSTS, async |w| {
        w.hosts.manner(Manner::ResetsAtFirstByte);
        assert_eq!(w.ask("POST", "/m/x", "a1").await.status, 502);
        assert_eq!(w.hosts.begun(), 1);
        assert_eq!(w.ask("GET", "/r/x", "a2").await.status, 502);
        assert_eq!(w.hosts.begun(), 3, "one that may be repeated went to both");
    });
}

#[test]
fn a_request_is_not_sent_again_after_a_silence_and_a_late_answer_is_nobodys() {
    play(TWO_HOSTS, async |w| {
        let late = Signal::default();
        let waits = late.clone();
        w.hosts.next(move |s| {
            vec![
                Step::Wait(waits),
                Step::Write(answer(s.id())),
                Step::Silence,
            ]
        });
        let mut client = w.client().await;
        let begun = Instant::now();
        client
            .request("POST", "/m/x", "a1", "Deadline-Milliseconds: 300\r\n", b"")
            .await;
        assert_eq!(client.come().await.expect("an answer").status, 504);
        assert!(
            begun.elapsed() >= Duration::from_millis(250),
            "a silence is no reason to end sooner"
        );
        late.give();
        client.request("POST", "/m/x", "a2", "", b"").await;
        assert!(client.come().await.expect("an answer").answers("a2"));
        assert_ne!(w.hosts.connection("a1"), w.hosts.connection("a2"));
        until("the connection is closed", || {
            w.hosts.closed(w.hosts.connection("a1"))
        })
        .await;
        assert_eq!((w.hosts.arrivals("a1"), w.hosts.arrivals("a2")), (1, 1));
    });
}

#[test]
fn a_request_is_not_sent_again_where_its_reader_stopped() {
    play(TWO_HOSTS, async |w| {
        w.hosts.manner(Manner::NeverReads);
        let mut client = w.client().await;
        let body = vec![7; 8 << 20];
        client
            .request(
                "POST",
                "/m/x",
                "a1",
                "Deadline-Milliseconds: 700\r\n",
                &body,
            )
            .await;
        assert_eq!(client.come().await.expect("an answer").status, 504);
        assert_eq!(w.hosts.connections(), 1, "at one host only");
        w.hosts.manner(Manner::Serves);
        in_order(&w, "a2").await;
    });
}

#[test]
fn a_frozen_gateway_sends_nothing_twice_and_gives_each_its_own() {
    play(TWO_HOSTS, async |w| {
        let (late, never) = (Signal::default(), Signal::default());
        let (waits, waits_on) = (late.clone(), never.clone());
        w.hosts
            .next(move |s| vec![Step::Wait(waits), Step::Write(answer(s.id()))]);
        w.hosts
            .next(move |_| vec![Step::Wait(waits_on), Step::Reset]);
        let (mut first, mut second) = (w.client().await, w.client().await);
        first.request("POST", "/m/x", "a1", "", b"").await;
        until("it came", || w.hosts.arrivals("a1") == 1).await;
        second.request("POST", "/m/x", "a2", "", b"").await;
        until("it came", || w.hosts.arrivals("a2") == 1).await;
        w.freeze().await;
        late.give();
        never.give();
        until("both were dealt with", || {
            w.hosts.closed(w.hosts.connection("a2"))
        })
        .await;
        // A third one comes in meanwhile.
        let mut third = w.client().await;
        third.request("POST", "/m/x", "a3", "", b"").await;
        w.thaw();
        assert!(first.come().await.expect("an answer").answers("a1"));
        assert_eq!(second.come().await.expect("an answer").status, 502);
        assert!(third.come().await.expect("an answer").answers("a3"));
        for id in ["a1", "a2", "a3"] {
            assert_eq!(w.hosts.arrivals(id), 1, "{id}");
        }
    });
}

#[test]
fn a_request_goes_on_where_a_kept_connection_was_closed() {
    play(Plan::default(), async |w| {
        w.hosts
            .next(|s| vec![Step::Write(answer(s.id())), Step::Close]);
        in_order(&w, "a1").await;
        until("it is closed", || w.hosts.closed(0)).await;
        in_order(&w, "a2").await;
        // The end reaches the gateway together with the next request.
        let now = Signal::default();
        let waits = now.clone();
        w.hosts
            .next(move |s| vec![Step::Write(answer(s.id())), Step::Wait(waits), Step::Close]);
        let kept = resting(&w, "a3").await;
        w.freeze().await;
        now.give();
        until("it is closed", || w.hosts.closed(kept)).await;
        let mut client = w.client().await;
        client.request("POST", "/m/x", "a4", "", b"").await;
        w.thaw();
        let come = client.come().await.expect("an answer");
        assert!(come.answers("a4"), "nothing of it had left: {come:?}");
        assert_eq!(w.hosts.arrivals("a4"), 1);
    });
}

/// An answer that says for how long its connection may rest.
fn keeps(hosts: &Hosts, keep_alive: &'static str) {
    hosts.writes(move |s| {
        let text = String::from_utf8(answer(s.id())).expect("text");
        text.replace("Keep-Alive: timeout=10\r\n", keep_alive)
            .into_bytes()
    });
}

/// Asks again on this world after its kept connection has rested so long; whether that was taken. What was
/// measured counts, since a busy machine rests longer.
async fn taken_after(
    w: &World,
    keep_alive: &'static str,
    ids: [&str; 2],
    time: Duration,
) -> (bool, Duration) {
    keeps(&w.hosts, keep_alive);
    in_order(w, ids[0]).await;
    let answered = Instant::now();
    rest(time).await;
    in_order(w, ids[1]).await;
    (
        w.hosts.connection(ids[0]) == w.hosts.connection(ids[1]),
        answered.elapsed(),
    )
}

#[test]
fn a_connection_is_used_up_to_four_fifths_of_the_hosts_limit() {
    play(Plan::default(), async |w| {
        for ids in [["a1", "a2"], ["a3", "a4"], ["a5", "a6"]] {
            let time = Duration::from_millis(720);
            let (taken, rested) = taken_after(&w, "Keep-Alive: timeout=1\r\n", ids, time).await;
            if rested < Duration::from_millis(790) {
                assert!(taken, "a new one after {rested:?} of a second");
                return;
            }
        }
        panic!("this machine is too busy to rest for 0.72 s");
    });
}

#[test]
fn a_connection_is_not_used_beyond_four_fifths_of_the_hosts_limit() {
    play(Plan::default(), async |w| {
        let time = Duration::from_millis(4_850);
        let (taken, rested) =
            taken_after(&w, "Keep-Alive: timeout=6\r\n", ["a1", "a2"], time).await;
        assert!(!taken, "after {rested:?} of 6 s");
    });
}

#[test]
fn a_connection_whose_limit_is_not_said_is_hardly_kept() {
    play(Plan::default(), async |w| {
        // A limit that holds no whole second is not said at all.
        for (keep_alive, ids) in [
            ("", ["a1", "a2"]),
            ("Keep-Alive: timeout=0\r\n", ["a3", "a4"]),
        ] {
            let (taken, rested) =
                taken_after(&w, keep_alive, ids, Duration::from_millis(300)).await;
            assert!(!taken, "after {rested:?}");
        }
    });
}

#[test]
fn an_answer_of_another_life_at_the_same_address_sends_a_request_on() {
    play(TWO_HOSTS, async |w| {
        w.hosts
            .writes(|s| says("421 Other", s.id(), "Content-Length: 0\r\n", ""));
        let come = w.ask("POST", "/m/x", "a1").await;
        assert!(come.answers("a1"), "{come:?}");
        for seen in w.hosts.seen() {
            let meant = format!("h{}", seen.host);
            assert_eq!(
                seen.header("expected-instance"),
                Some(meant.as_str()),
                "each is told whom it is meant for"
            );
        }
    });
}
