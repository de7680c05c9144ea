//! Discovery streams: which resources are sent, and which ack numbers an ACK or NACK confirms. Most tests run on both
//! kinds of streams.

mod common;

use common::{
    DISCOVERY_KINDS, Harness, TABLE, both_classes, classes, endpoints, node, nonce, set_pay_level,
    set_weight, stream_config, withdraw,
};
use rushcourse_policy::interface::{Action, Channel, RetryPolicy};
use rushcourse_xds::{DeltaDiscoveryRequest, DiscoveryRequest, Response, StreamKind};

/// A bound proxy with two pending responses, for ack numbers 1 and 2, and the nonces of the two.
fn with_two_pending_responses(kind: StreamKind) -> (Harness, String, String) {
    let mut harness = Harness::with_bound_proxy(kind);
    let first = nonce(&harness.responses[0].1);
    harness.apply(2, vec![set_weight("a2", 1.0)]);
    let second = nonce(&harness.responses[0].1);
    (harness, first, second)
}

#[test]
fn joined_proxy_gets_its_resources_and_its_ack_confirms_the_batch() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::new();
        harness.join(1, 3, kind);
        assert!(
            harness.responses.is_empty(),
            "no response before the proxy is bound"
        );
        harness.bind(41, &[3]);
        let [(1, response)] = &harness.responses[..] else {
            panic!("expected one response: {:?}", harness.responses)
        };
        let expected = [
            ("a1".to_string(), 10_000, false),
            ("b1".into(), 2_500, false),
        ];
        assert_eq!(endpoints(response, "look"), expected);
        assert_eq!(endpoints(response, "pay"), expected);
        assert!(
            harness.acknowledged().is_empty(),
            "sending alone confirms nothing"
        );
        let nonce = nonce(response);
        harness.ack(1, kind, &nonce);
        assert_eq!(harness.acknowledged(), [(3, 41)]);
        assert!(harness.responses.is_empty(), "an ACK is not answered");
        harness.ack(1, kind, &nonce);
        assert!(
            harness.acknowledged().is_empty() && harness.counters.contains(&"nonces_unknown"),
            "a repeated ACK confirms nothing"
        );
    }
}

#[test]
fn draining_host_is_sent_while_a_response_is_pending() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::with_bound_proxy(kind);
        harness.apply(2, vec![withdraw("a1", Channel::Dedicated)]);
        let [(1, response)] = &harness.responses[..] else {
            panic!("expected one response")
        };
        assert_eq!(
            endpoints(response, "look")[0],
            ("a1".to_string(), 10_000, true)
        );
        harness.apply(3, vec![withdraw("a1", Channel::Shared)]);
        assert!(
            harness.responses.is_empty(),
            "actions for the shared channel are ignored"
        );
    }
}

#[test]
fn admission_levels_and_retry_policies_are_sent() {
    let mut harness = Harness::with_bound_proxy(StreamKind::Delta);
    let policy = RetryPolicy::OnceIfNotRun;
    harness.apply(2, vec![set_pay_level(0.9, policy)]);
    let [(1, response)] = &harness.responses[..] else {
        panic!("expected one response")
    };
    let [pay] = response.resources() else {
        panic!("expected only the changed resource: {response:?}")
    };
    assert_eq!(
        (
            pay.assignment.cluster_name.as_str(),
            pay.assignment.drop_per_million,
            pay.assignment.retry_policy
        ),
        ("pay", 100_000, policy)
    );
}

#[test]
fn ack_of_an_older_response_confirms_only_that_response() {
    for kind in DISCOVERY_KINDS {
        let (mut harness, first, second) = with_two_pending_responses(kind);
        harness.ack(1, kind, &first);
        assert_eq!(harness.acknowledged(), [(3, 1)], "{kind:?}");
        harness.ack(1, kind, &second);
        assert_eq!(harness.acknowledged(), [(3, 2)]);
    }
}

#[test]
fn later_ack_confirms_earlier_responses_only_in_state_of_the_world() {
    for (kind, expected) in [
        (StreamKind::StateOfTheWorld, vec![(3, 2)]),
        (StreamKind::Delta, vec![]),
    ] {
        let (mut harness, first, second) = with_two_pending_responses(kind);
        harness.ack(1, kind, &second);
        assert_eq!(harness.acknowledged(), expected, "{kind:?}");
        harness.ack(1, kind, &first);
        let rest = if kind == StreamKind::Delta {
            vec![(3, 2)]
        } else {
            vec![]
        };
        assert_eq!(harness.acknowledged(), rest, "{kind:?}");
    }
}

#[test]
fn rejected_resource_is_reported_as_not_applied_and_resent_after_a_delay() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::new();
        harness.join(1, 3, kind);
        harness.bind(5, &[3]);
        let rejected = nonce(&harness.responses[0].1);
        harness.nack(1, kind, &rejected, "no such locality");
        assert!(harness.acknowledged().is_empty());
        assert_eq!(harness.not_applied(), [(3, 5, false)]);
        harness.advance_time(4500.0);
        assert!(
            harness.responses.is_empty(),
            "no resend before the backoff expires"
        );
        assert!(
            harness.not_applied().len() >= 4,
            "NotApplied is reported once per second: {:?}",
            harness.not_applied()
        );
        harness.advance_time(600.0);
        let [(1, resent)] = &harness.responses[..] else {
            panic!("{kind:?}: expected a resend")
        };
        let resent = nonce(resent);
        assert!(
            harness.not_applied().contains(&(3, 5, true)),
            "the resend is reported: {:?}",
            harness.not_applied()
        );
        harness.ack(1, kind, &resent);
        assert_eq!(harness.acknowledged(), [(3, 5)]);
        harness.advance_time(30_000.0);
        assert!(harness.responses.is_empty() && harness.not_applied().is_empty());
    }
}

#[test]
fn ack_after_a_nack_does_not_confirm_the_rejected_resources() {
    let mut harness = Harness::with_bound_proxy(StreamKind::Delta);
    let first = nonce(&harness.responses[0].1);
    harness.apply(2, vec![set_pay_level(0.5, RetryPolicy::Never)]);
    let second = nonce(&harness.responses[0].1);
    harness.nack(1, StreamKind::Delta, &first, "no");
    // The rejected response contained both classes. A newer "pay" has been sent since, but not "look".
    harness.ack(1, StreamKind::Delta, &second);
    assert!(
        harness.acknowledged().is_empty(),
        "\"look\" is still rejected: {:?}",
        harness.acknowledged()
    );
    harness.apply(3, vec![set_pay_level(0.4, RetryPolicy::Never)]);
    let third = nonce(&harness.responses[0].1);
    harness.ack(1, StreamKind::Delta, &third);
    assert!(harness.acknowledged().is_empty());
    harness.advance_time(6000.0);
    let (_, resent) = harness.responses.last().expect("a resend of \"look\"");
    assert_eq!(classes(resent), ["look"]);
    let resent = nonce(resent);
    harness.ack(1, StreamKind::Delta, &resent);
    assert_eq!(harness.acknowledged(), [(3, 3)]);
}

#[test]
fn stalled_proxy_has_one_pending_response_and_then_gets_the_newest_state() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::new();
        harness.join(1, 3, kind);
        harness.accepts_responses = false;
        harness.bind(1, &[3]);
        assert_eq!(harness.responses.len(), 1);
        for ack_number in 2..20 {
            harness.apply(ack_number, vec![set_weight("a1", f64::from(ack_number))]);
            assert!(
                harness.responses.is_empty(),
                "no response while the transport is busy"
            );
        }
        harness.advance_time(2000.0);
        let not_applied = harness.not_applied();
        assert!(
            not_applied.len() >= 2 && not_applied.iter().all(|b| *b == (3, 1, false)),
            "{not_applied:?}"
        );
        harness.accepts_responses = true;
        harness.accept_response(1);
        let [(1, newest)] = &harness.responses[..] else {
            panic!("expected one response with all changes")
        };
        assert_eq!(
            endpoints(newest, "look")[0],
            ("a1".to_string(), 190_000, false)
        );
        assert!(
            harness.not_applied().contains(&(3, 1, true)),
            "the late response is reported: {:?}",
            harness.not_applied()
        );
        let (first, newest) = ("1", nonce(newest));
        harness.ack(1, kind, first);
        harness.ack(1, kind, &newest);
        assert_eq!(harness.acknowledged(), [(3, 19)]);
    }
}

#[test]
fn pending_responses_of_a_proxy_that_never_answers_are_bounded() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    for ack_number in 2..200 {
        harness.now += 800.0;
        harness.apply(ack_number, vec![set_weight("a1", f64::from(ack_number))]);
        assert_eq!(
            harness.responses.len(),
            1,
            "responses don't wait for an ACK"
        );
    }
    let pending = harness.gauge("streams_unanswered");
    assert!(pending <= 32.0, "{pending}");
    let last = nonce(&harness.responses[0].1);
    harness.ack(1, StreamKind::StateOfTheWorld, &last);
    assert_eq!(
        harness.acknowledged(),
        [(3, 199)],
        "a late ACK confirms all batches"
    );
}

#[test]
fn stale_nonce_does_not_change_the_subscription() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    let look_only = |response_nonce: String| DiscoveryRequest {
        response_nonce,
        resource_names: vec!["look".into()],
        ..DiscoveryRequest::default()
    };
    harness.apply(2, vec![set_weight("a2", 1.0)]);
    harness.discovery_request(1, look_only("1".into()));
    assert!(harness.counters.contains(&"nonces_stale"));
    harness.apply(3, vec![set_weight("a2", 2.0)]);
    assert_eq!(
        harness.responses[0].1.resources().len(),
        2,
        "the subscription still has both classes"
    );
    let newest = nonce(&harness.responses[0].1);
    harness.discovery_request(1, look_only(newest));
    harness.apply(4, vec![set_weight("a2", 3.0)]);
    assert_eq!(harness.responses[0].1.resources().len(), 1);
}

#[test]
fn unknown_nonce_confirms_nothing() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::with_bound_proxy(kind);
        for nonce in ["99", "0", "-1", "x", "184467440737095516160"] {
            harness.ack(1, kind, nonce);
            assert!(
                harness.acknowledged().is_empty() && harness.counters.contains(&"nonces_unknown"),
                "{kind:?} {nonce}"
            );
        }
    }
}

#[test]
fn subscription_is_answered_and_repeated_subscribing_is_rate_limited() {
    let mut harness = Harness::new();
    let subscribe = |names: &[&str]| DeltaDiscoveryRequest {
        resource_names_subscribe: names.iter().map(|name| name.to_string()).collect(),
        ..DeltaDiscoveryRequest::default()
    };
    harness.open(1, 1, StreamKind::Delta);
    harness.delta_request(
        1,
        DeltaDiscoveryRequest {
            node: Some(node(3)),
            ..subscribe(&["look", "nope"])
        },
    );
    let Some((_, Response::Delta(response))) = harness.responses.first() else {
        panic!("expected a delta response")
    };
    assert_eq!(
        &response.removed_resources,
        &["nope"],
        "an unknown name is returned as removed"
    );
    harness.bind(1, &[3]);
    assert_eq!(harness.responses[0].1.resources().len(), 1);
    harness.delta_request(1, subscribe(&["pay"]));
    assert_eq!(classes(&harness.responses[0].1)[0], "pay");
    let mut response_count = 0;
    for _ in 0..200 {
        harness.now += 10.0;
        harness.delta_request(1, subscribe(&["pay"]));
        response_count += harness.responses.len();
    }
    assert!(
        response_count <= 6,
        "{response_count} responses to 200 requests exceed the rate limit"
    );
    harness.apply(2, vec![set_weight("a2", 1.0)]);
    assert_eq!(
        harness.responses.len(),
        1,
        "the policy's actions are not rate-limited"
    );
}

/// Opens stream 2 for proxy 3, which reports the versions in `held` as its initial versions.
fn reconnect(harness: &mut Harness, kind: StreamKind, held: &Response) {
    let node = Some(node(3));
    harness.open(2, 2, kind);
    if kind == StreamKind::StateOfTheWorld {
        let request = DiscoveryRequest {
            node,
            resource_names: both_classes(),
            version_info: held.version().expect("a discovery response").into(),
            ..DiscoveryRequest::default()
        };
        return harness.discovery_request(2, request);
    }
    let held_versions = held.resources().iter().map(|resource| {
        let name = resource.assignment.cluster_name.clone();
        (name, resource.version.clone())
    });
    let request = DeltaDiscoveryRequest {
        node,
        resource_names_subscribe: both_classes(),
        initial_resource_versions: held_versions.collect(),
        ..DeltaDiscoveryRequest::default()
    };
    harness.delta_request(2, request);
}

#[test]
fn reconnecting_proxy_is_resent_held_resources_only_after_a_director_restart() {
    for kind in DISCOVERY_KINDS {
        // Incarnation 7 is the same run of the director, 8 a restarted one.
        for (incarnation, expected) in [(7, 0), (8, 1)] {
            let before = Harness::with_bound_proxy(kind);
            let held = before.responses[0].1.clone();
            let mut harness = Harness::with_config(stream_config(incarnation));
            reconnect(&mut harness, kind, &held);
            harness.bind(9, &[3]);
            assert_eq!(harness.responses.len(), expected, "{kind:?} {incarnation}");
            assert_eq!(
                harness.acknowledged().len(),
                1 - expected,
                "held resources are confirmed without an ACK"
            );
        }
    }
}

#[test]
fn moved_host_is_sent_and_a_delisted_host_keeps_its_address_while_in_a_table() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    harness.responses.clear();
    harness.set_hosts(&["a2", "a1"]);
    let (_, response) = harness
        .responses
        .last()
        .expect("a response with the new addresses");
    assert_eq!(
        endpoints(response, "look").len(),
        2,
        "the delisted b1 is kept"
    );
}

#[test]
fn closed_streams_leave_no_state() {
    let mut harness = Harness::new();
    let state_size =
        |harness: &Harness| -> f64 { harness.streams.gauges().iter().map(|g| g.2).sum() };
    let initial_size = state_size(&harness);
    for round in 0..50u64 {
        for proxy in 0..6u32 {
            let stream = round * 10 + u64::from(proxy) + 1;
            harness.join(stream, proxy, DISCOVERY_KINDS[proxy as usize % 2]);
        }
        harness.bind(round as u16, &[0, 1, 2, 3, 4, 5]);
        for proxy in 0..6 {
            harness.close(round * 10 + proxy + 1, "");
        }
        harness.apply(60_000, vec![Action::ClearTable { table: TABLE }]);
        harness.advance_time(100.0);
    }
    assert_eq!(state_size(&harness), initial_size);
}
