//! What clients may do, and operations with a key: one run whatever becomes of its client or of the voting set.

mod world;

use rushcourse_messages::{
    ClaimId, ClaimVerdict, Handshake, Message, NodeId, OperationState, PROTOCOL_VERSION, Role,
};
use rushcourse_transport::{Dialer, SessionEvent, SessionFactory};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, RequestToken};
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use world::{Come, INTERNAL, Plan, Signal, Step, World, answer, play, rest, until};

const THREE_CORES: Plan = Plan {
    hosts: 1,
    cores: 3,
    idle_timeout: 15.0,
};
const FIVE_CORES: Plan = Plan {
    hosts: 1,
    cores: 5,
    idle_timeout: 15.0,
};

async fn operation(world: &World, key: &str, id: &str) -> Come {
    let mut client = world.client().await;
    client
        .request(
            "POST",
            "/k/x",
            id,
            &format!("Operation-Key: {key}\r\n"),
            b"",
        )
        .await;
    client.come().await.expect("an answer")
}

#[test]
fn requests_that_come_at_once_are_answered_in_their_order() {
    play(Plan::default(), async |w| {
        let mut client = w.client().await;
        let get =
            |id: &str| format!("GET /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\r\n");
        let early = Signal::default();
        let waits = early.clone();
        w.hosts
            .next(move |s| vec![Step::Wait(waits), Step::Write(answer(s.id()))]);
        client
            .write((get("a1") + &get("a2") + &get("a3")).as_bytes())
            .await;
        until("the first came", || w.hosts.arrivals("a1") == 1).await;
        assert_eq!(w.hosts.arrivals("a2"), 0, "one at a time");
        early.give();
        for id in ["a1", "a2", "a3"] {
            let come = client.come().await.expect("an answer");
            assert!(come.answers(id), "{id}: {come:?}");
        }
    });
}

#[test]
fn part_of_a_second_request_does_not_disturb_the_first() {
    play(Plan::default(), async |w| {
        let mut client = w.client().await;
        let early = Signal::default();
        let waits = early.clone();
        w.hosts
            .next(move |s| vec![Step::Wait(waits), Step::Write(answer(s.id()))]);
        client.request("POST", "/m/x", "a1", "", b"abc").await;
        until("the first came", || w.hosts.arrivals("a1") == 1).await;
        client.write(b"POST /m/x HTTP/1.1\r\nHost: a.exam").await;
        early.give();
        assert!(client.come().await.expect("an answer").answers("a1"));
        client
            .write(b"ple\r\nAttempt-Id: a2\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert!(client.come().await.expect("an answer").answers("a2"));
    });
}

#[test]
fn bytes_that_are_no_request_end_the_connection_after_its_answers() {
    play(Plan::default(), async |w| {
        let mut client = w.client().await;
        client.request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.come().await.expect("an answer").answers("a1"));
        client.write(b"\x00\x01\x02 what\r\n\r\n").await;
        assert_eq!(client.come().await.expect("an answer").status, 400);
        assert!(client.ends().await);
        assert_eq!(w.hosts.seen().len(), 1);
    });
}

#[test]
fn a_request_whose_client_goes_is_dropped_and_not_sent_again() {
    play(
        Plan {
            hosts: 2,
            ..Plan::default()
        },
        async |w| {
            let mut client = w.client().await;
            w.hosts.next(|_| vec![Step::Silence]);
            client.request("POST", "/m/x", "a1", "", b"").await;
            until("it came", || w.hosts.arrivals("a1") == 1).await;
            drop(client);
            until("the host is told", || {
                w.hosts.closed(w.hosts.connection("a1"))
            })
            .await;
            assert!(w.ask("POST", "/m/x", "a2").await.answers("a2"));
            assert_eq!(w.hosts.arrivals("a1"), 1);
        },
    );
}

#[test]
fn an_operation_runs_on_without_its_client_and_its_repeat_gets_its_answer() {
    play(
        Plan {
            hosts: 2,
            ..Plan::default()
        },
        async |w| {
            let late = Signal::default();
            let waits = late.clone();
            w.hosts
                .next(move |s| vec![Step::Wait(waits), Step::Write(answer(s.id()))]);
            let mut client = w.client().await;
            client
                .request("POST", "/k/x", "a1", "Operation-Key: k1\r\n", b"")
                .await;
            until("it came", || w.hosts.arrivals("a1") == 1).await;
            drop(client);
            assert_eq!(operation(&w, "k1", "a2").await.status, 409, "at work");
            late.give();
            let mut come = operation(&w, "k1", "a3").await;
            while come.status == 409 {
                come = operation(&w, "k1", "a3").await;
            }
            assert_eq!(
                (come.status, come.header("response-seal")),
                (200, Some("seal-a1"))
            );
            assert_eq!(
                (come.body.as_slice(), come.header("attempt-id")),
                (b"answer to a1".as_slice(), Some("a3"))
            );
            assert_eq!(w.hosts.seen().len(), 1, "one run");
        },
    );
}

#[test]
fn an_operation_is_not_sent_again_after_a_reset_or_a_silence() {
    play(
        Plan {
            hosts: 2,
            ..Plan::default()
        },
        async |w| {
            w.hosts.next(|_| vec![Step::Reset]);
            assert_eq!(operation(&w, "k1", "a1").await.status, 502);
            assert_eq!(
                operation(&w, "k1", "a2").await.status,
                409,
                "whether it ran is not known"
            );
            w.hosts.next(|_| vec![Step::Silence]);
            let mut client = w.client().await;
            let headers = "Operation-Key: k2\r\nDeadline-Milliseconds: 300\r\n";
            client.request("POST", "/k/x", "a3", headers, b"").await;
            assert_eq!(client.come().await.expect("an answer").status, 504);
            assert_eq!(operation(&w, "k2", "a4").await.status, 409);
            assert_eq!(w.hosts.seen().len(), 2);
        },
    );
}

#[test]
fn a_client_may_rest_for_four_fifths_of_its_time_after_a_long_answer() {
    play(
        Plan {
            idle_timeout: 4.0,
            ..Plan::default()
        },
        async |w| {
            let (slow, mut client) = (Signal::default(), w.client().await);
            let waits = slow.clone();
            w.hosts.next(move |s| {
                let head = format!("Response-Seal: s\r\nContent-Length: {}\r\n", 600_000);
                let text = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n{head}\r\n", s.id());
                let (first, rest) = (vec![b'x'; 400_000], vec![b'x'; 200_000]);
                vec![
                    Step::Write([text.into_bytes(), first].concat()),
                    Step::Wait(waits),
                    Step::Write(rest),
                ]
            });
            client.request("GET", "/r/x", "a1", "", b"").await;
            until("it came", || w.hosts.arrivals("a1") == 1).await;
            // The answer takes longer than a connection may rest.
            rest(Duration::from_millis(4_400)).await;
            slow.give();
            assert!(client.come().await.expect("an answer").whole);
            for id in ["a2", "a3"] {
                rest(Duration::from_millis(2_900)).await;
                client.request("POST", "/m/x", id, "", b"").await;
                let come = client.come().await.expect("the connection is still good");
                assert!(come.answers(id), "{come:?}");
            }
            assert!(client.ends().await, "in the end it is closed");
        },
    );
}

#[test]
fn a_frozen_gateway_takes_what_came_meanwhile() {
    play(
        Plan {
            idle_timeout: 1.0,
            ..Plan::default()
        },
        async |w| {
            let mut client = w.client().await;
            client.request("POST", "/m/x", "a1", "", b"").await;
            assert!(client.come().await.expect("an answer").answers("a1"));
            w.freeze().await;
            client.request("POST", "/m/x", "a2", "", b"").await;
            rest(Duration::from_millis(1_500)).await;
            w.thaw();
            let come = client
                .come()
                .await
                .expect("it came in time, though it was read late");
            assert!(come.answers("a2"), "{come:?}");
        },
    );
}

#[test]
fn a_claim_in_flight_wins_under_a_new_voting_set() {
    play(FIVE_CORES, async |w| {
        // Set 1 is all five; here set 2 has lost the last of them.
        w.cores.grant(false);
        let world = w.clone();
        let asked = tokio::task::spawn_local(async move { operation(&world, "k1", "a1").await });
        until("all are asked", || {
            (0..5).all(|c| w.cores.claims(c) == [Epoch(1)])
        })
        .await;
        w.cores.vote(0, ClaimVerdict::Granted);
        w.cores.vote(4, ClaimVerdict::Granted);
        w.cores.tell_set(1, 2, &[0, 1, 2, 3]);
        w.cores.vote(1, ClaimVerdict::Abstained);
        until("the new set is asked", || {
            (0..4).all(|c| w.cores.claims(c) == [Epoch(1), Epoch(2)])
        })
        .await;
        assert_eq!(w.cores.claims(4), [Epoch(1)]);
        // Two of the former set and two of the new one are no majority; three of the new one are.
        w.cores.vote(1, ClaimVerdict::Granted);
        w.cores.vote(2, ClaimVerdict::Granted);
        assert_eq!(w.hosts.seen().len(), 0);
        w.cores.vote(0, ClaimVerdict::Granted);
        let come = asked.await.expect("an answer");
        assert!(come.answers("a1"), "{come:?}");
        assert_eq!((w.hosts.arrivals("a1"), w.cores.withdrawals(4)), (1, 0));
    });
}

#[test]
fn a_claim_that_is_given_up_is_withdrawn_at_the_voters_of_both_sets() {
    play(THREE_CORES, async |w| {
        w.cores.grant(false);
        let world = w.clone();
        let asked = tokio::task::spawn_local(async move { operation(&world, "k1", "a1").await });
        until("all are asked", || {
            (0..3).all(|c| w.cores.claims(c) == [Epoch(1)])
        })
        .await;
        w.cores.tell_set(0, 2, &[0, 1]);
        assert_eq!(asked.await.expect("an answer").status, 503, "nobody votes");
        until("all are told", || {
            (0..3).all(|c| w.cores.withdrawals(c) == 1)
        })
        .await;
        assert_eq!(w.hosts.seen().len(), 0);
        // The key is free again, and three later votes of the first claim are nobody's.
        (0..3).for_each(|c| w.cores.vote(c, ClaimVerdict::Granted));
        w.cores.grant(true);
        assert!(operation(&w, "k1", "a2").await.answers("a2"));
    });
}

#[test]
fn votes_that_a_frozen_gateway_finds_late_are_none() {
    play(THREE_CORES, async |w| {
        w.cores.grant(false);
        let world = w.clone();
        let asked = tokio::task::spawn_local(async move { operation(&world, "k1", "a1").await });
        until("all are asked", || {
            (0..3).all(|c| w.cores.claims(c) == [Epoch(1)])
        })
        .await;
        w.freeze().await;
        (0..3).for_each(|c| w.cores.vote(c, ClaimVerdict::Granted));
        rest(Duration::from_millis(500)).await;
        w.thaw();
        assert_eq!(asked.await.expect("an answer").status, 503);
        until("all are told", || {
            (0..3).all(|c| w.cores.withdrawals(c) == 1)
        })
        .await;
        assert_eq!(w.hosts.seen().len(), 0);
    });
}

/// Gives up an operation's claim, and returns it: nobody votes.
async fn given_up(world: &World, key: &str, id: &str) -> (KeyDigest, ClaimId) {
    world.cores.grant(false);
    assert_eq!(operation(world, key, id).await.status, 503, "nobody votes");
    let (key, claim) = world.cores.claim(0);
    until("all are told", || {
        (0..3).all(|c| world.cores.withdrawn(c, claim) == 1)
    })
    .await;
    (key, claim)
}

#[test]
fn voters_that_missed_a_withdrawal_are_told_again() {
    play(THREE_CORES, async |w| {
        let (_, claim) = given_up(&w, "k1", "a1").await;
        // They never heard that the first claim was withdrawn.
        w.cores.hold(claim);
        assert_eq!(
            operation(&w, "k1", "a2").await.status,
            503,
            "nothing was sent, and the key comes free"
        );
        until("all are told again", || {
            (0..3).all(|c| w.cores.withdrawn(c, claim) == 2)
        })
        .await;
        assert_eq!(w.hosts.seen().len(), 0);
    });
}

#[test]
fn a_claim_of_an_earlier_life_is_left_as_it_is() {
    play(THREE_CORES, async |w| {
        let (_, claim) = given_up(&w, "k1", "a1").await;
        let earlier = ClaimId {
            incarnation: Incarnation(claim.incarnation.0 ^ 1),
            ..claim
        };
        w.cores.hold(earlier);
        assert_eq!(
            operation(&w, "k1", "a2").await.status,
            409,
            "whether it was sent is not known"
        );
        assert_eq!(
            (0..3).map(|c| w.cores.withdrawn(c, earlier)).sum::<usize>(),
            0
        );
    });
}

#[test]
fn a_gateway_that_is_asked_for_a_withdrawn_claim_withdraws_it_again() {
    play(THREE_CORES, async |w| {
        let (key, claim) = given_up(&w, "k1", "a1").await;
        let (tell, mut events) = unbounded_channel();
        let node = NodeId::from(w.free);
        let hello = Handshake {
            protocol_version: PROTOCOL_VERSION,
            role: Role::Gateway,
            node,
            incarnation: Incarnation(1),
            name: "front-2".into(),
            zone: "z".into(),
        };
        Dialer::new(SessionFactory::new(hello, tell), INTERNAL).dial(NodeId::from(*w.front.ip()));
        let Some(SessionEvent::Opened(session)) = events.recv().await else {
            panic!("no session")
        };
        session.send(&Message::OperationQuery {
            token: RequestToken(7),
            key,
            claim,
        });
        let Some(SessionEvent::Received { message: told, .. }) = events.recv().await else {
            panic!("no answer")
        };
        assert_eq!(
            told,
            Message::OperationReply {
                token: RequestToken(7),
                state: OperationState::NotFound
            }
        );
        until("all are told again", || {
            (0..3).all(|c| w.cores.withdrawn(c, claim) == 2)
        })
        .await;
    });
}
