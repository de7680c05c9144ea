//! What a frontend director decides: hosts, budget, claims, repeats.

use rushcourse_messages::*;
use rushcourse_routing::claims::VOTE_WAIT;
use rushcourse_routing::*;
use rushcourse_types::{CallSequence, Epoch, Incarnation, KeyDigest, Millis, NodeId};
use std::sync::Arc;

fn host(id: &str, zone: &str, state: HostState) -> HostRecord {
    let (id, zone, service): (Arc<str>, Arc<str>, Arc<str>) = (id.into(), zone.into(), "s".into());
    HostRecord {
        id,
        service,
        zone,
        address: "10.0.0.1:80".into(),
        slots: 4,
        state,
        sequence: CallSequence(1),
        warm_up: Millis(0),
        age: Millis(0),
    }
}

fn line(id: &str, zone: &str, weight: f32) -> EndpointWeight {
    EndpointWeight {
        host: host(id, zone, HostState::Ready),
        weight,
    }
}

fn tables(lines: &[(&str, &str)]) -> Tables {
    let mut tables = Tables::new("z1");
    tables.table(
        &"s".into(),
        lines.iter().map(|l| line(l.0, l.1, 4.0)).collect(),
    );
    tables
}

/// Numbers from 0 up to 1, the same each time.
fn lot() -> impl FnMut() -> f64 {
    let mut at = 0.0;
    move || {
        at = (at + 0.381_966) % 1.0;
        at
    }
}

#[test]
fn requests_spread_by_what_is_on_each_host_and_near_ones_come_first() {
    let mut t = tables(&[("a", "z1"), ("b", "z1"), ("c", "z2")]);
    let mut chance = lot();
    let mut count = std::collections::BTreeMap::new();
    for _ in 0..12 {
        let pick = t.pick(0, "s", &[], &mut chance).expect("a host");
        *count.entry(pick.id.to_string()).or_insert(0) += 1;
    }
    assert!(count["a"] >= 4 && count["b"] >= 4, "{count:?}");
    assert!(
        count["c"] >= 1 && count["c"] <= 4,
        "far, but taken before near ones are twice as full: {count:?}"
    );
}

#[test]
fn a_host_that_drains_or_is_gone_gets_nothing_whatever_tables_say_later() {
    let mut t = tables(&[("a", "z1"), ("b", "z1")]);
    t.out(&[host("a", "z1", HostState::Draining)]);
    assert!(!t.open("s", "a") && t.open("s", "b"));
    t.out(&[host("b", "z1", HostState::Gone)]);
    // A table that was sent before that arrives after it.
    t.table(
        &"s".into(),
        vec![line("a", "z1", 4.0), line("b", "z1", 4.0)],
    );
    assert_eq!(
        t.hosts("s"),
        [Arc::<str>::from("a")],
        "draining is taken back by newer news, the end of a life is not"
    );
}

#[test]
fn a_host_that_is_not_reached_rests_and_comes_back() {
    let mut t = tables(&[("a", "z1"), ("b", "z1")]);
    t.met(0, "s", &"a".into(), Met::Unreached);
    let mut chance = lot();
    assert!((0..8).all(|_| &*t.pick(100, "s", &[], &mut chance).expect("a host").id == "b"));
    assert!((0..8).any(|_| &*t.pick(400, "s", &[], &mut chance).expect("a host").id == "a"));
    // The only one that was not tried is taken, resting or not.
    t.met(400, "s", &"a".into(), Met::Unreached);
    assert_eq!(
        &*t.pick(500, "s", &["b".into()], &mut chance)
            .expect("a host")
            .id,
        "a"
    );
    assert_eq!(
        t.pick(500, "s", &["b".into(), "a".into()], &mut chance),
        None
    );
}

#[test]
fn further_tries_of_all_directors_stay_within_the_rule() {
    // 8 directors, 100 requests a second each for 20 s, each wants a second host for every request.
    let service: Arc<str> = "s".into();
    let mut spent: Vec<u64> = Vec::new();
    let mut all: Vec<Budget> = (0..8).map(|_| Budget::new(0.2, 56.0, 10_000)).collect();
    all.iter_mut().for_each(|b| b.members(8));
    for ms in (0..20_000).step_by(10) {
        for budget in &mut all {
            budget.request(ms, &service);
            if budget.take(ms, &service) {
                spent.push(ms);
            }
        }
    }
    for from in (0..10_000).step_by(100) {
        let within = spent
            .iter()
            .filter(|t| (from..from + 10_000).contains(*t))
            .count();
        assert!(
            within as f64 <= 0.2 * 8_000.0 + 56.0,
            "{within} from {from} ms"
        );
    }
    assert!(spent.len() > 1_000, "and they are used: {}", spent.len());
}

#[allow(
    clippy::needless_update,
    reason = "the set gains fields that don't matter here"
)]
fn voting_set(number: u64, members: &[NodeId]) -> VotingSet {
    VotingSet {
        epoch: Epoch(number),
        members: members.to_vec(),
        ..Default::default()
    }
}

fn claims() -> Claims {
    let mut claims = Claims::new(NodeId(9), Incarnation(1));
    claims.set(
        0,
        NodeId(1),
        voting_set(1, &[NodeId(1), NodeId(2), NodeId(3), NodeId(4)]),
        |_| true,
    );
    claims
}

#[test]
fn a_claim_is_won_by_a_majority_that_grants_it_in_time() {
    let mut c = claims();
    let (claim, asked) = c.begin(0, KeyDigest(5), |_| true).expect("all are reached");
    assert_eq!(asked, [1, 2, 3, 4].map(NodeId));
    assert_eq!(
        c.vote(
            10,
            NodeId(1),
            Epoch(1),
            KeyDigest(5),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        c.vote(
            10,
            NodeId(1),
            Epoch(1),
            KeyDigest(5),
            claim,
            ClaimVerdict::Granted
        ),
        None,
        "one voter counts once"
    );
    assert_eq!(
        c.vote(
            11,
            NodeId(2),
            Epoch(1),
            KeyDigest(5),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        c.vote(
            12,
            NodeId(3),
            Epoch(2),
            KeyDigest(5),
            claim,
            ClaimVerdict::Granted
        ),
        None,
        "of another set"
    );
    assert_eq!(
        c.vote(
            13,
            NodeId(3),
            Epoch(1),
            KeyDigest(5),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_vote_that_comes_too_late_is_no_vote() {
    let mut c = claims();
    let (claim, _) = c.begin(0, KeyDigest(5), |_| true).expect("all are reached");
    c.vote(
        10,
        NodeId(1),
        Epoch(1),
        KeyDigest(5),
        claim,
        ClaimVerdict::Granted,
    );
    c.vote(
        11,
        NodeId(2),
        Epoch(1),
        KeyDigest(5),
        claim,
        ClaimVerdict::Granted,
    );
    // Frozen and woken: the third grant lay in its socket all the while.
    assert_eq!(
        c.vote(
            VOTE_WAIT,
            NodeId(3),
            Epoch(1),
            KeyDigest(5),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Unclear)
    );
}

#[test]
fn a_claim_is_lost_as_soon_as_no_majority_is_left() {
    let mut c = claims();
    let other = ClaimId {
        node: NodeId(8),
        incarnation: Incarnation(1),
        number: 1,
    };
    let (claim, _) = c.begin(0, KeyDigest(5), |_| true).expect("all are reached");
    c.vote(
        10,
        NodeId(1),
        Epoch(1),
        KeyDigest(5),
        claim,
        ClaimVerdict::HeldBy(other),
    );
    assert_eq!(
        c.vote(
            11,
            NodeId(2),
            Epoch(1),
            KeyDigest(5),
            claim,
            ClaimVerdict::HeldBy(other)
        ),
        Some(Verdicts::Lost(other))
    );
    let (claim, _) = c
        .begin(20, KeyDigest(6), |n| n != NodeId(4))
        .expect("three are reached");
    assert_eq!(
        c.lost_voter(30, NodeId(2)),
        vec![Decision {
            key: KeyDigest(6),
            claim,
            verdicts: Verdicts::Unclear
        }]
    );
    assert!(
        c.begin(40, KeyDigest(7), |n| n < NodeId(3)).is_none(),
        "two of four are no majority"
    );
}

#[test]
fn a_repeat_gets_the_first_answer_until_the_window_is_over() {
    let mut o = Operations::new(60_000, 1_000);
    let claim = ClaimId {
        node: NodeId(9),
        incarnation: Incarnation(1),
        number: 1,
    };
    let kept = |bytes: usize| {
        State::Answered(Arc::new(StoredResponse {
            status: 200,
            headers: vec![],
            body: vec![7; bytes],
        }))
    };
    o.begin(0, KeyDigest(5), claim);
    assert_eq!(o.progress(KeyDigest(5), claim), OperationState::Running);
    o.end(KeyDigest(5), claim, kept(600));
    assert!(
        matches!(o.progress(KeyDigest(5), claim), OperationState::Completed(k) if k.body.len() == 600)
    );
    assert_eq!(
        o.progress(KeyDigest(5), ClaimId { number: 2, ..claim }),
        OperationState::NotFound,
        "another claim of the same key"
    );
    // The oldest answers go when there is no room; what ran is never forgotten sooner than the window.
    o.begin(1, KeyDigest(6), claim);
    o.end(KeyDigest(6), claim, kept(600));
    assert!(
        matches!(o.state(KeyDigest(5)), Some(State::Unknown))
            && matches!(o.state(KeyDigest(6)), Some(State::Answered(_)))
    );
    o.begin(2, KeyDigest(7), claim);
    o.withdraw(KeyDigest(7), claim);
    assert!(
        o.state(KeyDigest(7)).is_none(),
        "nothing was sent: free again"
    );
    o.tick(60_000);
    assert_eq!(o.len(), 2);
    o.tick(70_000);
    assert_eq!((o.len(), o.bytes()), (0, 0));
}

#[test]
fn an_operation_that_runs_beyond_the_window_is_forgotten_after_its_end() {
    let mut o = Operations::new(60_000, 1_000);
    let claim = ClaimId {
        node: NodeId(9),
        incarnation: Incarnation(1),
        number: 1,
    };
    o.begin(0, KeyDigest(5), claim);
    o.tick(70_000);
    assert_eq!(
        o.progress(KeyDigest(5), claim),
        OperationState::Running,
        "not while it runs"
    );
    o.end(
        KeyDigest(5),
        claim,
        State::Answered(Arc::new(StoredResponse {
            status: 200,
            headers: vec![],
            body: vec![7; 10],
        })),
    );
    o.tick(80_000);
    assert_eq!(o.len(), 1, "its repeats still come");
    o.tick(140_000);
    assert_eq!((o.len(), o.bytes()), (0, 0));
}

#[test]
fn the_home_is_near_and_stays_until_it_must_change() {
    let mut h = Homing::new(NodeId(9), "z1");
    h.up(NodeId(1), "z2");
    h.primed(NodeId(1), true);
    assert_eq!(h.choose(), (Some(NodeId(1)), None));
    h.up(NodeId(2), "z1");
    h.primed(NodeId(2), true);
    assert_eq!(
        h.choose(),
        (None, None),
        "a nearer one comes: no change while the first one is good"
    );
    h.primed(NodeId(1), false);
    assert_eq!(h.choose(), (Some(NodeId(2)), Some(NodeId(1))));
    h.primed(NodeId(2), false);
    assert_eq!(
        (h.choose(), h.home()),
        ((None, None), Some(NodeId(2))),
        "nobody better: it stays"
    );
    h.down(NodeId(2));
    assert_eq!(h.home(), None);
}
