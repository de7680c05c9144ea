//! Random legal inputs with faults, fixed seeds: whatever comes, one call is in flight, order is kept, queues
//! are bounded, and nothing that must hold fails. The stand asserts the first at every call.

mod common;
use bytes::Bytes;
use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_director_state::{Bounds, Input, Link};
use std::collections::BTreeSet;

fn fault(rng: &mut ChaCha8Rng) -> Do {
    match rng.random_range(0..7) {
        0 => Do::Break,
        1 => Do::Silence,
        2 => Do::Say("BUSY".into()),
        3 => Do::Say(format!("OK {}", rng.random_range(0..4))),
        4 => Do::Say("what?".into()),
        _ => Do::Take,
    }
}

struct World {
    joined: BTreeSet<u32>,
    revision: u64,
}

fn standing(w: &World) -> Vec<String> {
    w.joined
        .iter()
        .map(|p| format!("* joined {p} {} 5.0 0", ["east", "west"][*p as usize % 2]))
        .collect()
}

fn step(rng: &mut ChaCha8Rng, stand: &mut Stand, w: &mut World) {
    let zone = |p: u32| ["east", "west"][p as usize % 2];
    let proxy = rng.random_range(0..8u32);
    match rng.random_range(0..14) {
        0 | 1 if !w.joined.contains(&proxy) => {
            w.joined.insert(proxy);
            stand.news(&format!(
                "* joined {proxy} {} 5.0 {}",
                zone(proxy),
                rng.random_range(0..2)
            ));
        }
        2 if w.joined.remove(&proxy) => stand.news(&format!("* left {proxy}")),
        3 if !stand.calls.is_empty() && stand.calls.iter().any(|c| c.contains("mark,")) => {
            let mark = stand.mark();
            stand.news(&format!("* applied {proxy} {mark} 200.0"));
        }
        4 | 5 => {
            let ids = [
                ("a1", "east"),
                ("a2", "east"),
                ("b1", "west"),
                ("b2", "west"),
            ];
            let (id, zone) = ids[rng.random_range(0..4)];
            let phase = ["Ready", "Ready", "Terminating", "Gone", "Odd"][rng.random_range(0..5)];
            w.revision += 1;
            let up = if rng.random_bool(0.3) {
                stand.now - 500.0
            } else {
                0.0
            };
            stand.change(w.revision, &[member(id, zone, phase, up)]);
        }
        6 => stand.news("*"),
        7 => {
            stand.down(Link::News);
        }
        8 => {
            stand.down(Link::Calls);
        }
        9 => {
            let f = fault(rng);
            stand.plan.push_back(f);
        }
        10 => {
            let conn = rng.random_range(1..6);
            stand.give(Input::Opened {
                conn: conn + stand.closed.len() as u64 * 10,
                peer: "x".into(),
            });
        }
        11 => {
            let text = format!(
                r#"{{"@type":"heard","az":"{}","host":"a1","n":{},"bad":{},"avg":900}}"#,
                zone(proxy),
                rng.random_range(0..30),
                rng.random_range(0..30)
            );
            let conn = rng.random_range(1..40);
            stand.give(Input::Frame {
                conn,
                bytes: Bytes::from(text),
            });
        }
        12 => stand.relay_up = rng.random_bool(0.7),
        _ => {
            let ask = stand.asks.last().expect("an ask").0;
            stand.give(Input::Unlisted {
                ask,
                why: "reset".into(),
            });
        }
    }
    stand.standing = standing(w);
}

#[test]
fn whatever_comes_order_and_bounds_are_kept() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stand = Stand::started();
        let mut w = World {
            joined: BTreeSet::new(),
            revision: 10,
        };
        for _ in 0..400 {
            step(&mut rng, &mut stand, &mut w);
            stand.list = list(w.revision, true, &fleet());
            let ms = rng.random_range(0.0..120.0);
            stand.pass(ms);
            assert!(stand.gauge("calls_waiting") <= 256.0);
            assert!(stand.gauge("events_waiting") <= 8192.0);
            assert!(stand.gauge("peers_open") <= Bounds::of(32.0, 256).peers as f64);
            assert!(stand.gauge("timers_pending") <= 4096.0);
        }
        // Quiet again: everything that waited goes out, and who is joined is known.
        stand.relay_up = true;
        stand.plan.clear();
        stand.pass(3000.0);
        stand.news("*");
        stand.pass(500.0);
        assert_eq!(stand.gauge("calls_waiting"), 0.0, "seed {seed}");
        assert_eq!(
            stand.gauge("proxies_joined"),
            w.joined.len() as f64,
            "seed {seed}"
        );
        assert_eq!(stand.count("invariant_failures"), 0, "seed {seed}");
        marks_in_order(&stand, seed);
    }
}

/// Marks rise by one from reply to reply; a call that is repeated repeats its own.
fn marks_in_order(stand: &Stand, seed: u64) {
    let marks: Vec<u16> = stand
        .calls
        .iter()
        .flat_map(|c| c.split(';'))
        .filter_map(|o| o.strip_prefix("mark,")?.split(',').next()?.parse().ok())
        .collect();
    assert!(
        marks.windows(2).all(|w| w[1] >= w[0]),
        "seed {seed}: {marks:?}"
    );
}

#[test]
fn the_same_inputs_give_the_same_calls() {
    let play = |seed: u64| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stand = Stand::started();
        let mut w = World {
            joined: BTreeSet::new(),
            revision: 10,
        };
        for _ in 0..200 {
            step(&mut rng, &mut stand, &mut w);
            stand.pass(50.0);
        }
        (stand.calls, stand.logs)
    };
    assert_eq!(play(5), play(5));
}
