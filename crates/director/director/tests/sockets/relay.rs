//! Communication with the platform's relay and discovery, with and without faults.

use crate::common::Harness;
use rushcourse_standin::discovery::Behavior;
use rushcourse_standin::relay::CallFault;

#[tokio::test]
async fn draining_host_is_withdrawn_and_removed() {
    let harness = Harness::start_with_bound_proxy().await;
    harness.set_phase("h-2", "Terminating");
    harness
        .wait_until("withdrawn", || {
            harness.relay.endpoints(0).keys().eq(["h-1"])
        })
        .await;
    harness
        .wait_until("removed", || !harness.relay.has_endpoint(0, "h-2"))
        .await;
    assert_eq!(
        harness.metric("rushcourse_invariant_failures_total").await,
        0.0
    );
}

#[tokio::test]
async fn call_with_unknown_outcome_is_retried() {
    for applied in [true, false] {
        let harness = Harness::start_with_bound_proxy().await;
        for fault in [
            CallFault::Disconnect {
                is_applied: applied,
            },
            CallFault::NoReply {
                is_applied: applied,
            },
            CallFault::GarbledReply {
                is_applied: applied,
            },
        ] {
            harness.relay.inject_fault(fault);
        }
        let before = harness.relay.received_calls().len();
        harness.set_phase("h-2", "Terminating");
        // A call that was not applied is retried until a reply arrives; one that was applied, until a proxy's
        // acknowledgement arrives. No other call is sent in between.
        let minimum = if applied { 2 } else { 4 };
        harness
            .wait_until("the call is retried", || {
                harness.relay.received_calls().len() >= before + minimum
            })
            .await;
        let calls = harness.relay.received_calls();
        assert_eq!(
            calls[before..before + minimum],
            vec![calls[before].clone(); minimum]
        );
        harness
            .wait_until("withdrawn", || {
                harness.relay.endpoints(0).keys().eq(["h-1"])
            })
            .await;
        harness
            .wait_for_metric("rushcourse_calls_unknown_total", 3.0)
            .await;
        harness.wait_for_log("call unknown").await;
    }
}

#[tokio::test]
async fn call_rejected_with_busy_or_syntax_is_retried() {
    let harness = Harness::start().await;
    harness.relay.inject_fault(CallFault::Busy);
    harness.relay.inject_fault(CallFault::SyntaxError);
    harness.relay.inject_fault(CallFault::Busy);
    harness.relay.join_proxy(0, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(0).len() == 2)
        .await;
}

#[tokio::test]
async fn broken_or_invalid_watch_is_reestablished() {
    let harness = Harness::start_with_bound_proxy().await;
    harness.relay.disconnect_watchers();
    harness.wait_for_log("watch lost").await;
    harness
        .wait_until("watched again", || harness.relay.watcher_count() == 1)
        .await;
    harness.relay.join_proxy(1, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(1).len() == 2)
        .await;
    harness.relay.notify("* joined nobody");
    harness.wait_for_log("can't be read").await;
    harness.relay.join_proxy(2, "east", 5.0);
    harness
        .wait_until("bound", || harness.relay.endpoints(2).len() == 2)
        .await;
}

#[tokio::test]
async fn calls_resume_after_relay_outage() {
    let harness = Harness::start_with_bound_proxy().await;
    harness.relay.set_unreachable(true);
    harness.set_phase("h-2", "Terminating");
    harness.wait_for_log("no sign of life").await;
    harness
        .wait_for_metric("rushcourse_calls_unknown_total", 2.0)
        .await;
    harness.relay.set_unreachable(false);
    harness
        .wait_until("withdrawn", || {
            harness.relay.endpoints(0).keys().eq(["h-1"])
        })
        .await;
}

#[tokio::test]
async fn silent_or_invalid_discovery_is_retried() {
    let harness = Harness::start_with_bound_proxy().await;
    for behavior in [Behavior::Garbled, Behavior::Silent] {
        harness.discovery.set_behavior(behavior);
        let requests_before = harness.discovery.request_count();
        harness
            .wait_until("the list is requested again", || {
                harness.discovery.request_count() > requests_before + 2
            })
            .await;
    }
    harness.set_phase("h-2", "Terminating");
    harness.discovery.set_behavior(Behavior::Normal);
    harness
        .wait_until("withdrawn", || {
            harness.relay.endpoints(0).keys().eq(["h-1"])
        })
        .await;
}
