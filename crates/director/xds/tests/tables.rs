//! Tables on streams: who joins, what is sent, and what an answer proves, for both kinds of discovery streams.

mod common;

use common::*;
use rushcourse_policy::interface::*;
use rushcourse_xds::{DeltaDiscoveryRequest, DiscoveryRequest, Response, StatusCode, StreamKind};

const BOTH: [StreamKind; 2] = [StreamKind::StateOfTheWorld, StreamKind::Delta];

/// A stand whose proxy 3 has joined by stream 1 and was bound to its table under mark 1.
fn bound(kind: StreamKind) -> Stand {
    let mut stand = Stand::new();
    stand.join(1, 3, kind);
    stand.bind(1, &[3]);
    stand
}

/// The same with a second order, under mark 2; no response is answered yet. Also the nonces of both responses.
fn two_unanswered(kind: StreamKind) -> (Stand, String, String) {
    let mut stand = bound(kind);
    let first = nonce(&stand.responses[0].1);
    stand.reply(2, vec![line("a2", 1.0)]);
    let second = nonce(&stand.responses[0].1);
    (stand, first, second)
}

#[test]
fn a_relay_joins_is_sent_its_tables_and_its_answer_proves_the_mark() {
    for kind in BOTH {
        let mut stand = Stand::new();
        stand.join(1, 3, kind);
        assert!(stand.responses.is_empty(), "nothing before it is bound");
        stand.bind(41, &[3]);
        let [(1, response)] = &stand.responses[..] else {
            panic!("one response: {:?}", stand.responses)
        };
        let want = [
            ("a1".to_string(), 10_000, false),
            ("b1".into(), 2_500, false),
        ];
        assert_eq!(lines(response, "look"), want);
        assert_eq!(lines(response, "pay"), want);
        assert!(stand.proved().is_empty(), "nothing is proved by sending");
        let nonce = nonce(response);
        stand.answer(1, kind, &nonce, None);
        assert_eq!(stand.proved(), [(3, 41)]);
        assert!(stand.responses.is_empty(), "an answer is not answered");
        stand.answer(1, kind, &nonce, None);
        assert!(
            stand.proved().is_empty() && stand.counts.contains(&"nonces_unknown"),
            "it is proved once"
        );
    }
}

#[test]
fn a_drain_is_shown_as_such_and_goes_out_while_an_answer_is_waited_for() {
    for kind in BOTH {
        let mut stand = bound(kind);
        let out = Action::SetWithdrawn {
            host: "a1".into(),
            is_withdrawn: true,
            channel: Channel::Dedicated,
        };
        stand.reply(2, vec![out]);
        let [(1, response)] = &stand.responses[..] else {
            panic!("one response")
        };
        assert_eq!(lines(response, "look")[0], ("a1".to_string(), 10_000, true));
        stand.reply(
            3,
            vec![Action::SetWithdrawn {
                host: "a1".into(),
                is_withdrawn: true,
                channel: Channel::Shared,
            }],
        );
        assert!(stand.responses.is_empty(), "the relay's affair");
    }
}

#[test]
fn levels_and_the_way_of_trying_again_are_told() {
    let mut stand = bound(StreamKind::Delta);
    let again = RetryPolicy::OnceIfNotRun;
    stand.reply(
        2,
        vec![Action::SetAdmission {
            table: TABLE,
            classes: 0b10,
            quota: 0.9,
            retry_policy: again,
        }],
    );
    let [(1, response)] = &stand.responses[..] else {
        panic!("one response")
    };
    let [pay] = tables(response)[..] else {
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
fn an_answer_to_an_older_response_proves_that_one_alone() {
    for kind in BOTH {
        let (mut stand, first, second) = two_unanswered(kind);
        stand.answer(1, kind, &first, None);
        assert_eq!(stand.proved(), [(3, 1)], "{kind:?}");
        stand.answer(1, kind, &second, None);
        assert_eq!(stand.proved(), [(3, 2)]);
    }
}

#[test]
fn in_a_state_of_the_world_stream_a_later_answer_speaks_for_earlier_ones_and_in_an_incremental_one_it_does_not()
 {
    for (kind, want) in [
        (StreamKind::StateOfTheWorld, vec![(3, 2)]),
        (StreamKind::Delta, vec![]),
    ] {
        let (mut stand, first, second) = two_unanswered(kind);
        stand.answer(1, kind, &second, None);
        assert_eq!(stand.proved(), want, "{kind:?}");
        stand.answer(1, kind, &first, None);
        let rest = if kind == StreamKind::Delta {
            vec![(3, 2)]
        } else {
            vec![]
        };
        assert_eq!(stand.proved(), rest, "{kind:?}");
    }
}

#[test]
fn a_refused_table_proves_nothing_is_said_to_be_behind_and_goes_out_again_after_a_pause() {
    for kind in BOTH {
        let mut stand = Stand::new();
        stand.join(1, 3, kind);
        stand.bind(5, &[3]);
        let refused = nonce(&stand.responses[0].1);
        stand.answer(1, kind, &refused, Some("no such locality"));
        assert!(stand.proved().is_empty());
        assert_eq!(stand.behind(), [(3, 5, false)]);
        stand.pass(4500.0);
        assert!(stand.responses.is_empty(), "not at once");
        assert!(
            stand.behind().len() >= 4,
            "the module hears it each second: {:?}",
            stand.behind()
        );
        stand.pass(600.0);
        let [(1, again)] = &stand.responses[..] else {
            panic!("{kind:?}: it goes out again")
        };
        let again = nonce(again);
        assert!(
            stand.behind().contains(&(3, 5, true)),
            "one more message: {:?}",
            stand.behind()
        );
        stand.answer(1, kind, &again, None);
        assert_eq!(stand.proved(), [(3, 5)]);
        stand.pass(30_000.0);
        assert!(stand.responses.is_empty() && stand.behind().is_empty());
    }
}

#[test]
fn what_is_sent_after_a_refusal_does_not_prove_what_was_refused() {
    let mut stand = bound(StreamKind::Delta);
    let first = nonce(&stand.responses[0].1);
    let level = |quota| Action::SetAdmission {
        table: TABLE,
        classes: 0b10,
        quota,
        retry_policy: RetryPolicy::Never,
    };
    stand.reply(2, vec![level(0.5)]);
    let second = nonce(&stand.responses[0].1);
    stand.answer(1, StreamKind::Delta, &first, Some("no"));
    // The refused response held both classes; "pay" has gone out anew since, "look" has not.
    stand.answer(1, StreamKind::Delta, &second, None);
    assert!(
        stand.proved().is_empty(),
        "look is still refused: {:?}",
        stand.proved()
    );
    stand.reply(3, vec![level(0.4)]);
    let third = nonce(&stand.responses[0].1);
    stand.answer(1, StreamKind::Delta, &third, None);
    assert!(stand.proved().is_empty());
    stand.pass(6000.0);
    let (_, again) = stand.responses.last().expect("look goes out again");
    assert_eq!(
        tables(again)
            .iter()
            .map(|r| r.assignment.cluster_name.as_str())
            .collect::<Vec<_>>(),
        ["look"]
    );
    let again = nonce(again);
    stand.answer(1, StreamKind::Delta, &again, None);
    assert_eq!(stand.proved(), [(3, 3)]);
}

#[test]
fn a_relay_that_reads_nothing_has_one_response_waiting_and_the_newest_state_after_that() {
    for kind in BOTH {
        let mut stand = Stand::new();
        stand.join(1, 3, kind);
        stand.takes = false;
        stand.bind(1, &[3]);
        assert_eq!(stand.responses.len(), 1);
        for mark in 2..20 {
            stand.reply(mark, vec![line("a1", f64::from(mark))]);
            assert!(
                stand.responses.is_empty(),
                "it is not read, so no more is handed over"
            );
        }
        stand.pass(2000.0);
        let behind = stand.behind();
        assert!(
            behind.len() >= 2 && behind.iter().all(|b| *b == (3, 1, false)),
            "{behind:?}"
        );
        stand.takes = true;
        stand.accept(1);
        let [(1, newest)] = &stand.responses[..] else {
            panic!("one for all that came meanwhile")
        };
        assert_eq!(lines(newest, "look")[0], ("a1".to_string(), 190_000, false));
        assert!(
            stand.behind().contains(&(3, 1, true)),
            "a message leaves now: {:?}",
            stand.behind()
        );
        let (first, newest) = ("1", nonce(newest));
        stand.answer(1, kind, first, None);
        stand.answer(1, kind, &newest, None);
        assert_eq!(stand.proved(), [(3, 19)]);
    }
}

#[test]
fn a_stream_that_takes_nothing_for_long_is_ended_and_its_proxy_has_left() {
    let mut stand = Stand::new();
    stand.join(1, 3, StreamKind::StateOfTheWorld);
    stand.takes = false;
    stand.bind(1, &[3]);
    stand.pass(9900.0);
    assert!(stand.ended.is_empty());
    stand.pass(200.0);
    assert_eq!(stand.ended, [(1, StatusCode::Unavailable)]);
    assert!(
        matches!(
            stand.events[..],
            [Event::ProxyLeft {
                proxy: 3,
                channel: Channel::Dedicated
            }]
        ),
        "{:?}",
        stand.events
    );
}

#[test]
fn a_relay_that_never_answers_is_remembered_within_bounds() {
    let mut stand = bound(StreamKind::StateOfTheWorld);
    for mark in 2..200 {
        stand.now += 800.0;
        stand.reply(mark, vec![line("a1", f64::from(mark))]);
        assert_eq!(stand.responses.len(), 1, "it reads, so it is told");
    }
    let unanswered = stand
        .streams
        .gauges()
        .into_iter()
        .find(|g| g.0 == "streams_unanswered")
        .expect("a gauge")
        .2;
    assert!(unanswered <= 32.0, "{unanswered}");
    let last = nonce(&stand.responses[0].1);
    stand.answer(1, StreamKind::StateOfTheWorld, &last, None);
    assert_eq!(
        stand.proved(),
        [(3, 199)],
        "its answer comes late, and is one"
    );
}

#[test]
fn an_old_nonce_changes_no_names() {
    let mut stand = bound(StreamKind::StateOfTheWorld);
    stand.reply(2, vec![line("a2", 1.0)]);
    let ask = DiscoveryRequest {
        response_nonce: "1".into(),
        resource_names: vec!["look".into()],
        ..DiscoveryRequest::default()
    };
    stand.discovery(1, ask);
    assert!(stand.counts.contains(&"nonces_stale"));
    stand.reply(3, vec![line("a2", 2.0)]);
    assert_eq!(
        tables(&stand.responses[0].1).len(),
        2,
        "both classes are still asked for"
    );
    let newest = nonce(&stand.responses[0].1);
    stand.discovery(
        1,
        DiscoveryRequest {
            response_nonce: newest,
            resource_names: vec!["look".into()],
            ..DiscoveryRequest::default()
        },
    );
    stand.reply(4, vec![line("a2", 3.0)]);
    assert_eq!(tables(&stand.responses[0].1).len(), 1);
}

#[test]
fn a_subscription_is_answered_and_asking_without_end_is_not() {
    let mut stand = Stand::new();
    stand.open(1, 1, StreamKind::Delta);
    stand.delta(
        1,
        DeltaDiscoveryRequest {
            node: Some(node(3)),
            resource_names_subscribe: vec!["look".into(), "nope".into()],
            ..DeltaDiscoveryRequest::default()
        },
    );
    let Some((_, Response::Delta(response))) = stand.responses.first() else {
        panic!("an answer")
    };
    assert_eq!(
        &response.removed_resources,
        &["nope"],
        "a name that does not exist is told as removed"
    );
    stand.bind(1, &[3]);
    assert_eq!(tables(&stand.responses[0].1).len(), 1);
    stand.delta(
        1,
        DeltaDiscoveryRequest {
            resource_names_subscribe: vec!["pay".into()],
            ..DeltaDiscoveryRequest::default()
        },
    );
    assert_eq!(
        tables(&stand.responses[0].1)[0].assignment.cluster_name,
        "pay"
    );
    let mut sent = 0;
    for _ in 0..200 {
        stand.now += 10.0;
        stand.delta(
            1,
            DeltaDiscoveryRequest {
                resource_names_subscribe: vec!["pay".into()],
                ..DeltaDiscoveryRequest::default()
            },
        );
        sent += stand.responses.len();
    }
    assert!(
        sent <= 6,
        "{sent} of 200: asking again does not get round the cap"
    );
    stand.reply(2, vec![line("a2", 1.0)]);
    assert_eq!(
        stand.responses.len(),
        1,
        "what the module orders still goes out"
    );
}

#[test]
fn who_reconnects_with_what_it_holds_is_sent_nothing_and_who_brings_versions_of_another_life_is_sent_all()
 {
    for kind in BOTH {
        for (incarnation, want) in [(7, 0), (8, 1)] {
            let mut before = Stand::new();
            before.join(1, 3, kind);
            before.bind(1, &[3]);
            let response = before.responses[0].1.clone();
            let held = tables(&response)
                .into_iter()
                .map(|r| (r.assignment.cluster_name.clone(), r.version.clone()));
            let version = response.version().expect("a discovery response");
            // The director dies and comes back as another (8), or the stream broke (7).
            let mut stand = Stand::of(stream_config(incarnation));
            stand.open(2, 2, kind);
            let (node, names) = (Some(node(3)), vec!["look".to_string(), "pay".into()]);
            match kind {
                StreamKind::StateOfTheWorld => stand.discovery(
                    2,
                    DiscoveryRequest {
                        node,
                        resource_names: names,
                        version_info: version.into(),
                        ..DiscoveryRequest::default()
                    },
                ),
                _ => {
                    let initial = held.collect();
                    stand.delta(
                        2,
                        DeltaDiscoveryRequest {
                            node,
                            resource_names_subscribe: names,
                            initial_resource_versions: initial,
                            ..DeltaDiscoveryRequest::default()
                        },
                    );
                }
            }
            stand.bind(9, &[3]);
            assert_eq!(stand.responses.len(), want, "{kind:?} {incarnation}");
            assert_eq!(
                stand.proved().len(),
                1 - want,
                "what it holds needs no answer"
            );
        }
    }
}

#[test]
fn strangers_doubles_and_crowds_get_their_status_and_the_joined_stay() {
    let mut stand = Stand::new();
    stand.join(1, 3, StreamKind::StateOfTheWorld);
    stand.open(2, 2, StreamKind::StateOfTheWorld);
    stand.discovery(2, DiscoveryRequest::default());
    assert_eq!(stand.ended, [(2, StatusCode::InvalidArgument)]);
    stand.open(3, 3, StreamKind::Delta);
    stand.first(3, 3, StreamKind::Delta);
    assert_eq!(
        stand.ended,
        [(3, StatusCode::AlreadyExists)],
        "relay 3 is alive"
    );
    stand.open(4, 4, StreamKind::StateOfTheWorld);
    stand.pass(1300.0);
    assert_eq!(stand.ended, [(4, StatusCode::DeadlineExceeded)]);
    for stream in 10..40 {
        stand.open(stream, stream, StreamKind::StateOfTheWorld);
    }
    let strange = stand
        .streams
        .gauges()
        .into_iter()
        .find(|g| g.0 == "streams_strange")
        .expect("a gauge")
        .2;
    assert_eq!(strange, LIMITS.max_unidentified as f64);
    stand.bind(1, &[3]);
    assert_eq!(stand.responses.len(), 1, "who has joined is served");
}

#[test]
fn a_relay_that_comes_back_before_its_old_stream_was_seen_to_be_gone_takes_its_place() {
    let mut stand = bound(StreamKind::StateOfTheWorld);
    stand.now += 3000.0;
    stand.open(2, 2, StreamKind::StateOfTheWorld);
    stand.first(2, 3, StreamKind::StateOfTheWorld);
    assert_eq!(stand.ended, [(1, StatusCode::Aborted)]);
    assert!(
        matches!(stand.events[..], [Event::ProxyJoined { proxy: 3, .. }]),
        "it did not leave: {:?}",
        stand.events
    );
    stand.close(1, "reset");
    assert!(stand.events.is_empty(), "the old one's end is no news");
    stand.bind(2, &[3]);
    assert_eq!(stand.responses[0].0, 2);
}

#[test]
fn one_stalled_stream_costs_the_others_nothing() {
    let mut stand = Stand::new();
    stand.takes = false;
    for proxy in 0..6 {
        stand.join(u64::from(proxy) + 1, proxy, StreamKind::Delta);
    }
    stand.bind(1, &[0, 1, 2, 3, 4, 5]);
    // All but the first read and answer; the first never does.
    for round in 2..12 {
        for stream in 2..=6 {
            stand.accept(stream);
            stand.answer(stream, StreamKind::Delta, &(round - 1).to_string(), None);
            assert_eq!(stand.proved(), [(stream as u32 - 1, round as u16 - 1)]);
        }
        stand.now += 300.0;
        stand.reply(round as u16, vec![line("a1", round as f64)]);
        let served: Vec<u64> = stand.responses.iter().map(|r| r.0).collect();
        assert_eq!(served, [2, 3, 4, 5, 6]);
    }
}

#[test]
fn a_host_that_moves_is_told_and_one_that_the_list_drops_keeps_its_place_while_a_table_names_it() {
    let mut stand = bound(StreamKind::StateOfTheWorld);
    stand.responses.clear();
    stand.list(&["a2", "a1"]);
    let (_, response) = stand.responses.last().expect("addresses have changed");
    assert_eq!(lines(response, "look").len(), 2, "b1 is still there");
}

#[test]
fn all_that_is_remembered_goes_with_its_stream() {
    let mut stand = Stand::new();
    let kept = |stand: &Stand| stand.streams.gauges().iter().map(|g| g.2).sum::<f64>();
    let none = kept(&stand);
    for round in 0..50u64 {
        for proxy in 0..6u32 {
            let stream = round * 10 + u64::from(proxy) + 1;
            stand.join(
                stream,
                proxy,
                if proxy % 2 == 0 {
                    StreamKind::StateOfTheWorld
                } else {
                    StreamKind::Delta
                },
            );
        }
        stand.bind(round as u16, &[0, 1, 2, 3, 4, 5]);
        for proxy in 0..6 {
            stand.close(round * 10 + proxy + 1, "");
        }
        stand.reply(60_000, vec![Action::ClearTable { table: TABLE }]);
        stand.pass(100.0);
    }
    assert_eq!(kept(&stand), none);
}

#[test]
fn an_answer_to_a_nonce_that_was_never_given_proves_nothing() {
    for kind in BOTH {
        let mut stand = bound(kind);
        for nonce in ["99", "0", "-1", "x", "184467440737095516160"] {
            stand.answer(1, kind, nonce, None);
            assert!(
                stand.proved().is_empty() && stand.counts.contains(&"nonces_unknown"),
                "{kind:?} {nonce}"
            );
        }
    }
}
