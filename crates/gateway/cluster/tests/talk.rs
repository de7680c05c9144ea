//! What core directors make of hosts, of each other, and of frontend directors.

use rushcourse_cluster::{Cluster, Effect, HostRegistry, Input, Topology};
use rushcourse_messages::{HostRecord, HostState, Message, NodeId};
use rushcourse_types::{CallSequence, Millis, SessionId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

fn news(id: &str, sequence: CallSequence, state: HostState) -> HostRecord {
    let word = |w: &str| Arc::<str>::from(w);
    let (id, service, zone, address) = (word(id), word("s"), word("z1"), word("10.0.0.1:80"));
    HostRecord {
        id,
        service,
        zone,
        address,
        slots: 4,
        state,
        sequence,
        warm_up: Millis(0),
        age: Millis(0),
    }
}

fn director() -> Cluster {
    let zones = vec!["z1".into(), "z2".into()];
    Cluster::new(Topology {
        zone: "z1".into(),
        zones,
        heartbeat_interval: Duration::from_millis(1_500),
        drain_timeout: Duration::from_millis(2_500),
    })
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// What goes to a frontend director's session.
fn to(effects: &[Effect], id: u64) -> Vec<Message> {
    let of = |e: &Effect| match e {
        Effect::SendToGateway { session, message } if *session == SessionId(id) => {
            Some(message.clone())
        }
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

fn pass(p: &mut Cluster, from: u64, until: u64) -> Vec<Effect> {
    (from..until)
        .step_by(50)
        .flat_map(|now| p.step(at(now), Input::Tick))
        .collect()
}

/// A director that knows three hosts, with a frontend director that takes its tables from it.
fn served() -> (Cluster, Vec<Effect>) {
    let mut p = director();
    p.step(at(1_000), Input::QuorumContactChanged(true));
    for id in ["i-1", "i-2", "i-3"] {
        p.step(
            at(1_000),
            Input::HostRequest(news(id, CallSequence(1), HostState::Ready)),
        );
    }
    pass(&mut p, 1_000, 4_000);
    p.step(
        at(4_000),
        Input::GatewaySessionOpened {
            session: SessionId(7),
            node: NodeId(70),
            zone: "z1".into(),
        },
    );
    let mut all = p.step(
        at(4_000),
        Input::GatewayMessage {
            session: SessionId(7),
            message: Message::PrimarySelected(true),
        },
    );
    all.extend(pass(&mut p, 4_050, 4_500));
    (p, all)
}

#[test]
fn a_frontend_director_gets_a_table_at_once_and_a_drain_before_all_else() {
    let (mut p, all) = served();
    let table = to(&all, 7).into_iter().find_map(|m| match m {
        Message::TableReplacement {
            endpoints: lines,
            revision: mark,
            ..
        } => Some((lines.len(), mark)),
        _ => None,
    });
    let (lines, mark) = table.expect("a table");
    assert_eq!(lines, 3);
    let applied = Message::TableApplied {
        service: "s".into(),
        revision: mark,
    };
    p.step(
        at(4_500),
        Input::GatewayMessage {
            session: SessionId(7),
            message: applied,
        },
    );
    let effects = p.step(
        at(4_600),
        Input::HostRequest(news("i-1", CallSequence(2), HostState::Draining)),
    );
    let out = |e: &Effect| matches!(e, Effect::BroadcastToGateways(Message::HostStates(n)) if &*n[0].id == "i-1");
    assert!(
        effects.iter().any(out),
        "every frontend director, whoever binds it"
    );
    let shut = |m: &Message| matches!(m, Message::HostStates(n) if &*n[0].id == "i-1");
    assert!(
        to(&effects, 7).iter().any(shut),
        "and by the module's order in the same reply"
    );
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::BroadcastToPeers(Message::HostUpdates(_))))
    );
}

#[test]
fn silence_ends_a_host_only_where_a_majority_is_heard() {
    for (company, gone) in [(true, true), (false, false)] {
        let (mut p, _) = served();
        p.step(at(4_500), Input::QuorumContactChanged(company));
        for now in (4_500u64..12_000).step_by(1_500) {
            for id in ["i-2", "i-3"] {
                p.step(
                    at(now),
                    Input::HostRequest(news(id, CallSequence(now), HostState::Ready)),
                );
            }
            pass(&mut p, now, now + 1_500);
        }
        let state = p.hosts().get("i-1").expect("known").state();
        assert_eq!(state == HostState::Gone, gone, "with a majority: {company}");
        p.step(
            at(13_000),
            Input::HostRequest(news("i-1", CallSequence(9), HostState::Ready)),
        );
        assert_eq!(
            p.hosts().get("i-1").expect("known").state(),
            HostState::Ready,
            "it calls again"
        );
    }
}

#[test]
fn a_director_that_is_back_from_a_cut_hears_the_others_before_it_judges() {
    let (mut p, _) = served();
    p.step(at(4_500), Input::QuorumContactChanged(false));
    pass(&mut p, 4_500, 24_500);
    p.step(at(24_500), Input::QuorumContactChanged(true));
    let effects = pass(&mut p, 24_500, 24_600);
    let judged = |e: &Effect| matches!(e, Effect::Log(s) if s.contains("host_silent"));
    assert!(
        !effects.iter().any(judged),
        "it did not hear where they beat meanwhile"
    );
    let mut lived = vec![
        news("i-1", CallSequence(20), HostState::Ready),
        news("i-2", CallSequence(20), HostState::Ready),
    ];
    lived[1].age = Millis(900);
    p.step(
        at(24_600),
        Input::PeerMessage {
            peer: NodeId(2),
            message: Message::HostUpdates(lived),
        },
    );
    pass(&mut p, 24_600, 26_000);
    let state = |id: &str| p.hosts().get(id).expect("known").state();
    assert_eq!(
        (state("i-1"), state("i-2")),
        (HostState::Ready, HostState::Ready)
    );
    assert_eq!(state("i-3"), HostState::Gone, "nobody heard it");
}

#[test]
fn a_director_that_was_frozen_hears_what_waits_before_it_judges_and_keeps_its_frontends() {
    let (mut p, _) = served();
    let mut effects = p.step(at(11_000), Input::Stalled);
    effects.extend(p.step(at(11_000), Input::Tick));
    let judged = |e: &Effect| matches!(e, Effect::Log(s) if s.contains("host_silent"));
    let standing = |e: &Effect| {
        matches!(
            e,
            Effect::BroadcastToGateways(Message::ControllerStatus { .. })
        )
    };
    assert!(!effects.iter().any(judged), "its own silence is not theirs");
    assert!(!effects.iter().any(standing), "a short freeze moves nobody");
    for id in ["i-1", "i-2"] {
        p.step(
            at(11_010),
            Input::HostRequest(news(id, CallSequence(5), HostState::Ready)),
        );
    }
    pass(&mut p, 11_050, 12_200);
    let state = |id: &str| p.hosts().get(id).expect("known").state();
    assert_eq!(
        [state("i-1"), state("i-2"), state("i-3")],
        [HostState::Ready, HostState::Ready, HostState::Gone]
    );
}

#[test]
fn late_calls_change_nothing_and_an_ended_life_stays_ended() {
    let mut hosts = HostRegistry::new(Duration::from_millis(1_500));
    assert!(hosts.apply_record(at(0), news("i-1", CallSequence(5), HostState::Draining)));
    assert!(
        !hosts.apply_record(at(10), news("i-1", CallSequence(4), HostState::Ready)),
        "sent before, came after"
    );
    assert_eq!(
        hosts.get("i-1").expect("known").state(),
        HostState::Draining
    );
    assert!(hosts.deregister(at(20), "i-1").is_some() && hosts.deregister(at(21), "i-1").is_none());
    assert!(!hosts.apply_record(at(30), news("i-1", CallSequence(6), HostState::Ready)));
    hosts.remove_expired(at(100_000));
    assert!(hosts.get("i-1").is_none(), "and is forgotten");
}

#[test]
fn copies_that_differ_are_found_by_range_and_mended() {
    let (mut a, mut b) = (director(), director());
    for k in 0..40 {
        a.step(
            at(0),
            Input::HostRequest(news(&format!("i-{k}"), CallSequence(1), HostState::Ready)),
        );
        b.step(
            at(0),
            Input::HostRequest(news(&format!("i-{k}"), CallSequence(1), HostState::Ready)),
        );
    }
    a.step(at(10), Input::Deregister("i-7".into()));
    let (mut here, mut there): (NodeId, NodeId) = (NodeId(1), NodeId(2));
    let mut mail = vec![Message::HostDigests(a.hosts().digests())];
    // The digest, the ranges asked for, the hosts of them.
    for turn in 0..3 {
        let p = if turn % 2 == 0 { &mut b } else { &mut a };
        let came = std::mem::take(&mut mail);
        let effects: Vec<Effect> = came
            .into_iter()
            .flat_map(|m| {
                p.step(
                    at(20),
                    Input::PeerMessage {
                        peer: here,
                        message: m,
                    },
                )
            })
            .collect();
        let back = |e: Effect| {
            if let Effect::SendToPeer { message: m, .. } = e {
                Some(m)
            } else {
                None
            }
        };
        mail = effects.into_iter().filter_map(back).collect();
        if let Some(Message::HostUpdates(sent)) = mail.first() {
            assert!(sent.len() < 10, "a range, not all: {}", sent.len());
        }
        std::mem::swap(&mut here, &mut there);
    }
    assert_eq!(
        b.hosts().get("i-7").expect("known").state(),
        HostState::Gone
    );
    assert!(b.hosts().differing_ranges(&a.hosts().digests()).is_empty());
}

#[test]
fn hosts_that_the_disk_held_are_tables_at_once_after_a_start() {
    let mut p = director();
    p.step(
        at(1_000),
        Input::HostsRestored(vec![
            news("i-1", CallSequence(5), HostState::Ready),
            news("i-2", CallSequence(5), HostState::Draining),
        ]),
    );
    assert!(p.is_synchronized());
    p.step(
        at(1_000),
        Input::GatewaySessionOpened {
            session: SessionId(7),
            node: NodeId(70),
            zone: "z1".into(),
        },
    );
    let mut all = p.step(
        at(1_000),
        Input::GatewayMessage {
            session: SessionId(7),
            message: Message::PrimarySelected(true),
        },
    );
    all.extend(pass(&mut p, 1_050, 1_400));
    let lines = |m: &Message| match m {
        Message::TableReplacement {
            endpoints: lines, ..
        }
        | Message::TableUpdate {
            endpoints: lines, ..
        } => lines.iter().filter(|l| l.weight > 0.0).count(),
        _ => 0,
    };
    assert_eq!(
        to(&all, 7).iter().map(lines).sum::<usize>(),
        1,
        "the one that drains is in none"
    );
}
