//! Forwarding and retries: a request that may not be executed twice is retried only after the host did not execute it.

mod harness;

use harness::{
    ConnectionBehavior, Harness, HostAction, Setup, Signal, response, run_scenario, valid_response,
    wait_until,
};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn request_is_forwarded_unchanged_with_expected_instance() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let mut client = harness.connect_client().await;
        let headers = "Deadline-Milliseconds: 4000\r\nX-Other: 7\r\nConnection: x-other\r\n";

        client
            .send_request("POST", "/m/a%20b?c=d", "a1", headers, b"body")
            .await;

        assert!(client.expect_response().await.is_valid_for("a1"));
        let arrived = &harness.hosts.requests()[0];
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
            .expect("the request has Deadline-Milliseconds")
            .parse()
            .expect("Deadline-Milliseconds is a number");
        assert!(left <= 4_000, "{left}");
        assert_eq!(arrived.body, b"body");
    });
}

/// Returns the hosts that received a request, in order of arrival.
fn hosts_tried(harness: &Harness, id: &str) -> Vec<usize> {
    let requests = harness.hosts.requests();
    requests
        .iter()
        .filter(|request| request.id() == id)
        .map(|request| request.host)
        .collect()
}

#[test]
fn mutating_request_is_retried_only_after_not_executed() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let not_executed = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        for (id, status, headers) in [
            ("a1", "503 Full", not_executed),
            ("a2", "429 Full", not_executed),
            ("a3", "421 Other", "Content-Length: 0\r\n"),
        ] {
            harness
                .hosts
                .respond_next(move |request| response(status, request.id(), headers, ""));
            let response = harness.request("POST", "/m/x", id).await;
            assert!(response.is_valid_for(id), "{response:?}");
            let hosts = hosts_tried(&harness, id);
            assert!(hosts == [0, 1] || hosts == [1, 0], "{id}: {hosts:?}");
        }

        // Neither host executes it: no third attempt, and the client gets 503.
        for _ in 0..2 {
            harness
                .hosts
                .respond_next(move |request| response("503 Full", request.id(), not_executed, ""));
        }
        assert_eq!(
            (
                harness.request("POST", "/m/x", "a4").await.status,
                harness.hosts.request_count("a4")
            ),
            (503, 2)
        );
    });
}

#[test]
fn misdirected_request_is_retried_at_the_next_host() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness.hosts.respond_next(|request| {
            response("421 Other", request.id(), "Content-Length: 0\r\n", "")
        });

        let response = harness.request("POST", "/m/x", "a1").await;

        assert!(response.is_valid_for("a1"), "{response:?}");
        for request in harness.hosts.requests() {
            let expected = format!("h{}", request.host);
            assert_eq!(
                request.header("expected-instance"),
                Some(expected.as_str()),
                "each attempt names the host it is sent to"
            );
        }
    });
}

#[test]
fn only_read_only_requests_are_retried_after_a_reset() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness
            .expect_bad_gateway("a1", |_| vec![HostAction::Reset])
            .await;
        harness
            .expect_bad_gateway("a2", |_| vec![HostAction::Close])
            .await;

        harness.hosts.script_next(|_| vec![HostAction::Reset]);
        let response = harness.request("GET", "/r/x", "a3").await;
        assert!(
            response.is_valid_for("a3"),
            "a read-only request is retried: {response:?}"
        );
        assert_eq!(harness.hosts.request_count("a3"), 2);
    });
}

#[test]
fn mutating_request_is_not_retried_after_its_first_byte() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness
            .hosts
            .set_behavior(ConnectionBehavior::ResetsAtFirstByte);

        assert_eq!(harness.request("POST", "/m/x", "a1").await.status, 502);
        assert_eq!(harness.hosts.started_requests(), 1);
        assert_eq!(harness.request("GET", "/r/x", "a2").await.status, 502);
        assert_eq!(
            harness.hosts.started_requests(),
            3,
            "the read-only request was sent to both hosts"
        );
    });
}

#[test]
fn timed_out_request_is_not_retried_and_its_late_response_is_dropped() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let late = Signal::default();
        let host_signal = late.clone();
        harness.hosts.script_next(move |request| {
            vec![
                HostAction::Wait(host_signal),
                HostAction::Write(valid_response(request.id())),
                HostAction::StopResponding,
            ]
        });
        let mut client = harness.connect_client().await;
        let started = Instant::now();
        client
            .send_request("POST", "/m/x", "a1", "Deadline-Milliseconds: 300\r\n", b"")
            .await;
        assert_eq!(client.expect_response().await.status, 504);
        assert!(
            started.elapsed() >= Duration::from_millis(250),
            "the request is not abandoned before its deadline"
        );

        late.notify();
        client.send_request("POST", "/m/x", "a2", "", b"").await;

        assert!(client.expect_response().await.is_valid_for("a2"));
        assert_ne!(
            harness.hosts.connection_of("a1"),
            harness.hosts.connection_of("a2")
        );
        wait_until("the connection is closed", || {
            harness.hosts.is_closed(harness.hosts.connection_of("a1"))
        })
        .await;
        assert_eq!(
            (
                harness.hosts.request_count("a1"),
                harness.hosts.request_count("a2")
            ),
            (1, 1)
        );
    });
}

#[test]
fn request_is_not_retried_when_its_host_stops_reading() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness.hosts.set_behavior(ConnectionBehavior::NeverReads);
        let mut client = harness.connect_client().await;
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
        assert_eq!(
            harness.hosts.connection_count(),
            1,
            "only one host is connected to"
        );
        harness.hosts.set_behavior(ConnectionBehavior::Serves);
        harness.expect_valid_exchange("a2").await;
    });
}

#[test]
fn stalled_gateway_sends_each_request_once_and_matches_responses_to_clients() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let first_response = harness.hosts.delay_next();
        let second_reset = Signal::default();
        let host_signal = second_reset.clone();
        harness
            .hosts
            .script_next(move |_| vec![HostAction::Wait(host_signal), HostAction::Reset]);
        let (mut first, mut second) = (
            harness.connect_client().await,
            harness.connect_client().await,
        );
        first.send_request("POST", "/m/x", "a1", "", b"").await;
        wait_until("the request arrives", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;
        second.send_request("POST", "/m/x", "a2", "", b"").await;
        wait_until("the request arrives", || {
            harness.hosts.request_count("a2") == 1
        })
        .await;

        harness.suspend_gateway().await;
        first_response.notify();
        second_reset.notify();
        wait_until("the second connection is reset", || {
            harness.hosts.is_closed(harness.hosts.connection_of("a2"))
        })
        .await;
        // A third request arrives while the process is stopped.
        let mut third = harness.connect_client().await;
        third.send_request("POST", "/m/x", "a3", "", b"").await;
        harness.resume_gateway();

        assert!(first.expect_response().await.is_valid_for("a1"));
        assert_eq!(second.expect_response().await.status, 502);
        assert!(third.expect_response().await.is_valid_for("a3"));
        for id in ["a1", "a2", "a3"] {
            assert_eq!(harness.hosts.request_count(id), 1, "{id}");
        }
    });
}
