//! What hosts may do to a response, and what may come of it: each client gets the response to its own request, whole, or
//! none.

mod world;

use world::{HostAction, Setup, Signal, response, run_scenario, valid_response, wait_until};

/// The host's answer without its last byte.
fn truncated_response(id: &str) -> Vec<u8> {
    let mut bytes = valid_response(id);
    bytes.pop();
    bytes
}

#[test]
fn a_response_with_another_attempt_id_or_none_is_not_passed_on() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world
            .expect_bad_gateway("a1", |_| vec![HostAction::Write(valid_response("other"))])
            .await;
        world
            .expect_bad_gateway("a2", |_| {
                let bytes = b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n";
                vec![HostAction::Write(bytes.to_vec())]
            })
            .await;
        world
            .expect_bad_gateway("a3", |request| {
                let unsealed = response("200 OK", request.id(), "Content-Length: 2\r\n", "ok");
                vec![HostAction::Write(unsealed)]
            })
            .await;
        world
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
        world
            .expect_bad_gateway("a5", |_| {
                vec![HostAction::Write(b"\x00\x01 no answer\r\n\r\n".to_vec())]
            })
            .await;
    });
}

#[test]
fn a_refusal_with_another_attempt_id_says_nothing_of_this_request() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let not_executed = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        for (id, status, headers) in [
            ("a1", "421 Other", not_executed),
            ("a2", "421 Other", "Content-Length: 0\r\n"),
            ("a3", "503 Full", not_executed),
        ] {
            world
                .expect_bad_gateway(id, move |_| {
                    vec![HostAction::Write(response(status, "other", headers, ""))]
                })
                .await;
        }
    });
}

#[test]
fn a_refusal_without_an_attempt_id_counts_only_on_a_new_connection() {
    run_scenario(Setup::DEFAULT, async |world| {
        let refusal = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        // The first answer on a connection can only be that of its only request.
        world.hosts.respond_next(move |_| refusal.to_vec());
        let response = world.request("POST", "/m/x", "a1").await;
        assert_eq!((response.status, world.hosts.arrivals("a1")), (503, 1));

        // On one that was used before it may be a second answer to the request before.
        let kept = world.make_idle_connection("a2").await;
        world
            .expect_bad_gateway("a3", move |_| vec![HostAction::Write(refusal.to_vec())])
            .await;
        assert_eq!(world.hosts.connection_of("a3"), kept);
    });
}

#[test]
fn a_promise_that_the_host_did_not_give_is_not_passed_on() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        for (id, status) in [("a1", "503 Busy"), ("a2", "429 Busy"), ("a3", "408 Slow")] {
            world
                .expect_bad_gateway(id, move |request| {
                    let bytes = response(status, request.id(), "Content-Length: 0\r\n", "");
                    vec![HostAction::Write(bytes)]
                })
                .await;
        }
    });
}

#[test]
fn a_hosts_own_failure_is_passed_on() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let headers = "Response-Seal: s\r\nContent-Length: 3\r\n";
        world
            .hosts
            .respond_next(move |request| response("500 Bad", request.id(), headers, "bad"));

        let response = world.request("POST", "/m/x", "a1").await;

        assert_eq!(
            (
                response.status,
                response.body.as_slice(),
                world.hosts.arrivals("a1")
            ),
            (500, b"bad".as_slice(), 1)
        );
        assert_eq!(response.header("response-seal"), Some("s"));
    });
}

#[test]
fn bytes_after_a_whole_response_reach_nobody() {
    run_scenario(Setup::DEFAULT, async |world| {
        world.hosts.respond_next(|request| {
            [valid_response(request.id()), valid_response(request.id())].concat()
        });
        let mut client = world.connect_client().await;
        client.send_request("POST", "/m/x", "a1", "", b"").await;
        assert!(client.expect_response().await.answers("a1"));
        let first = world.hosts.connection_of("a1");

        client.send_request("POST", "/m/x", "a2", "", b"").await;

        let response = client.expect_response().await;
        assert!(response.answers("a2"), "{response:?}");
        assert_ne!(world.hosts.connection_of("a2"), first);
        wait_until("the connection is closed", || world.hosts.is_closed(first)).await;
    });
}

#[test]
fn a_body_that_is_longer_than_its_length_ends_at_it() {
    run_scenario(Setup::DEFAULT, async |world| {
        world.hosts.respond_next(|request| {
            [valid_response(request.id()), b"and more of it".to_vec()].concat()
        });

        let response = world.request("POST", "/m/x", "a1").await;

        assert!(response.answers("a1"), "{response:?}");
        let first = world.hosts.connection_of("a1");
        wait_until("the connection is closed", || world.hosts.is_closed(first)).await;
        world.expect_valid_exchange("a2").await;
    });
}

#[test]
fn a_surplus_response_in_place_of_the_next_one_is_not_passed_on() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        // Two connections rest at each host or less; the script answers whichever is taken.
        world.expect_valid_exchange("a1").await;
        world
            .expect_bad_gateway("a2", |_| vec![HostAction::Write(valid_response("a1"))])
            .await;

        // One that may be repeated goes to the other host.
        world.expect_valid_exchange("a3").await;
        world.hosts.respond_next(|_| valid_response("a3"));
        let response = world.request("GET", "/r/x", "a4").await;
        assert!(response.answers("a4"), "{response:?}");
        assert_eq!(world.hosts.arrivals("a4"), 2);
    });
}

#[test]
fn a_surplus_response_on_an_idle_connection_ends_it() {
    run_scenario(Setup::DEFAULT, async |world| {
        let surplus = Signal::default();
        let waits = surplus.clone();
        world.hosts.script_next(move |request| {
            vec![
                HostAction::Write(valid_response(request.id())),
                HostAction::Wait(waits),
                HostAction::Write(valid_response(request.id())),
            ]
        });
        let first = world.make_idle_connection("a1").await;

        surplus.give();

        wait_until("the connection is closed", || world.hosts.is_closed(first)).await;
        world.expect_valid_exchange("a2").await;
        assert_ne!(world.hosts.connection_of("a2"), first);
    });
}

#[test]
fn a_response_that_breaks_off_is_not_passed_on() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world
            .expect_bad_gateway("a1", |request| {
                let bytes = truncated_response(request.id());
                vec![HostAction::Write(bytes), HostAction::Close]
            })
            .await;
        world
            .expect_bad_gateway("a2", |request| {
                let bytes = truncated_response(request.id());
                vec![HostAction::Write(bytes), HostAction::Reset]
            })
            .await;
        world
            .expect_bad_gateway("a3", |request| {
                let part_of_head = valid_response(request.id())[..30].to_vec();
                vec![HostAction::Write(part_of_head), HostAction::Close]
            })
            .await;
        world
            .expect_bad_gateway("a4", |request| {
                let chunked = "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n";
                let bytes = response("200 OK", request.id(), chunked, "3\r\nabc\r\n");
                vec![HostAction::Write(bytes), HostAction::Close]
            })
            .await;
    });
}

#[test]
fn a_response_whose_end_is_not_certain_is_not_passed_on() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        // Without a length or chunks its end is the connection's end, which a broken-off one has too.
        world
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
            world
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
fn a_streamed_response_that_breaks_off_breaks_off_for_the_client() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let long = "x".repeat(600_000);
        let half = long[..500_000].to_string();
        let headers = format!("Response-Seal: s\r\nContent-Length: {}\r\n", long.len());
        let (headers_of_whole, headers_of_half) = (headers.clone(), headers);

        world.hosts.respond_next(move |request| {
            response("200 OK", request.id(), &headers_of_whole, &long)
        });
        let whole = world.request("GET", "/r/x", "a1").await;
        world.hosts.script_next(move |request| {
            let bytes = response("200 OK", request.id(), &headers_of_half, &half);
            vec![HostAction::Write(bytes), HostAction::Close]
        });
        let broken_off = world.request("GET", "/r/x", "a2").await;

        assert_eq!(
            (whole.status, whole.whole, whole.body.len()),
            (200, true, 600_000)
        );
        assert_eq!(
            (
                broken_off.status,
                broken_off.whole,
                world.hosts.arrivals("a2")
            ),
            (200, false, 1)
        );
        world.expect_valid_exchange("a3").await;
    });
}

#[test]
fn responses_without_a_body_are_whole() {
    run_scenario(Setup::DEFAULT, async |world| {
        world
            .hosts
            .respond_next(|request| response("204 None", request.id(), "Response-Seal: s\r\n", ""));
        let no_content = world.request("POST", "/m/x", "a1").await;
        assert_eq!(
            (no_content.status, no_content.whole, no_content.body.len()),
            (204, true, 0)
        );

        world.hosts.respond_next(|request| {
            let headers = "Response-Seal: s\r\nContent-Length: 5\r\n";
            response("200 OK", request.id(), headers, "")
        });
        let mut client = world.connect_client().await;
        client.send_request("HEAD", "/r/x", "a2", "", b"").await;
        let head_only = client.expect_response_to_head().await;
        assert_eq!(
            (head_only.status, head_only.header("content-length")),
            (200, Some("5"))
        );

        // Nothing of a body is left on the connection to the client.
        client.send_request("POST", "/m/x", "a3", "", b"").await;
        assert!(client.expect_response().await.answers("a3"));
    });
}
