//! Calls to the relay: order, size limits, rejections and connections.

mod common;

use common::harness::Harness;
use common::platform::{list, member};
use common::relay::CallOutcome;
use rushcourse_director_state::{Input, RelayLink};

const JOINED: &str = "* joined 1 east 5.0 1";

#[test]
fn batch_is_one_call_that_ends_with_its_ack_request() {
    let harness = Harness::with_bound_proxies();
    let first = &harness.relay.calls[0];
    let last_order = first.split(';').next_back().expect("at least one order");
    assert!(first.contains("bind,1,") && last_order.starts_with("mark,"));
    assert_eq!(harness.counter("calls_unknown"), 0);
    assert_eq!(
        harness.counter("calls_sent"),
        harness.counter("calls_answered")
    );
}

#[test]
fn invalid_order_is_logged_and_the_remaining_orders_are_sent() {
    // Given a relay that accepts two orders of the next call.
    let mut harness = Harness::started();
    harness.relay.outcomes = [CallOutcome::reply("OK 2")].into();
    // When a call with more orders is sent.
    harness.notify(JOINED);
    harness.run_for(300.0);
    // Then the orders after the third are sent, and the third is logged.
    let first: Vec<&str> = harness.relay.calls[0].split(';').collect();
    assert!(first.len() > 4);
    assert_eq!(
        harness.relay.calls[1].split(';').collect::<Vec<_>>(),
        first[3..],
        "neither the accepted orders nor the invalid one are resent"
    );
    assert_eq!(harness.counter("orders_dropped"), 1);
    assert!(
        harness.has_logged(&["order dropped", first[2]]),
        "{:?}",
        harness.log
    );
}

#[test]
fn remaining_ack_request_alone_is_not_sent() {
    // Given a call in flight.
    let mut harness = Harness::started();
    harness.notify(JOINED);
    harness.relay.outcomes = [CallOutcome::Silence].into();
    harness.run_for(10.0);
    // When all but the last two orders are accepted.
    let orders = harness.relay.calls[0].split(';').count();
    harness.reply(&format!("OK {}", orders - 2));
    harness.run_for(200.0);
    // Then the acknowledgement request is not sent alone.
    assert!(
        harness
            .relay
            .calls
            .iter()
            .all(|call| !call.starts_with("mark,")),
        "{:?}",
        harness.relay.calls
    );
}

#[test]
fn busy_call_is_resent_on_the_same_connection() {
    let mut harness = Harness::started();
    harness.relay.outcomes = vec![CallOutcome::reply("BUSY"); 5].into();
    harness.notify(JOINED);
    harness.run_for(1000.0);
    let calls = &harness.relay.calls;
    assert_eq!(calls[..6], vec![calls[0].clone(); 6]);
    assert_eq!(
        (
            harness.counter("calls_busy"),
            harness.relay.connect_count(RelayLink::Calls)
        ),
        (5, 1)
    );
    assert_eq!(
        harness.counter("calls_unknown"),
        0,
        "a rejected call has a known outcome"
    );
}

#[test]
fn call_rejected_at_startup_is_resent_until_accepted() {
    let mut harness = Harness::started();
    harness.relay.outcomes = vec![CallOutcome::reply("SYNTAX"); 5].into();
    harness.notify(JOINED);
    harness.run_for(1000.0);
    let calls = &harness.relay.calls;
    assert_eq!(
        calls[..6],
        vec![calls[0].clone(); 6],
        "the same call is resent until accepted"
    );
    assert_eq!(
        (
            harness.counter("calls_refused"),
            harness.counter("calls_unknown")
        ),
        (5, 0)
    );
}

#[test]
fn unreachable_relay_is_retried_with_backoff() {
    // Given a relay that becomes unreachable.
    let mut harness = Harness::with_bound_proxies();
    let (calls, connects) = (
        harness.relay.calls.len(),
        harness.relay.connect_count(RelayLink::Calls),
    );
    harness.relay.is_reachable = false;
    harness.disconnect(RelayLink::Calls);
    harness.disconnect(RelayLink::Watch);
    // When a host drains.
    harness.drain_host(6, "a1", "east");
    harness.run_for(10_000.0);
    // Then the session retries with backoff, and sends the call once the relay is reachable.
    assert_eq!(harness.relay.calls.len(), calls, "no call can be sent");
    let attempts = harness.relay.connect_count(RelayLink::Calls) - connects;
    assert!(
        (10..60).contains(&attempts),
        "{attempts} attempts in ten seconds"
    );
    harness.relay.is_reachable = true;
    harness.run_for(1000.0);
    assert!(
        harness.relay.calls[calls].contains("withdraw,a1"),
        "the oldest call is sent first: {:?}",
        &harness.relay.calls[calls..]
    );
}

#[test]
fn call_queue_stays_bounded_while_the_relay_is_unreachable() {
    // Without joined proxies the message cap does not apply, so only the queue limit bounds the calls.
    let mut harness = Harness::started();
    harness.relay.is_reachable = false;
    for revision in 0..2000u64 {
        let phase = if revision % 2 == 0 {
            "Terminating"
        } else {
            "Ready"
        };
        let changed = [
            member("a1", "east", phase, 0.0),
            member("b2", "west", phase, 0.0),
        ];
        harness.change_list(6 + revision, &changed);
        harness.run_for(260.0);
    }
    let waiting = harness.gauge("calls_waiting");
    assert!(waiting <= 256.0, "{waiting} calls wait");
}

#[test]
fn idle_connection_is_replaced_before_the_next_call() {
    // Given a connection that has been idle for six seconds.
    let mut harness = Harness::with_bound_proxies();
    let connects = harness.relay.connect_count(RelayLink::Calls);
    for _ in 0..6 {
        harness.run_for(1000.0);
        harness.notify("*");
    }
    // When a call is queued, then it is sent on a new connection.
    let before = harness.relay.calls.len();
    harness.drain_host(6, "a1", "east");
    harness.run_for(100.0);
    assert!(harness.relay.calls.len() > before);
    assert_eq!(harness.relay.connect_count(RelayLink::Calls), connects + 1);
    assert_eq!(harness.counter("calls_unknown"), 0);
}

#[test]
fn idle_disconnect_does_not_affect_the_next_call() {
    let mut harness = Harness::with_bound_proxies();
    harness.run_for(1000.0);
    harness.disconnect(RelayLink::Calls);
    harness.drain_host(7, "b1", "west");
    harness.run_for(100.0);
    assert_eq!(
        (
            harness.counter("calls_unknown"),
            harness.counter("calls_repeated")
        ),
        (0, 0)
    );
}

#[test]
fn inputs_of_earlier_connections_are_ignored() {
    // Given a call that was resent on a new connection and is in flight.
    let mut harness = Harness::with_bound_proxies();
    let earlier = harness.relay.current(RelayLink::Calls);
    harness.relay.outcomes = [CallOutcome::Disconnect, CallOutcome::Silence].into();
    harness.drain_host(6, "a1", "east");
    harness.run_for(10.0);
    assert!(harness.relay.current(RelayLink::Calls) > earlier);
    let sent = harness.relay.calls.len();
    // When inputs of the earlier connection arrive.
    harness.handle(Input::RelayLine {
        connection: earlier,
        line: "OK 1".into(),
    });
    harness.handle(Input::RelayDisconnected {
        connection: earlier,
        reason: "late".into(),
    });
    harness.run_for(10.0);
    // Then they change nothing.
    assert_eq!(
        harness.relay.calls.len(),
        sent,
        "the resend is still in flight"
    );
}

#[test]
fn oversized_batch_is_split_in_order_and_its_parts_are_counted() {
    // Given hosts with long names, whose table exceeds the size limit of a call.
    let mut harness = Harness::new();
    let members: Vec<String> = (0..20)
        .map(|host| format!("h{host:03}{}", "x".repeat(9000)))
        .map(|id| member(&id, "east", "Ready", 0.0))
        .collect();
    harness.discovery.list = list(6, true, &members);
    harness.start();
    let before = harness.relay.calls.len();
    // When a proxy joins.
    harness.notify(JOINED);
    harness.run_for(300.0);
    // Then its table is sent in several calls without changing the order.
    let calls = harness.relay.calls.len() - before;
    assert!(calls >= 3, "{calls} calls");
    assert!(harness.counter("calls_split") >= 2);
    let orders = harness.relay.orders_from(before);
    let position = |start: &str| {
        orders
            .iter()
            .position(|order| order.starts_with(start))
            .expect("order was sent")
    };
    assert!(
        position("share,") < position("bind,1,") && position("bind,1,") < position("mark,"),
        "order is kept across calls"
    );
    let ack_requests = orders.iter().filter(|order| order.starts_with("mark,"));
    assert_eq!(ack_requests.count(), 1);
    assert!(
        harness.relay.calls[before..]
            .iter()
            .all(|call| call.len() <= 60_000)
    );
}
