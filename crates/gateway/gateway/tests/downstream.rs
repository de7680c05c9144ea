//! What clients may do with their connections: several requests at once, half ones, bytes that are no request, going away,
//! resting.

mod world;

use std::time::Duration;
use world::{HostAction, Setup, Signal, pause, response, run_scenario, wait_until};

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    run_scenario(Setup::DEFAULT, async |world| {
        let mut client = world.connect_client().await;
        let get =
            |id: &str| format!("GET /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\r\n");
        let first_response = world.hosts.delay_next();

        client
            .write((get("a1") + &get("a2") + &get("a3")).as_bytes())
            .await;
        wait_until("the first came", || world.hosts.arrivals("a1") == 1).await;

        assert_eq!(world.hosts.arrivals("a2"), 0, "one at a time");
        first_response.give();
        for id in ["a1", "a2", "a3"] {
            let response = client.expect_response().await;
            assert!(response.answers(id), "{id}: {response:?}");
        }
    });
}

#[test]
fn part_of_a_second_request_does_not_disturb_the_first() {
    run_scenario(Setup::DEFAULT, async |world| {
        let mut client = world.connect_client().await;
        let first_response = world.hosts.delay_next();
        client.send_request("POST", "/m/x", "a1", "", b"abc").await;
        wait_until("the first came", || world.hosts.arrivals("a1") == 1).await;

        client.write(b"POST /m/x HTTP/1.1\r\nHost: a.exam").await;
        first_response.give();

        assert!(client.expect_response().await.answers("a1"));
        client
            .write(b"ple\r\nAttempt-Id: a2\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert!(client.expect_response().await.answers("a2"));
    });
}

#[test]
fn bytes_that_are_no_request_end_the_connection_after_its_responses() {
    run_scenario(Setup::DEFAULT, async |world| {
        let mut client = world.connect_client().await;
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.expect_response().await.answers("a1"));

        client.write(b"\x00\x01\x02 what\r\n\r\n").await;

        assert_eq!(client.expect_response().await.status, 400);
        assert!(client.is_closed_by_gateway().await);
        assert_eq!(world.hosts.requests().len(), 1);
    });
}

#[test]
fn a_request_whose_client_disconnects_is_cancelled_and_not_retried() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let mut client = world.connect_client().await;
        world
            .hosts
            .script_next(|_| vec![HostAction::StopResponding]);
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        wait_until("it came", || world.hosts.arrivals("a1") == 1).await;

        drop(client);

        wait_until("the host is told", || {
            world.hosts.is_closed(world.hosts.connection_of("a1"))
        })
        .await;
        assert!(world.request("POST", "/m/x", "a2").await.answers("a2"));
        assert_eq!(world.hosts.arrivals("a1"), 1);
    });
}

#[test]
fn a_client_may_rest_for_four_fifths_of_its_idle_timeout_after_a_long_response() {
    let setup = Setup {
        idle_timeout: Duration::from_secs(4),
        ..Setup::DEFAULT
    };
    run_scenario(setup, async |world| {
        let (rest_of_body, mut client) = (Signal::default(), world.connect_client().await);
        let waits = rest_of_body.clone();
        world.hosts.script_next(move |request| {
            let headers = format!("Response-Seal: s\r\nContent-Length: {}\r\n", 600_000);
            let head = response("200 OK", request.id(), &headers, "");
            let (first, rest) = (vec![b'x'; 400_000], vec![b'x'; 200_000]);
            vec![
                HostAction::Write([head, first].concat()),
                HostAction::Wait(waits),
                HostAction::Write(rest),
            ]
        });

        client.send_request("GET", "/r/x", "a1", "", b"").await;
        wait_until("it came", || world.hosts.arrivals("a1") == 1).await;
        // The response takes longer than a connection may rest.
        pause(Duration::from_millis(4_400)).await;
        rest_of_body.give();
        assert!(client.expect_response().await.whole);

        for id in ["a2", "a3"] {
            pause(Duration::from_millis(2_900)).await;
            client.send_request("POST", "/m/x", id, "", b"").await;
            let response = client.next_response().await;
            let response = response.expect("the connection is still good");
            assert!(response.answers(id), "{response:?}");
        }
        assert!(
            client.is_closed_by_gateway().await,
            "in the end it is closed"
        );
    });
}

#[test]
fn a_frozen_gateway_serves_a_request_that_arrived_meanwhile() {
    let setup = Setup {
        idle_timeout: Duration::from_secs(1),
        ..Setup::DEFAULT
    };
    run_scenario(setup, async |world| {
        let mut client = world.connect_client().await;
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.expect_response().await.answers("a1"));

        world.freeze_gateway().await;
        client.send_request("POST", "/m/x", "a2", "", b"").await;
        pause(Duration::from_millis(1_500)).await;
        world.thaw_gateway();

        let response = client.next_response().await;
        let response = response.expect("it came in time, though it was read late");
        assert!(response.answers("a2"), "{response:?}");
    });
}
