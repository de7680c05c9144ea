//! The platform's relay and discovery, well-behaved or not.

use crate::common::Harness;
use rushcourse_standin::discovery::Behavior;
use rushcourse_standin::relay::CallFault;

#[tokio::test]
async fn a_proxy_is_bound_and_a_drain_is_kept() {
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
async fn a_call_of_unknown_outcome_is_sent_again() {
    for done in [true, false] {
        let harness = Harness::start_with_bound_proxy().await;
        for fault in [
            CallFault::Disconnect { is_applied: done },
            CallFault::NoReply { is_applied: done },
            CallFault::GarbledReply { is_applied: done },
        ] {
            harness.relay.inject_fault(fault);
        }
        let before = harness.relay.received_calls().len();
        harness.set_phase("h-2", "Terminating");
        // One that was not carried out goes out until it is answered; one that was, until a proxy's answer shows
        // it. Nothing else goes out before.
        let least = if done { 2 } else { 4 };
        harness
            .wait_until("again and again", || {
                harness.relay.received_calls().len() >= before + least
            })
            .await;
        let calls = harness.relay.received_calls();
        assert_eq!(
            calls[before..before + least],
            vec![calls[before].clone(); least]
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
async fn a_call_that_is_answered_busy_or_syntax_is_sent_again() {
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
async fn notifications_that_break_or_turn_to_nonsense_are_requested_again() {
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
async fn a_relay_out_of_reach_comes_back() {
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
async fn discovery_that_is_silent_or_answers_nonsense_is_asked_again() {
    let harness = Harness::start_with_bound_proxy().await;
    for mood in [Behavior::Garbled, Behavior::Silent] {
        harness.discovery.set_behavior(mood);
        let asked = harness.discovery.request_count();
        harness
            .wait_until("asked again", || {
                harness.discovery.request_count() > asked + 2
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
