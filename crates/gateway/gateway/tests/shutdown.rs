//! Shutdown after SIGTERM: each request that the gateway has read gets a complete answer before the process exits, and
//! no request is ended early at a host that may be at work.

mod harness;

use harness::{
    Client, Harness, HostAction, Setup, pause, response, run_scenario, valid_response, wait_until,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Long enough that the margin before its end is not used up by a busy machine.
const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// A pending request may be ended only in the last sixth of the grace period.
const EARLIEST_END: Duration = Duration::from_millis(GRACE_PERIOD.as_millis() as u64 * 5 / 6);
const SHORT_GRACE: Setup = Setup {
    grace_period: GRACE_PERIOD,
    ..Setup::DEFAULT
};

/// Sends a request whose host never answers, and returns its client once the request has reached the host.
async fn send_to_silent_host(harness: &Harness, method: &str, path: &str, id: &str) -> Client {
    harness
        .hosts
        .script_next(|_| vec![HostAction::StopResponding]);
    send_and_wait(harness, method, path, id).await
}

async fn send_and_wait(harness: &Harness, method: &str, path: &str, id: &str) -> Client {
    let mut client = harness.connect_client().await;
    let headers = "Operation-Key: k1\r\n";
    client.send_request(method, path, id, headers, b"").await;
    wait_until("the request arrives", || {
        harness.hosts.request_count(id) == 1
    })
    .await;
    client
}

/// Expects that a request at a silent host gets 504 in the last sixth of the grace period, and that the process exits
/// before the platform would kill it. The deadline, 10 s, is past the grace period. Returns the log.
async fn expect_gateway_timeout_at_drain_end(
    harness: &Harness,
    method: &str,
    path: &str,
) -> String {
    let mut client = send_to_silent_host(harness, method, path, "a1").await;
    let terminated_at = Instant::now();
    harness.terminate_gateway();

    let response = client.next_response().await;
    let response = response.expect("an answer before the end of the connection");
    assert_eq!(
        (response.status, response.is_complete),
        (504, true),
        "{response:?}"
    );
    assert!(
        terminated_at.elapsed() >= EARLIEST_END,
        "the request was ended too early, after {:?}",
        terminated_at.elapsed()
    );
    assert!(client.is_closed_by_gateway().await);
    let log = harness.gateway_exit().await;
    assert!(
        terminated_at.elapsed() < GRACE_PERIOD,
        "the platform kills the process after {GRACE_PERIOD:?}"
    );
    assert_eq!(harness.hosts.request_count("a1"), 1, "not sent again");
    log
}

/// Guards against LOST: a read at a silent host ended with its connection when the draining process exited.
#[test]
fn pending_read_gets_an_answer_before_a_draining_gateway_exits() {
    run_scenario(SHORT_GRACE, async |harness| {
        expect_gateway_timeout_at_drain_end(&harness, "GET", "/r/x").await;
    });
}

/// Guards against LOST: a mutating request at a silent host ended with its connection when the process exited.
#[test]
fn pending_mutating_request_gets_an_answer_before_a_draining_gateway_exits() {
    run_scenario(SHORT_GRACE, async |harness| {
        expect_gateway_timeout_at_drain_end(&harness, "POST", "/m/x").await;
    });
}

/// Guards against LOST: an operation's client got no answer, and against TWICE: the claim has to stay.
#[test]
fn pending_operation_gets_an_answer_and_keeps_its_claim_when_a_gateway_drains() {
    run_scenario(SHORT_GRACE, async |harness| {
        expect_gateway_timeout_at_drain_end(&harness, "POST", "/k/x").await;
        assert_eq!(harness.controllers.withdrawal_count(0), 0);
    });
}

/// Guards against an exit whose log does not tell how pending requests were ended.
#[test]
fn log_of_a_drained_gateway_tells_how_pending_requests_were_ended() {
    run_scenario(SHORT_GRACE, async |harness| {
        let log = expect_gateway_timeout_at_drain_end(&harness, "GET", "/r/x").await;
        let line = log.lines().find(|line| line.contains("event=stopped"));
        let line = line.expect("the exit is logged");
        for field in [
            "why=sigterm",
            "open_requests=0",
            "running_operations=0",
            "ended_at_drain_end=1",
            "timed_out=1",
            "rejected=0",
            "longest_wait_ms=3",
        ] {
            assert!(line.contains(field), "{field} in {line}");
        }
    });
}

/// Guards against LOST: a request sent to a host while the gateway drains, with a deadline past the drain's end.
#[test]
fn request_that_arrives_while_a_gateway_drains_is_served_with_a_deadline_that_fits() {
    run_scenario(SHORT_GRACE, async |harness| {
        let mut client = harness.connect_client().await;
        client.send_request("GET", "/r/x", "a1", "", b"").await;
        assert!(client.expect_response().await.is_valid_for("a1"));
        harness.terminate_gateway();
        pause(GRACE_PERIOD / 8).await;

        client.send_request("POST", "/m/x", "a2", "", b"").await;

        assert!(client.expect_response().await.is_valid_for("a2"));
        let requests = harness.hosts.requests();
        let deadline = requests[1].header("deadline-milliseconds");
        let deadline_ms: u128 = deadline.expect("a deadline").parse().expect("a number");
        assert!(
            deadline_ms < (GRACE_PERIOD * 7 / 8).as_millis(),
            "{deadline_ms}"
        );
    });
}

/// Guards against LOST: a request on a connection opened late in a drain was closed unread, or was sent to a host that
/// could not finish it in time.
#[test]
fn request_on_a_new_connection_late_in_a_drain_is_rejected_and_not_sent() {
    run_scenario(SHORT_GRACE, async |harness| {
        let _pending = send_to_silent_host(&harness, "GET", "/r/x", "a1").await;
        harness.terminate_gateway();
        pause(GRACE_PERIOD * 5 / 8).await;

        let mut client = harness.connect_client().await;
        client.send_request("POST", "/m/x", "a2", "", b"").await;

        let response = client.next_response().await.expect("an answer");
        assert_eq!((response.status, response.is_complete), (503, true));
        assert!(response.header("retry-after").is_some(), "{response:?}");
        assert!(client.is_closed_by_gateway().await);
        assert_eq!(harness.hosts.request_count("a2"), 0);
    });
}

/// Guards against LOST: a kept connection was closed although the head of a request had arrived in part.
#[test]
fn request_whose_head_has_arrived_in_part_is_answered_when_connections_are_closed() {
    run_scenario(SHORT_GRACE, async |harness| {
        let _pending = send_to_silent_host(&harness, "GET", "/r/x", "a1").await;
        let mut client = harness.connect_client().await;
        client.send_request("GET", "/r/x", "a2", "", b"").await;
        assert!(client.expect_response().await.is_valid_for("a2"));
        harness.terminate_gateway();
        pause(GRACE_PERIOD / 4).await;
        client
            .write(b"GET /r/x HTTP/1.1\r\nHost: a.example\r\n")
            .await;
        // Connections are closed before half of the grace period.
        pause(GRACE_PERIOD * 3 / 8).await;
        client.write(b"Attempt-Id: a3\r\n\r\n").await;

        let response = client.next_response().await.expect("an answer");
        assert_eq!((response.status, response.is_complete), (503, true));
        assert_eq!(harness.hosts.request_count("a3"), 0);
    });
}

/// Guards against LOST: an answer that arrives shortly before the drain's end was cut off at a slow reader.
#[test]
fn answer_that_arrives_before_the_drain_ends_is_written_whole_to_a_slow_reader() {
    const BODY_BYTES: usize = 250 << 10;
    run_scenario(SHORT_GRACE, async |harness| {
        let host_may_answer = harness::Signal::default();
        let wait = host_may_answer.clone();
        harness.hosts.script_next(move |request| {
            let headers = format!("Response-Seal: s\r\nContent-Length: {BODY_BYTES}\r\n");
            let body = "x".repeat(BODY_BYTES);
            let bytes = response("200 OK", request.id(), &headers, &body);
            vec![HostAction::Wait(wait), HostAction::Write(bytes)]
        });
        let mut client = send_and_wait(&harness, "GET", "/r/x", "a1").await;
        harness.terminate_gateway();
        pause(GRACE_PERIOD * 3 / 4).await;
        host_may_answer.notify();
        pause(GRACE_PERIOD / 8).await;

        let response = client.expect_response().await;
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.body.len(), BODY_BYTES);
    });
}

/// Queues a streamed answer whose second half the host sends once the returned signal is notified.
fn stream_next(harness: &Harness) -> harness::Signal {
    let signal = harness::Signal::default();
    harness.hosts.stream_next(&signal);
    signal
}

/// Guards against LOST: a streamed answer under way was cut off before the last sixth of the grace period.
#[test]
fn streamed_answer_continues_while_a_gateway_drains() {
    run_scenario(SHORT_GRACE, async |harness| {
        let rest_may_follow = stream_next(&harness);
        let mut client = send_and_wait(&harness, "GET", "/r/x", "a1").await;
        harness.terminate_gateway();
        pause(GRACE_PERIOD * 3 / 4).await;
        rest_may_follow.notify();

        let response = client.expect_response().await;
        assert_eq!((response.status, response.is_complete), (200, true));
    });
}

/// Guards against MIXED: a streamed answer that the exit cuts off must not look complete.
#[test]
fn streamed_answer_that_outlasts_the_drain_is_not_complete() {
    run_scenario(SHORT_GRACE, async |harness| {
        let _rest_never_follows = stream_next(&harness);
        let mut client = send_and_wait(&harness, "GET", "/r/x", "a1").await;
        let terminated_at = Instant::now();
        harness.terminate_gateway();

        let response = client.expect_response().await;
        assert!(!response.is_complete);
        assert!(terminated_at.elapsed() >= EARLIEST_END);
        harness.gateway_exit().await;
        assert!(terminated_at.elapsed() < GRACE_PERIOD);
    });
}

/// Guards against LOST: an operation that its host completes during the drain is answered to its client.
#[test]
fn operation_completed_during_a_drain_is_answered() {
    run_scenario(SHORT_GRACE, async |harness: Rc<Harness>| {
        let host_may_answer = harness::Signal::default();
        let wait = host_may_answer.clone();
        harness.hosts.script_next(move |request| {
            vec![
                HostAction::Wait(wait),
                HostAction::Write(valid_response(request.id())),
            ]
        });
        let mut client = send_and_wait(&harness, "POST", "/k/x", "a1").await;
        harness.terminate_gateway();
        pause(GRACE_PERIOD * 3 / 4).await;
        host_may_answer.notify();

        assert!(client.expect_response().await.is_valid_for("a1"));
        harness.gateway_exit().await;
        assert_eq!(harness.hosts.request_count("a1"), 1);
    });
}
