//! Resources on discovery streams: what is sent, and what an ACK or a NACK proves, for both kinds of streams.

mod common;

use common::{
    DISCOVERY_KINDS, Harness, TABLE, both_classes, classes, endpoints, node, nonce, set_pay_level,
    set_weight, stream_config, withdraw,
};
use rushcourse_policy::interface::{Action, Channel, RetryPolicy};
use rushcourse_xds::{DeltaDiscoveryRequest, DiscoveryRequest, Response, StreamKind};

/// A bound proxy that was sent another change, under number 2, and has answered nothing. Also the nonces of both
/// responses.
fn with_two_pending_responses(kind: StreamKind) -> (Harness, String, String) {
    let mut harness = Harness::with_bound_proxy(kind);
    let first = nonce(&harness.responses[0].1);
    harness.apply(2, vec![set_weight("a2", 1.0)]);
    let second = nonce(&harness.responses[0].1);
    (harness, first, second)
}

#[test]
fn a_proxy_joins_is_sent_its_resources_and_its_ack_proves_what_was_ordered() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::new();
        harness.join(1, 3, kind);
        assert!(harness.responses.is_empty(), "nothing before it is bound");
        harness.bind(41, &[3]);
        let [(1, response)] = &harness.responses[..] else {
            panic!("one response: {:?}", harness.responses)
        };
        let expected = [
            ("a1".to_string(), 10_000, false),
            ("b1".into(), 2_500, false),
        ];
        assert_eq!(endpoints(response, "look"), expected);
        assert_eq!(endpoints(response, "pay"), expected);
        assert!(
            harness.acknowledged().is_empty(),
            "nothing is proved by sending"
        );
        let nonce = nonce(response);
        harness.ack(1, kind, &nonce);
        assert_eq!(harness.acknowledged(), [(3, 41)]);
        assert!(harness.responses.is_empty(), "an ACK is not answered");
        harness.ack(1, kind, &nonce);
        assert!(
            harness.acknowledged().is_empty() && harness.counters.contains(&"nonces_unknown"),
            "it is proved once"
        );
    }
}

#[test]
fn draining_is_shown_as_such_and_sent_while_an_answer_is_pending() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::with_bound_proxy(kind);
        harness.apply(2, vec![withdraw("a1", Channel::Dedicated)]);
        let [(1, response)] = &harness.responses[..] else {
            panic!("one response")
        };
        assert_eq!(
            endpoints(response, "look")[0],
            ("a1".to_string(), 10_000, true)
        );
        harness.apply(3, vec![withdraw("a1", Channel::Shared)]);
        assert!(
            harness.responses.is_empty(),
            "that is for proxies at the relay"
        );
    }
}

#[test]
fn admission_levels_and_retry_policies_are_sent() {
    let mut harness = Harness::with_bound_proxy(StreamKind::Delta);
    let again = RetryPolicy::OnceIfNotRun;
    harness.apply(2, vec![set_pay_level(0.9, again)]);
    let [(1, response)] = &harness.responses[..] else {
        panic!("one response")
    };
    let [pay] = response.resources() else {
        panic!("only what changed: {response:?}")
    };
    assert_eq!(
        (
            pay.assignment.cluster_name.as_str(),
            pay.assignment.drop_per_million,
            pay.assignment.retry_policy
        ),
        ("pay", 100_000, again)
    );
}

#[test]
fn an_ack_of_an_older_response_proves_that_one_alone() {
    for kind in DISCOVERY_KINDS {
        let (mut harness, first, second) = with_two_pending_responses(kind);
        harness.ack(1, kind, &first);
        assert_eq!(harness.acknowledged(), [(3, 1)], "{kind:?}");
        harness.ack(1, kind, &second);
        assert_eq!(harness.acknowledged(), [(3, 2)]);
    }
}

#[test]
fn a_later_ack_speaks_for_earlier_responses_in_state_of_the_world_and_not_in_delta() {
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
fn a_rejected_resource_proves_nothing_is_reported_as_not_applied_and_is_sent_again_after_a_delay() {
    for kind in DISCOVERY_KINDS {
        let mut harness = Harness::new();
        harness.join(1, 3, kind);
        harness.bind(5, &[3]);
        let rejected = nonce(&harness.responses[0].1);
        harness.nack(1, kind, &rejected, "no such locality");
        assert!(harness.acknowledged().is_empty());
        assert_eq!(harness.not_applied(), [(3, 5, false)]);
        harness.pass(4500.0);
        assert!(harness.responses.is_empty(), "not at once");
        assert!(
            harness.not_applied().len() >= 4,
            "the policy is told each second: {:?}",
            harness.not_applied()
        );
        harness.pass(600.0);
        let [(1, again)] = &harness.responses[..] else {
            panic!("{kind:?}: it is sent again")
        };
        let again = nonce(again);
        assert!(
            harness.not_applied().contains(&(3, 5, true)),
            "one more message: {:?}",
            harness.not_applied()
        );
        harness.ack(1, kind, &again);
        assert_eq!(harness.acknowledged(), [(3, 5)]);
        harness.pass(30_000.0);
        assert!(harness.responses.is_empty() && harness.not_applied().is_empty());
    }
}

#[test]
fn what_is_sent_after_a_nack_does_not_prove_what_was_rejected() {
    let mut harness = Harness::with_bound_proxy(StreamKind::Delta);
    let first = nonce(&harness.responses[0].1);
    harness.apply(2, vec![set_pay_level(0.5, RetryPolicy::Never)]);
    let second = nonce(&harness.responses[0].1);
    harness.nack(1, StreamKind::Delta, &first, "no");
    // The rejected response held both classes; "pay" has been sent anew since, "look" has not.
    harness.ack(1, StreamKind::Delta, &second);
    assert!(
        harness.acknowledged().is_empty(),
        "look is still rejected: {:?}",
        harness.acknowledged()
    );
    harness.apply(3, vec![set_pay_level(0.4, RetryPolicy::Never)]);
    let third = nonce(&harness.responses[0].1);
    harness.ack(1, StreamKind::Delta, &third);
    assert!(harness.acknowledged().is_empty());
    harness.pass(6000.0);
    let (_, again) = harness.responses.last().expect("look is sent again");
    assert_eq!(classes(again), ["look"]);
    let again = nonce(again);
    harness.ack(1, StreamKind::Delta, &again);
    assert_eq!(harness.acknowledged(), [(3, 3)]);
}

#[test]
fn a_proxy_that_reads_nothing_has_one_response_waiting_and_then_gets_the_newest_state() {
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
                "it is not read, so no more is handed over"
            );
        }
        harness.pass(2000.0);
        let not_applied = harness.not_applied();
        assert!(
            not_applied.len() >= 2 && not_applied.iter().all(|b| *b == (3, 1, false)),
            "{not_applied:?}"
        );
        harness.accepts_responses = true;
        harness.accept_response(1);
        let [(1, newest)] = &harness.responses[..] else {
            panic!("one for all that came meanwhile")
        };
        assert_eq!(
            endpoints(newest, "look")[0],
            ("a1".to_string(), 190_000, false)
        );
        assert!(
            harness.not_applied().contains(&(3, 1, true)),
            "a message leaves now: {:?}",
            harness.not_applied()
        );
        let (first, newest) = ("1", nonce(newest));
        harness.ack(1, kind, first);
        harness.ack(1, kind, &newest);
        assert_eq!(harness.acknowledged(), [(3, 19)]);
    }
}

#[test]
fn a_proxy_that_never_answers_is_remembered_within_bounds() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    for ack_number in 2..200 {
        harness.now += 800.0;
        harness.apply(ack_number, vec![set_weight("a1", f64::from(ack_number))]);
        assert_eq!(harness.responses.len(), 1, "it reads, so it is sent more");
    }
    let pending = harness.gauge("streams_unanswered");
    assert!(pending <= 32.0, "{pending}");
    let last = nonce(&harness.responses[0].1);
    harness.ack(1, StreamKind::StateOfTheWorld, &last);
    assert_eq!(
        harness.acknowledged(),
        [(3, 199)],
        "its ACK comes late, and is one"
    );
}

#[test]
fn an_old_nonce_changes_no_names() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    let look_alone = |response_nonce: String| DiscoveryRequest {
        response_nonce,
        resource_names: vec!["look".into()],
        ..DiscoveryRequest::default()
    };
    harness.apply(2, vec![set_weight("a2", 1.0)]);
    harness.discovery_request(1, look_alone("1".into()));
    assert!(harness.counters.contains(&"nonces_stale"));
    harness.apply(3, vec![set_weight("a2", 2.0)]);
    assert_eq!(
        harness.responses[0].1.resources().len(),
        2,
        "both classes are still subscribed to"
    );
    let newest = nonce(&harness.responses[0].1);
    harness.discovery_request(1, look_alone(newest));
    harness.apply(4, vec![set_weight("a2", 3.0)]);
    assert_eq!(harness.responses[0].1.resources().len(), 1);
}

#[test]
fn a_nonce_that_was_never_given_proves_nothing() {
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
fn a_subscription_is_answered_and_subscribing_without_end_is_not() {
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
        panic!("an answer")
    };
    assert_eq!(
        &response.removed_resources,
        &["nope"],
        "a name that does not exist is told as removed"
    );
    harness.bind(1, &[3]);
    assert_eq!(harness.responses[0].1.resources().len(), 1);
    harness.delta_request(1, subscribe(&["pay"]));
    assert_eq!(classes(&harness.responses[0].1)[0], "pay");
    let mut sent = 0;
    for _ in 0..200 {
        harness.now += 10.0;
        harness.delta_request(1, subscribe(&["pay"]));
        sent += harness.responses.len();
    }
    assert!(
        sent <= 6,
        "{sent} of 200: subscribing again does not get round the cap"
    );
    harness.apply(2, vec![set_weight("a2", 1.0)]);
    assert_eq!(
        harness.responses.len(),
        1,
        "what the policy orders is still sent"
    );
}

/// The first request of a proxy that holds what a response of an earlier stream brought.
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
fn a_reconnecting_proxy_is_sent_nothing_it_holds_and_everything_after_a_restart_of_the_director() {
    for kind in DISCOVERY_KINDS {
        // The stream broke (7), or the director died and came back as another incarnation (8).
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
                "what it holds needs no ACK"
            );
        }
    }
}

#[test]
fn a_moved_host_is_sent_and_one_that_the_list_drops_keeps_its_address_while_a_table_names_it() {
    let mut harness = Harness::with_bound_proxy(StreamKind::StateOfTheWorld);
    harness.responses.clear();
    harness.list_hosts(&["a2", "a1"]);
    let (_, response) = harness.responses.last().expect("addresses have changed");
    assert_eq!(endpoints(response, "look").len(), 2, "b1 is still there");
}

#[test]
fn all_that_is_remembered_goes_with_its_stream() {
    let mut harness = Harness::new();
    let remembered =
        |harness: &Harness| -> f64 { harness.streams.gauges().iter().map(|g| g.2).sum() };
    let nothing = remembered(&harness);
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
        harness.pass(100.0);
    }
    assert_eq!(remembered(&harness), nothing);
}
