//! Repeats of an operation get its response whatever has become of the gateway that ran it, and however long it is (rule
//! DENIED).

mod harness;

use harness::{
    ClientResponse, Harness, HostAction, STREAMED_HALF_BYTES, Setup, Signal, pause, response,
    run_scenario, wait_until,
};
use rushcourse_messages::{ClaimId, ClaimVerdict, KeyHolder};
use rushcourse_types::NodeId;
use std::time::Duration;

const THREE_CONTROLLERS: Setup = Setup {
    controllers: 3,
    ..Setup::DEFAULT
};
/// One controller in the zone of the gateway; one may lose its disk.
const FOUR_ZONES: Setup = Setup {
    controllers: 4,
    has_zones: true,
    tolerated_losses: 1,
    ..Setup::DEFAULT
};
/// One controller in the zone of the gateway; two may lose their disks.
const FIVE_ZONES: Setup = Setup {
    controllers: 5,
    tolerated_losses: 2,
    ..FOUR_ZONES
};
/// 150 KB for stored responses, 37.5 KB for a single one.
const LITTLE_MEMORY: Setup = Setup {
    memory_mb: 1.0,
    ..THREE_CONTROLLERS
};

/// Runs operation `k1` with attempt `a1` and waits until its response is replicated.
async fn run_replicated_operation(harness: &Harness) {
    let first = harness.request_operation("k1", "a1").await;
    assert!(first.is_valid_for("a1"), "{first:?}");
    wait_until_replicated(harness, 1).await;
}

async fn wait_until_replicated(harness: &Harness, responses: usize) {
    wait_until("the responses are replicated", || {
        harness.controllers.stored_shards() >= responses * harness.shards_of_a_response()
    })
    .await;
}

/// Asserts that a repeat of operation `k1` got the response to attempt `a1`, and that no repeat ran.
fn assert_first_response(harness: &Harness, repeat: &ClientResponse) {
    assert_eq!(
        (repeat.status, repeat.header("response-seal")),
        (200, Some("seal-a1")),
        "{repeat:?}"
    );
    assert_eq!(repeat.body, b"answer to a1");
    assert_eq!(harness.hosts.requests().len(), 1, "executed once");
}

/// Asserts that a response has the whole body of [`harness::Hosts::stream_next`].
fn assert_whole_stream(repeat: &ClientResponse) {
    assert_eq!(
        (repeat.status, repeat.header("response-seal")),
        (200, Some("s"))
    );
    assert!(repeat.is_complete && repeat.body == vec![b'x'; 2 * STREAMED_HALF_BYTES]);
}

/// Guards against DENIED: the response of a gateway that was killed was lost, and repeats got 409.
#[test]
fn response_of_a_killed_gateway_is_replayed() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        run_replicated_operation(&harness).await;
        harness.kill_gateway().await;
        harness.restart_gateway().await;
        let repeat = harness.request_operation("k1", "a2").await;
        assert_first_response(&harness, &repeat);
        assert_eq!(repeat.header("attempt-id"), Some("a2"));
    });
}

/// Guards against DENIED: the response of a gateway was lost with the disk of the only controller that stored it, when all
/// machines lost power.
#[test]
fn response_survives_the_loss_of_its_gateway_and_of_the_disk_in_its_zone() {
    run_scenario(FOUR_ZONES, async |harness| {
        run_replicated_operation(&harness).await;
        harness.kill_gateway().await;
        harness.controllers.lose_response_store(0);
        harness.restart_gateway().await;
        let repeat = harness.request_operation("k1", "a2").await;
        assert_first_response(&harness, &repeat);
    });
}

/// Guards against DENIED: as many disks as may be lost at once take a response with them, whichever these are.
#[test]
fn response_survives_the_loss_of_any_two_disks() {
    for lost in [[0, 1], [0, 4], [2, 3]] {
        run_scenario(FIVE_ZONES, async |harness| {
            run_replicated_operation(&harness).await;
            harness.kill_gateway().await;
            for controller in lost {
                harness.controllers.lose_response_store(controller);
            }
            harness.restart_gateway().await;
            let repeat = harness.request_operation("k1", "a2").await;
            assert_first_response(&harness, &repeat);
        });
    }
}

/// Guards against DENIED: a gateway ended after SIGTERM without handing over the response that it had just given.
#[test]
fn response_given_just_before_a_shutdown_is_replayed() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let first = harness.request_operation("k1", "a1").await;
        assert!(first.is_valid_for("a1"), "{first:?}");
        harness.terminate_gateway();
        harness.gateway_exit().await;
        assert!(harness.controllers.stored_shards() >= 1);
        harness.restart_gateway().await;
        let repeat = harness.request_operation("k1", "a2").await;
        assert_first_response(&harness, &repeat);
    });
}

/// Guards against DENIED: a gateway ended in the moment of its last response, before a controller had stored it.
#[test]
fn last_response_of_a_shutdown_is_replayed() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let host_may_respond = harness.hosts.delay_next();
        let mut client = harness.start_operation("k1", "a1").await;
        harness.terminate_gateway();
        // Nothing else keeps the process from ending by now.
        pause(Duration::from_millis(2_800)).await;
        host_may_respond.notify();
        let first = client.expect_response().await;
        assert!(first.is_valid_for("a1"), "{first:?}");
        harness.gateway_exit().await;
        harness.restart_gateway().await;
        let repeat = harness.request_operation("k1", "a2").await;
        assert_first_response(&harness, &repeat);
    });
}

/// Guards against DENIED: a repeat gets 409 while the claim of another repeat of the same operation is pending at this
/// gateway, though the operation was answered long ago.
#[test]
fn repeat_beside_a_pending_claim_of_another_repeat_gets_the_response() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        run_replicated_operation(&harness).await;
        let (key, claim) = harness.controllers.newest_claim(0);
        harness.kill_gateway().await;
        harness.restart_gateway().await;
        harness.controllers.set_auto_grant(false);
        let repeat = |id: &'static str| {
            let harness = harness.clone();
            tokio::task::spawn_local(async move { harness.request_operation("k1", id).await })
        };
        let first_repeat = repeat("a2");
        wait_until("the claim of the first repeat is pending", || {
            (0..3).all(|controller| harness.controllers.claim_epochs(controller).len() == 2)
        })
        .await;
        let second_repeat = repeat("a3");
        pause(Duration::from_millis(50)).await;
        harness.controllers.set_auto_grant(true);
        for controller in 0..3 {
            let verdict = ClaimVerdict::HeldBy(KeyHolder { key, claim });
            harness.controllers.answer_newest_claim(controller, verdict);
        }
        for repeat in [first_repeat, second_repeat] {
            let response = repeat.await.expect("the client task ends");
            assert_first_response(&harness, &response);
        }
    });
}

/// Guards against DENIED: repeats got 409 while the gateway that ran the operation could not be reached.
#[test]
fn response_of_an_unreachable_gateway_is_replayed() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        run_replicated_operation(&harness).await;
        let (_, claim) = harness.controllers.newest_claim(0);
        let unreachable = ClaimId {
            node: NodeId::from(harness.unused_address),
            ..claim
        };
        harness.controllers.set_claim_of_replicas(unreachable);
        harness.controllers.set_claims_held_by(unreachable);
        harness.kill_gateway().await;
        harness.restart_gateway().await;
        let repeat = harness.request_operation("k1", "a2").await;
        assert_first_response(&harness, &repeat);
    });
}

/// Guards against DENIED: a response longer than the buffer was passed on and not kept, without any failure.
#[test]
fn streamed_response_is_replayed_also_after_a_kill() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let signal = Signal::default();
        signal.notify();
        harness.hosts.stream_next(&signal);
        assert_whole_stream(&harness.request_operation("k1", "a1").await);
        assert_whole_stream(&harness.request_operation("k1", "a2").await);
        wait_until_replicated(&harness, 1).await;
        harness.kill_gateway().await;
        harness.restart_gateway().await;
        assert_whole_stream(&harness.request_operation("k1", "a3").await);
        assert_eq!(harness.hosts.requests().len(), 1, "executed once");
    });
}

/// Guards against DENIED: a client that lost its connection within a long response could not get it by a retry.
#[test]
fn streamed_response_is_stored_though_the_client_disconnects() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let rest = Signal::default();
        harness.hosts.stream_next(&rest);
        let client = harness.start_operation("k1", "a1").await;
        drop(client);
        rest.notify();
        let mut repeat = harness.request_operation("k1", "a2").await;
        while repeat.status == 409 {
            repeat = harness.request_operation("k1", "a2").await;
        }
        assert_whole_stream(&repeat);
    });
}

/// Guards against MIXED: a long response that breaks off must not be completed, neither to its client nor for repeats.
#[test]
fn truncated_stream_is_not_stored() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let breaks_off = Signal::default();
        let host_signal = breaks_off.clone();
        harness.hosts.script_next(move |request| {
            let headers = "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n";
            let chunk = "x".repeat(STREAMED_HALF_BYTES);
            let body = format!("{STREAMED_HALF_BYTES:x}\r\n{chunk}\r\n");
            vec![
                HostAction::Write(response("200 OK", request.id(), headers, &body)),
                HostAction::Wait(host_signal),
                HostAction::Reset,
            ]
        });
        let mut client = harness.start_operation("k1", "a1").await;
        // The gateway has passed on the beginning by then.
        pause(Duration::from_millis(500)).await;
        breaks_off.notify();
        let first = client.next_response().await;
        assert!(first.is_none_or(|first| first.status == 200 && !first.is_complete));
        assert_eq!(harness.request_operation("k1", "a2").await.status, 409);
    });
}

/// Guards against DENIED: responses beyond the memory for them were evicted, and repeats got 409.
#[test]
fn evicted_response_is_replayed_from_a_replica() {
    run_scenario(LITTLE_MEMORY, async |harness| {
        let body = "y".repeat(30_000);
        for number in 0..6 {
            let body = body.clone();
            harness.hosts.respond_next(move |request| {
                let headers = format!(
                    "Response-Seal: seal-{}\r\nContent-Length: {}\r\n",
                    request.id(),
                    body.len()
                );
                response("200 OK", request.id(), &headers, &body)
            });
            let id = format!("a{number}");
            let key = format!("k{number}");
            let first = harness.request_operation(&key, &id).await;
            assert_eq!(first.status, 200);
            wait_until_replicated(&harness, number + 1).await;
        }
        let repeat = harness.request_operation("k0", "b0").await;
        assert_eq!(
            (repeat.status, repeat.header("response-seal")),
            (200, Some("seal-a0"))
        );
        assert!(repeat.is_complete && repeat.body == body.into_bytes());
    });
}
