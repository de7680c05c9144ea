//! Limits of the attempts for one request: their number, and the deadline sent to each host.

mod harness;

use harness::{
    Harness, HostAction, HostRequest, Setup, Signal, pause, response, run_scenario, wait_until,
};
use std::time::Duration;

/// `maximum_attempts` of each route in the harness's configuration.
const MAX_ATTEMPTS: usize = 2;
/// `timeout_s` of each route in the harness's configuration, in ms.
const ROUTE_TIMEOUT_MS: u64 = 10_000;
const FOUR_HOSTS: Setup = Setup {
    hosts: 4,
    ..Setup::DEFAULT
};

/// Returns the value of `Deadline-Milliseconds` that a host received.
fn deadline_ms(request: &HostRequest) -> u64 {
    let header = request.header("deadline-milliseconds");
    let header = header.expect("the request has Deadline-Milliseconds");
    header.parse().expect("Deadline-Milliseconds is a number")
}

fn script_failures(harness: &Harness, count: usize, failure: fn(&HostRequest) -> Vec<HostAction>) {
    for _ in 0..count {
        harness.hosts.script_next(failure);
    }
}

#[test]
fn attempts_stop_at_the_route_maximum() {
    run_scenario(FOUR_HOSTS, async |harness| {
        let refuse = |request: &HostRequest| {
            let not_executed = "Not-Executed: 1\r\nContent-Length: 0\r\n";
            vec![HostAction::Write(response(
                "503 Full",
                request.id(),
                not_executed,
                "",
            ))]
        };
        script_failures(&harness, MAX_ATTEMPTS, refuse);
        assert_eq!(harness.request("POST", "/m/x", "a1").await.status, 503);
        assert_eq!(harness.hosts.request_count("a1"), MAX_ATTEMPTS);

        script_failures(&harness, MAX_ATTEMPTS, |_| vec![HostAction::Close]);
        assert_eq!(harness.request("GET", "/r/x", "a2").await.status, 502);
        assert_eq!(harness.hosts.request_count("a2"), MAX_ATTEMPTS);
    });
}

#[test]
fn retry_carries_the_remaining_client_deadline() {
    run_scenario(FOUR_HOSTS, async |harness| {
        const DEADLINE_MS: u64 = 4_000;
        const DELAY: Duration = Duration::from_millis(300);
        let signal = Signal::default();
        let fails = signal.clone();
        harness
            .hosts
            .script_next(move |_| vec![HostAction::Wait(fails), HostAction::Close]);
        let mut client = harness.connect_client().await;
        let headers = format!("Deadline-Milliseconds: {DEADLINE_MS}\r\n");
        client
            .send_request("GET", "/r/x", "a1", &headers, b"")
            .await;
        wait_until("the first attempt arrives", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;
        pause(DELAY).await;
        signal.notify();

        assert!(client.expect_response().await.is_valid_for("a1"));
        let requests = harness.hosts.requests();
        let deadlines_ms: Vec<u64> = requests.iter().map(deadline_ms).collect();
        let delay_ms = DELAY.as_millis() as u64;
        assert_eq!(deadlines_ms.len(), MAX_ATTEMPTS, "{deadlines_ms:?}");
        assert!(deadlines_ms[0] <= DEADLINE_MS, "{deadlines_ms:?}");
        assert!(
            deadlines_ms[1] <= DEADLINE_MS - delay_ms,
            "{deadlines_ms:?}"
        );
    });
}

#[test]
fn route_timeout_is_the_deadline_when_the_client_sends_none() {
    run_scenario(Setup::DEFAULT, async |harness| {
        for (method, path, id) in [("GET", "/r/x", "a1"), ("POST", "/m/x", "a2")] {
            assert!(harness.request(method, path, id).await.is_valid_for(id));
        }
        for request in harness.hosts.requests() {
            let deadline_ms = deadline_ms(&request);
            assert!(deadline_ms <= ROUTE_TIMEOUT_MS, "{deadline_ms}");
        }
    });
}
