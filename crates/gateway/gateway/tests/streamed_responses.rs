//! Responses that are longer than the buffer, and so are streamed while the host sends them.

mod harness;

use harness::{Setup, Signal, run_scenario, wait_until};

/// A deadline that passes while the host is silent.
const SHORT_DEADLINE: &str = "Deadline-Milliseconds: 1000\r\n";

/// Guards against CONFIG: requests whose host lost power within a long response had no final answer at their route's
/// timeout, nor ever; one with an operation key kept its repeats waiting as well.
#[test]
fn streamed_response_of_a_silent_host_ends_at_the_deadline() {
    run_scenario(Setup::DEFAULT, async |harness| {
        for (path, id, headers) in [
            ("/r/x", "a1", SHORT_DEADLINE.to_string()),
            (
                "/k/x",
                "a2",
                format!("Operation-Key: k1\r\n{SHORT_DEADLINE}"),
            ),
        ] {
            let never = Signal::default();
            harness.hosts.stream_next(&never);
            let mut client = harness.connect_client().await;
            client.send_request("GET", path, id, &headers, b"").await;
            wait_until("the request arrives", || {
                harness.hosts.request_count(id) == 1
            })
            .await;
            let response = client.next_response().await;
            assert!(
                response.is_none_or(|response| !response.is_complete),
                "{path}"
            );
        }
    });
}
