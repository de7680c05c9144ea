//! To which hosts a request goes, and when to a second one: it runs at most once where it may not be repeated.

mod world;

use std::time::Duration;
use tokio::time::Instant;
use world::{
    ConnectionBehavior, HostAction, Setup, Signal, World, response, run_scenario, valid_response,
    wait_until,
};

#[test]
fn a_request_arrives_unchanged_and_names_its_host() {
    run_scenario(Setup::DEFAULT, async |world| {
        let mut client = world.connect_client().await;
        let headers = "Deadline-Milliseconds: 4000\r\nX-Other: 7\r\nConnection: x-other\r\n";

        client
            .send_request("POST", "/m/a%20b?c=d", "a1", headers, b"body")
            .await;

        assert!(client.expect_response().await.answers("a1"));
        let arrived = &world.hosts.requests()[0];
        assert!(
            arrived.head.starts_with("POST /m/a%20b?c=d HTTP/1.1\r\n"),
            "{}",
            arrived.head
        );
        assert_eq!(
            (
                arrived.header("expected-instance"),
                arrived.header("x-other")
            ),
            (Some("h0"), None)
        );
        let left: u64 = arrived
            .header("deadline-milliseconds")
            .expect("it")
            .parse()
            .expect("a number");
        assert!(left <= 4_000, "{left}");
        assert_eq!(arrived.body, b"body");
    });
}

/// The hosts that a request came to, in their order.
fn hosts_of(world: &World, id: &str) -> Vec<usize> {
    let requests = world.hosts.requests();
    requests
        .iter()
        .filter(|request| request.id() == id)
        .map(|request| request.host)
        .collect()
}

#[test]
fn only_a_host_that_refuses_sends_a_mutating_request_to_a_second_one() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let not_executed = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        for (id, status, headers) in [
            ("a1", "503 Full", not_executed),
            ("a2", "429 Full", not_executed),
            ("a3", "421 Other", "Content-Length: 0\r\n"),
        ] {
            world
                .hosts
                .respond_next(move |request| response(status, request.id(), headers, ""));
            let response = world.request("POST", "/m/x", id).await;
            assert!(response.answers(id), "{response:?}");
            let hosts = hosts_of(&world, id);
            assert!(hosts == [0, 1] || hosts == [1, 0], "{id}: {hosts:?}");
        }

        // Both refuse: no third attempt, and the client is promised that it has not run.
        for _ in 0..2 {
            world
                .hosts
                .respond_next(move |request| response("503 Full", request.id(), not_executed, ""));
        }
        assert_eq!(
            (
                world.request("POST", "/m/x", "a4").await.status,
                world.hosts.arrivals("a4")
            ),
            (503, 2)
        );
    });
}

#[test]
fn another_incarnation_at_the_same_address_sends_a_request_to_the_next_host() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world.hosts.respond_next(|request| {
            response("421 Other", request.id(), "Content-Length: 0\r\n", "")
        });

        let response = world.request("POST", "/m/x", "a1").await;

        assert!(response.answers("a1"), "{response:?}");
        for request in world.hosts.requests() {
            let expected = format!("h{}", request.host);
            assert_eq!(
                request.header("expected-instance"),
                Some(expected.as_str()),
                "each is told whom it is meant for"
            );
        }
    });
}

#[test]
fn only_a_request_that_may_be_repeated_is_retried_after_a_reset() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world
            .expect_bad_gateway("a1", |_| vec![HostAction::Reset])
            .await;
        world
            .expect_bad_gateway("a2", |_| vec![HostAction::Close])
            .await;

        world.hosts.script_next(|_| vec![HostAction::Reset]);
        let response = world.request("GET", "/r/x", "a3").await;
        assert!(
            response.answers("a3"),
            "one that may be repeated is: {response:?}"
        );
        assert_eq!(world.hosts.arrivals("a3"), 2);
    });
}

#[test]
fn a_mutating_request_is_not_retried_after_its_first_byte() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world
            .hosts
            .set_behavior(ConnectionBehavior::ResetsAtFirstByte);

        assert_eq!(world.request("POST", "/m/x", "a1").await.status, 502);
        assert_eq!(world.hosts.started_requests(), 1);
        assert_eq!(world.request("GET", "/r/x", "a2").await.status, 502);
        assert_eq!(
            world.hosts.started_requests(),
            3,
            "one that may be repeated went to both"
        );
    });
}

#[test]
fn a_request_is_not_retried_after_a_timeout_and_its_late_response_reaches_nobody() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let late = Signal::default();
        let waits = late.clone();
        world.hosts.script_next(move |request| {
            vec![
                HostAction::Wait(waits),
                HostAction::Write(valid_response(request.id())),
                HostAction::StopResponding,
            ]
        });
        let mut client = world.connect_client().await;
        let started = Instant::now();
        client
            .send_request("POST", "/m/x", "a1", "Deadline-Milliseconds: 300\r\n", b"")
            .await;
        assert_eq!(client.expect_response().await.status, 504);
        assert!(
            started.elapsed() >= Duration::from_millis(250),
            "a silence is no reason to end sooner"
        );

        late.give();
        client.send_request("POST", "/m/x", "a2", "", b"").await;

        assert!(client.expect_response().await.answers("a2"));
        assert_ne!(
            world.hosts.connection_of("a1"),
            world.hosts.connection_of("a2")
        );
        wait_until("the connection is closed", || {
            world.hosts.is_closed(world.hosts.connection_of("a1"))
        })
        .await;
        assert_eq!(
            (world.hosts.arrivals("a1"), world.hosts.arrivals("a2")),
            (1, 1)
        );
    });
}

#[test]
fn a_request_is_not_retried_where_its_host_stops_reading() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world.hosts.set_behavior(ConnectionBehavior::NeverReads);
        let mut client = world.connect_client().await;
        let body = vec![7; 8 << 20];

        client
            .send_request(
                "POST",
                "/m/x",
                "a1",
                "Deadline-Milliseconds: 700\r\n",
                &body,
            )
            .await;

        assert_eq!(client.expect_response().await.status, 504);
        assert_eq!(world.hosts.connection_count(), 1, "at one host only");
        world.hosts.set_behavior(ConnectionBehavior::Serves);
        world.expect_valid_exchange("a2").await;
    });
}

#[test]
fn a_frozen_gateway_sends_nothing_twice_and_gives_each_client_its_own_response() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let first_response = world.hosts.delay_next();
        let second_reset = Signal::default();
        let waits = second_reset.clone();
        world
            .hosts
            .script_next(move |_| vec![HostAction::Wait(waits), HostAction::Reset]);
        let (mut first, mut second) = (world.connect_client().await, world.connect_client().await);
        first.send_request("POST", "/m/x", "a1", "", b"").await;
        wait_until("it came", || world.hosts.arrivals("a1") == 1).await;
        second.send_request("POST", "/m/x", "a2", "", b"").await;
        wait_until("it came", || world.hosts.arrivals("a2") == 1).await;

        world.freeze_gateway().await;
        first_response.give();
        second_reset.give();
        wait_until("both were dealt with", || {
            world.hosts.is_closed(world.hosts.connection_of("a2"))
        })
        .await;
        // A third one comes in meanwhile.
        let mut third = world.connect_client().await;
        third.send_request("POST", "/m/x", "a3", "", b"").await;
        world.thaw_gateway();

        assert!(first.expect_response().await.answers("a1"));
        assert_eq!(second.expect_response().await.status, 502);
        assert!(third.expect_response().await.answers("a3"));
        for id in ["a1", "a2", "a3"] {
            assert_eq!(world.hosts.arrivals(id), 1, "{id}");
        }
    });
}
