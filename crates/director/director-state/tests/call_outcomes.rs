//! Calls to the relay with an unknown outcome: resends, confirmation by acknowledgements and events for the policy.

mod common;

use common::harness::Harness;
use common::relay::CallOutcome;
use rushcourse_director_state::{Input, RelayLink};

/// Creates a session whose next calls have the given outcomes, and drains host a1 to trigger a call. Also returns the index
/// of that call.
fn with_outcomes(outcomes: Vec<CallOutcome>) -> (Harness, usize) {
    let mut harness = Harness::with_bound_proxies();
    let before = harness.relay.calls.len();
    harness.relay.outcomes = outcomes.into();
    harness.drain_host(6, "a1", "east");
    (harness, before)
}

/// Number of times that the first of these calls was sent.
fn repeats(calls: &[String]) -> usize {
    calls.iter().filter(|call| **call == calls[0]).count()
}

fn unknown_and_repeated(harness: &Harness) -> (u64, u64) {
    (
        harness.counter("calls_unknown"),
        harness.counter("calls_repeated"),
    )
}

#[test]
fn call_with_unknown_outcome_is_resent_before_later_calls() {
    for outcome in [
        CallOutcome::Disconnect,
        CallOutcome::Silence,
        CallOutcome::reply("OK maybe"),
        CallOutcome::reply("OK 9999"),
        CallOutcome::reply("\u{fffd}"),
        CallOutcome::reply("OK"),
    ] {
        // Given three transmissions with an unknown outcome.
        let (mut harness, before) = with_outcomes(vec![outcome.clone(); 3]);
        harness.run_for(30.0);
        // When a later call is queued meanwhile.
        harness.drain_host(7, "b1", "west");
        harness.run_for(1000.0);
        // Then the first call is resent until it is accepted, and the later one follows.
        let calls = &harness.relay.calls[before..];
        assert!(calls[0].contains("withdraw,a1"), "{outcome:?}");
        assert_eq!(
            calls[..4],
            vec![calls[0].clone(); 4],
            "{outcome:?}: the same call is resent three times"
        );
        assert!(
            calls[4..].iter().any(|call| call.contains("withdraw,b1")),
            "{outcome:?}: {calls:?}"
        );
        assert_eq!(unknown_and_repeated(&harness), (3, 3), "{outcome:?}");
        assert_eq!(harness.counter("invariant_failures"), 0);
    }
}

#[test]
fn reply_within_the_timeout_is_accepted() {
    let (mut harness, call) = with_outcomes(vec![CallOutcome::Silence]);
    harness.run_for(50.0);
    harness.accept(call);
    harness.run_for(200.0);
    assert_eq!(unknown_and_repeated(&harness), (0, 0));
}

#[test]
fn received_reply_is_accepted_after_a_process_suspension() {
    let (mut harness, call) = with_outcomes(vec![CallOutcome::Silence]);
    harness.run_for(10.0);
    // The reply and the expired deadline are handled in the same iteration.
    harness.now += 500.0;
    harness.accept(call);
    assert_eq!(harness.counter("calls_unknown"), 0);
}

/// A corrupt reply may look like a rejection; the call must not be treated as unexecuted then.
#[test]
fn rejection_after_an_accepted_call_is_an_unknown_outcome() {
    for reply in [
        "SYNTAX", "BUSY", "OK +1", "OK -1", "OK 1.0", "OK 99", "OK", "", "OK 1 2",
    ] {
        // When the relay keeps replying like this, then the call is resent and nothing else is sent.
        let (mut harness, before) = with_outcomes(vec![CallOutcome::reply(reply); 4]);
        harness.run_for(400.0);
        let calls = &harness.relay.calls[before..];
        let sent = calls.len();
        assert!((2..=4).contains(&sent), "{reply:?}: {sent}");
        assert_eq!(
            *calls,
            vec![calls[0].clone(); sent],
            "{reply:?}: no other call is sent"
        );
        assert_eq!(harness.counter("calls_unknown"), sent as u64, "{reply:?}");
        // When proxies acknowledge it, then it counts as executed and later calls are sent.
        harness.acknowledge(&[1, 2]);
        harness.drain_host(7, "b1", "west");
        harness.run_for(600.0);
        assert_eq!(harness.counter("calls_proved"), 1, "{reply:?}");
        let later = harness.relay.orders_from(before + sent);
        assert!(
            later.contains(&"withdraw,b1".into()),
            "{reply:?}: {later:?}"
        );
        assert!(
            !later.contains(&"withdraw,a1".into()),
            "{reply:?}: the confirmed call is not resent"
        );
    }
}

/// Whether the endpoint of a draining host is removed at once, five seconds after a call with it was first sent. With
/// `relay_hangs` that call gets no reply until then; otherwise it is accepted immediately.
fn is_removed_after(relay_hangs: bool) -> bool {
    let mut harness = Harness::started();
    if relay_hangs {
        harness.relay.outcomes = vec![CallOutcome::Silence; 60].into();
    }
    harness.notify("* joined 1 east 5.0 1");
    for _ in 0..5 {
        harness.run_for(1000.0);
        harness.notify("*");
    }
    let before = harness.relay.calls.len();
    harness.relay.outcomes.clear();
    harness.run_for(1200.0);
    harness.notify("*");
    harness.run_for(1000.0);
    assert!(
        !relay_hangs || harness.relay.calls.len() > before,
        "the call is resent and accepted"
    );
    harness.drain_host(6, "a1", "east");
    harness.run_for(600.0);
    harness
        .relay
        .orders_from(before)
        .iter()
        .any(|order| order.starts_with("share,") && order.contains(",a1,0"))
}

/// The policy treats endpoints as applied some time after their call; a call without a reply must not start that time.
#[test]
fn endpoints_of_an_unconfirmed_call_stay_uncertain() {
    assert!(
        is_removed_after(false),
        "the call was accepted five seconds ago, so its endpoints are certain"
    );
    assert!(
        !is_removed_after(true),
        "the call was accepted just now, so its endpoints are uncertain"
    );
}

/// Each resend may reach proxies as a message, and the cap is twelve messages in ten seconds.
#[test]
fn resends_stay_within_the_message_cap() {
    let (mut harness, before) = with_outcomes(vec![CallOutcome::reply("?"); 1000]);
    let mut sent_at = Vec::new();
    for _ in 0..400 {
        let calls = harness.relay.calls.len();
        harness.run_for(100.0);
        sent_at.extend((calls..harness.relay.calls.len()).map(|_| harness.now));
        if harness.now as u64 % 1000 < 100 {
            harness.notify("*");
        }
    }
    let sent = sent_at.len();
    assert!(sent > 30, "only {sent} transmissions in forty seconds");
    let within_window = |from: f64| {
        sent_at
            .iter()
            .filter(|at| **at >= from && **at <= from + 10_000.0)
            .count()
    };
    assert!(
        sent_at.iter().all(|from| within_window(*from) <= 12),
        "at most twelve transmissions in ten seconds"
    );
    assert!(harness.counter("repeats_held") > 0);
    let calls = &harness.relay.calls[before..];
    assert_eq!(*calls, vec![calls[0].clone(); sent]);
}

#[test]
fn acknowledgement_confirms_a_call_with_unknown_outcome() {
    // Given a call whose resend is in flight.
    let (mut harness, before) = with_outcomes(vec![CallOutcome::Disconnect, CallOutcome::Silence]);
    harness.run_for(10.0);
    // When a proxy acknowledges the first transmission, and the resend gets no reply.
    harness.acknowledge(&[1]);
    harness.run_for(300.0);
    // Then the call is not sent again.
    assert_eq!(
        (
            repeats(&harness.relay.calls[before..]),
            harness.counter("calls_proved")
        ),
        (2, 1)
    );
    assert!(harness.has_logged(&["a proxy has answered it already"]));
}

#[test]
fn acknowledgement_of_an_earlier_call_confirms_nothing() {
    let earlier = Harness::with_bound_proxies().ack_number();
    let (mut harness, before) = with_outcomes(vec![CallOutcome::Disconnect, CallOutcome::Silence]);
    harness.run_for(10.0);
    harness.notify(&format!("* applied 1 {earlier} 250.0"));
    harness.run_for(300.0);
    assert_eq!(
        (
            repeats(&harness.relay.calls[before..]),
            harness.counter("calls_proved")
        ),
        (3, 0)
    );
}

/// A long step must not use up the relay's time to reply, or large calls are sent twice.
#[test]
fn reply_timeout_starts_when_the_call_is_written() {
    // Given a call whose last byte is written 50 ms after the step.
    let (mut harness, call) = with_outcomes(vec![CallOutcome::Silence]);
    harness.run_for(8.0);
    harness.now += 50.0;
    let connection = harness.relay.current(RelayLink::Calls);
    harness.handle(Input::RelayWritten { connection });
    // When the reply arrives 40 ms later, then it is within the timeout.
    harness.run_for(40.0);
    harness.accept(call);
    harness.run_for(200.0);
    assert_eq!(unknown_and_repeated(&harness), (0, 0));
    // A relay that does not reply at all still runs into the timeout.
    harness.relay.outcomes = [CallOutcome::Silence].into();
    harness.drain_host(7, "b1", "west");
    harness.handle(Input::RelayWritten { connection });
    harness.run_for(70.0);
    assert_eq!(harness.counter("calls_unknown"), 1);
}
