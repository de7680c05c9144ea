//! Client connections: pipelining, partial and malformed requests, disconnects and idle timeouts.

mod harness;

use harness::{HostAction, Setup, Signal, pause, response, run_scenario, wait_until};
use std::time::Duration;

#[test]
fn pipelined_requests_are_answered_in_order() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let mut client = harness.connect_client().await;
        let get =
            |id: &str| format!("GET /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\r\n");
        let first_response = harness.hosts.delay_next();

        client
            .write((get("a1") + &get("a2") + &get("a3")).as_bytes())
            .await;
        wait_until("the first request arrives", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;

        assert_eq!(
            harness.hosts.request_count("a2"),
            0,
            "requests are forwarded one at a time"
        );
        first_response.notify();
        for id in ["a1", "a2", "a3"] {
            let response = client.expect_response().await;
            assert!(response.is_valid_for(id), "{id}: {response:?}");
        }
    });
}

#[test]
fn partial_second_request_does_not_affect_the_first() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let mut client = harness.connect_client().await;
        let first_response = harness.hosts.delay_next();
        client.send_request("POST", "/m/x", "a1", "", b"abc").await;
        wait_until("the first request arrives", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;

        client.write(b"POST /m/x HTTP/1.1\r\nHost: a.exam").await;
        first_response.notify();

        assert!(client.expect_response().await.is_valid_for("a1"));
        client
            .write(b"ple\r\nAttempt-Id: a2\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert!(client.expect_response().await.is_valid_for("a2"));
    });
}

#[test]
fn malformed_request_closes_the_connection_after_earlier_responses() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let mut client = harness.connect_client().await;
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.expect_response().await.is_valid_for("a1"));

        client.write(b"\x00\x01\x02 what\r\n\r\n").await;

        assert_eq!(client.expect_response().await.status, 400);
        assert!(client.is_closed_by_gateway().await);
        assert_eq!(harness.hosts.requests().len(), 1);
    });
}

#[test]
fn request_of_a_disconnected_client_is_cancelled_without_retry() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let mut client = harness.connect_client().await;
        harness
            .hosts
            .script_next(|_| vec![HostAction::StopResponding]);
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        wait_until("the request arrives", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;

        drop(client);

        wait_until("the upstream connection is closed", || {
            harness.hosts.is_closed(harness.hosts.connection_of("a1"))
        })
        .await;
        assert!(
            harness
                .request("POST", "/m/x", "a2")
                .await
                .is_valid_for("a2")
        );
        assert_eq!(harness.hosts.request_count("a1"), 1);
    });
}

#[test]
fn idle_timeout_starts_when_a_long_response_ends() {
    let setup = Setup {
        idle_timeout: Duration::from_secs(4),
        ..Setup::DEFAULT
    };
    run_scenario(setup, async |harness| {
        let (rest_of_body, mut client) = (Signal::default(), harness.connect_client().await);
        let host_signal = rest_of_body.clone();
        harness.hosts.script_next(move |request| {
            let headers = format!("Response-Seal: s\r\nContent-Length: {}\r\n", 600_000);
            let head = response("200 OK", request.id(), &headers, "");
            let (first, rest) = (vec![b'x'; 400_000], vec![b'x'; 200_000]);
            vec![
                HostAction::Write([head, first].concat()),
                HostAction::Wait(host_signal),
                HostAction::Write(rest),
            ]
        });

        client.send_request("GET", "/r/x", "a1", "", b"").await;
        wait_until("the request arrives", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;
        // The response takes longer than the idle timeout.
        pause(Duration::from_millis(4_400)).await;
        rest_of_body.notify();
        assert!(client.expect_response().await.is_complete);

        for id in ["a2", "a3"] {
            pause(Duration::from_millis(2_900)).await;
            client.send_request("POST", "/m/x", id, "", b"").await;
            let response = client.next_response().await;
            let response = response.expect("the connection is still open");
            assert!(response.is_valid_for(id), "{response:?}");
        }
        assert!(
            client.is_closed_by_gateway().await,
            "an idle connection is closed after the timeout"
        );
    });
}

#[test]
fn request_received_during_a_process_stall_is_served() {
    let setup = Setup {
        idle_timeout: Duration::from_secs(1),
        ..Setup::DEFAULT
    };
    run_scenario(setup, async |harness| {
        let mut client = harness.connect_client().await;
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.expect_response().await.is_valid_for("a1"));

        harness.suspend_gateway().await;
        client.send_request("POST", "/m/x", "a2", "", b"").await;
        pause(Duration::from_millis(1_500)).await;
        harness.resume_gateway();

        let response = client.next_response().await;
        let response = response.expect("the request arrived before the idle timeout");
        assert!(response.is_valid_for("a2"), "{response:?}");
    });
}
