//! Invalid host responses: a client gets the complete response to its own request, or an error.

mod harness;

use harness::{HostAction, Setup, Signal, response, run_scenario, valid_response, wait_until};

/// Encodes a valid response without its last byte.
fn truncated_response(id: &str) -> Vec<u8> {
    let mut bytes = valid_response(id);
    bytes.pop();
    bytes
}

#[test]
fn response_without_matching_attempt_id_or_seal_is_not_forwarded() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness
            .expect_bad_gateway("a1", |_| vec![HostAction::Write(valid_response("other"))])
            .await;
        harness
            .expect_bad_gateway("a2", |_| {
                let bytes = b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n";
                vec![HostAction::Write(bytes.to_vec())]
            })
            .await;
        harness
            .expect_bad_gateway("a3", |request| {
                let unsealed = response("200 OK", request.id(), "Content-Length: 2\r\n", "ok");
                vec![HostAction::Write(unsealed)]
            })
            .await;
        harness
            .expect_bad_gateway("a4", |request| {
                let two_ids = "Attempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n";
                vec![HostAction::Write(response(
                    "200 OK",
                    request.id(),
                    two_ids,
                    "ok",
                ))]
            })
            .await;
        harness
            .expect_bad_gateway("a5", |_| {
                vec![HostAction::Write(b"\x00\x01 no answer\r\n\r\n".to_vec())]
            })
            .await;
    });
}

#[test]
fn not_executed_with_another_attempt_id_is_invalid() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let not_executed = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        for (id, status, headers) in [
            ("a1", "421 Other", not_executed),
            ("a2", "421 Other", "Content-Length: 0\r\n"),
            ("a3", "503 Full", not_executed),
        ] {
            harness
                .expect_bad_gateway(id, move |_| {
                    vec![HostAction::Write(response(status, "other", headers, ""))]
                })
                .await;
        }
    });
}

#[test]
fn not_executed_without_attempt_id_is_accepted_only_on_a_new_connection() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let refusal = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        // The first response on a connection can only belong to its only request.
        harness.hosts.respond_next(move |_| refusal.to_vec());
        let response = harness.request("POST", "/m/x", "a1").await;
        assert_eq!(
            (response.status, harness.hosts.request_count("a1")),
            (503, 1)
        );

        // On a reused connection it may be a second response to the previous request.
        let kept = harness.make_idle_connection("a2").await;
        harness
            .expect_bad_gateway("a3", move |_| vec![HostAction::Write(refusal.to_vec())])
            .await;
        assert_eq!(harness.hosts.connection_of("a3"), kept);
    });
}

#[test]
fn retryable_status_without_not_executed_is_not_forwarded() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        for (id, status) in [("a1", "503 Busy"), ("a2", "429 Busy"), ("a3", "408 Slow")] {
            harness
                .expect_bad_gateway(id, move |request| {
                    let bytes = response(status, request.id(), "Content-Length: 0\r\n", "");
                    vec![HostAction::Write(bytes)]
                })
                .await;
        }
    });
}

#[test]
fn host_500_response_is_forwarded() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let headers = "Response-Seal: s\r\nContent-Length: 3\r\n";
        harness
            .hosts
            .respond_next(move |request| response("500 Bad", request.id(), headers, "bad"));

        let response = harness.request("POST", "/m/x", "a1").await;

        assert_eq!(
            (
                response.status,
                response.body.as_slice(),
                harness.hosts.request_count("a1")
            ),
            (500, b"bad".as_slice(), 1)
        );
        assert_eq!(response.header("response-seal"), Some("s"));
    });
}

#[test]
fn surplus_response_after_a_complete_one_is_discarded() {
    run_scenario(Setup::DEFAULT, async |harness| {
        harness.hosts.respond_next(|request| {
            [valid_response(request.id()), valid_response(request.id())].concat()
        });
        let mut client = harness.connect_client().await;
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.expect_response().await.is_valid_for("a1"));
        let first = harness.hosts.connection_of("a1");

        client.send_request("POST", "/m/x", "a2", "", b"").await;

        let response = client.expect_response().await;
        assert!(response.is_valid_for("a2"), "{response:?}");
        assert_ne!(harness.hosts.connection_of("a2"), first);
        wait_until("the connection is closed", || {
            harness.hosts.is_closed(first)
        })
        .await;
    });
}

#[test]
fn bytes_beyond_the_content_length_are_discarded() {
    run_scenario(Setup::DEFAULT, async |harness| {
        harness.hosts.respond_next(|request| {
            [valid_response(request.id()), b"and more of it".to_vec()].concat()
        });

        let response = harness.request("POST", "/m/x", "a1").await;

        assert!(response.is_valid_for("a1"), "{response:?}");
        let first = harness.hosts.connection_of("a1");
        wait_until("the connection is closed", || {
            harness.hosts.is_closed(first)
        })
        .await;
        harness.expect_valid_exchange("a2").await;
    });
}

#[test]
fn duplicate_of_an_earlier_response_is_not_forwarded() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        // Either host may be chosen; the script runs at whichever it is.
        harness.expect_valid_exchange("a1").await;
        harness
            .expect_bad_gateway("a2", |_| vec![HostAction::Write(valid_response("a1"))])
            .await;

        // A read-only request is retried at the other host.
        harness.expect_valid_exchange("a3").await;
        harness.hosts.respond_next(|_| valid_response("a3"));
        let response = harness.request("GET", "/r/x", "a4").await;
        assert!(response.is_valid_for("a4"), "{response:?}");
        assert_eq!(harness.hosts.request_count("a4"), 2);
    });
}

#[test]
fn surplus_response_closes_an_idle_connection() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let surplus = Signal::default();
        let host_signal = surplus.clone();
        harness.hosts.script_next(move |request| {
            vec![
                HostAction::Write(valid_response(request.id())),
                HostAction::Wait(host_signal),
                HostAction::Write(valid_response(request.id())),
            ]
        });
        let first = harness.make_idle_connection("a1").await;

        surplus.notify();

        wait_until("the connection is closed", || {
            harness.hosts.is_closed(first)
        })
        .await;
        harness.expect_valid_exchange("a2").await;
        assert_ne!(harness.hosts.connection_of("a2"), first);
    });
}

#[test]
fn truncated_response_is_not_forwarded() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness
            .expect_bad_gateway("a1", |request| {
                let bytes = truncated_response(request.id());
                vec![HostAction::Write(bytes), HostAction::Close]
            })
            .await;
        harness
            .expect_bad_gateway("a2", |request| {
                let bytes = truncated_response(request.id());
                vec![HostAction::Write(bytes), HostAction::Reset]
            })
            .await;
        harness
            .expect_bad_gateway("a3", |request| {
                let part_of_head = valid_response(request.id())[..30].to_vec();
                vec![HostAction::Write(part_of_head), HostAction::Close]
            })
            .await;
        harness
            .expect_bad_gateway("a4", |request| {
                let chunked = "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n";
                let bytes = response("200 OK", request.id(), chunked, "3\r\nabc\r\n");
                vec![HostAction::Write(bytes), HostAction::Close]
            })
            .await;
    });
}

#[test]
fn response_with_ambiguous_framing_is_not_forwarded() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        // Without a length or chunks the body ends with the connection, as a truncated one does.
        harness
            .expect_bad_gateway("a5", |request| {
                let bytes = response("200 OK", request.id(), "Response-Seal: s\r\n", "abc");
                vec![HostAction::Write(bytes), HostAction::Close]
            })
            .await;
        let both = "Response-Seal: s\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n";
        let two = "Response-Seal: s\r\nContent-Length: 3\r\nContent-Length: 2\r\n";
        for (id, status, headers, body) in [
            ("a6", "200 OK", both, "3\r\nabc\r\n0\r\n\r\n"),
            ("a7", "200 OK", two, "abc"),
            ("a8", "101 Switching", "Upgrade: x\r\n", ""),
        ] {
            harness
                .expect_bad_gateway(id, move |request| {
                    vec![HostAction::Write(response(
                        status,
                        request.id(),
                        headers,
                        body,
                    ))]
                })
                .await;
        }
    });
}

#[test]
fn truncated_streamed_response_aborts_the_client_response() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let long = "x".repeat(600_000);
        let half = long[..500_000].to_string();
        let headers = format!("Response-Seal: s\r\nContent-Length: {}\r\n", long.len());
        let (complete_headers, truncated_headers) = (headers.clone(), headers);

        harness.hosts.respond_next(move |request| {
            response("200 OK", request.id(), &complete_headers, &long)
        });
        let complete = harness.request("GET", "/r/x", "a1").await;
        harness.hosts.script_next(move |request| {
            let bytes = response("200 OK", request.id(), &truncated_headers, &half);
            vec![HostAction::Write(bytes), HostAction::Close]
        });
        let truncated = harness.request("GET", "/r/x", "a2").await;

        assert_eq!(
            (complete.status, complete.is_complete, complete.body.len()),
            (200, true, 600_000)
        );
        assert_eq!(
            (
                truncated.status,
                truncated.is_complete,
                harness.hosts.request_count("a2")
            ),
            (200, false, 1)
        );
        harness.expect_valid_exchange("a3").await;
    });
}

#[test]
fn responses_without_a_body_are_complete() {
    run_scenario(Setup::DEFAULT, async |harness| {
        harness
            .hosts
            .respond_next(|request| response("204 None", request.id(), "Response-Seal: s\r\n", ""));
        let no_content = harness.request("POST", "/m/x", "a1").await;
        assert_eq!(
            (
                no_content.status,
                no_content.is_complete,
                no_content.body.len()
            ),
            (204, true, 0)
        );

        harness.hosts.respond_next(|request| {
            let headers = "Response-Seal: s\r\nContent-Length: 5\r\n";
            response("200 OK", request.id(), headers, "")
        });
        let mut client = harness.connect_client().await;
        client.send_request("HEAD", "/r/x", "a2", "", b"").await;
        let head_only = client.expect_response_to_head().await;
        assert_eq!(
            (head_only.status, head_only.header("content-length")),
            (200, Some("5"))
        );

        // The client connection has no body bytes left before the next response.
        client.send_request("POST", "/m/x", "a3", "", b"").await;
        assert!(client.expect_response().await.is_valid_for("a3"));
    });
}
