//! Hours of churn on a fake clock: what is remembered is what lives now, not what has been.

mod common;
use bytes::Bytes;
use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_director_state::{Input, Link};

const SIZES: [&str; 8] = [
    "calls_waiting",
    "events_waiting",
    "proxies_joined",
    "hosts_known",
    "peers_open",
    "collectors_joined",
    "timers_pending",
    "module_entries",
];

struct World {
    rng: ChaCha8Rng,
    revision: u64,
    /// Every host that ever was, the last ones alive.
    hosts: Vec<String>,
    conn: u64,
    collector: u64,
}

fn zone(k: usize) -> &'static str {
    ["east", "west"][k % 2]
}

/// Half a minute in which a host is replaced by a new one, streams break and strangers come.
fn half_minute(stand: &mut Stand, w: &mut World) {
    let now = stand.now;
    let (old, new) = (w.hosts.len() - 4, w.hosts.len());
    w.hosts.push(format!("s-{new:08x}"));
    let listed = |w: &World, phase: &str| {
        let rest = (old + 1..new).map(|k| member(&w.hosts[k], zone(k), "Ready", 0.0));
        let mut all: Vec<String> = rest.collect();
        all.push(member(&w.hosts[new], zone(new), "Ready", now));
        if phase != "Gone" {
            all.push(member(&w.hosts[old], zone(old), phase, 0.0));
        }
        all
    };
    let members = [
        member(&w.hosts[new], zone(new), "Ready", now),
        member(&w.hosts[old], zone(old), "Terminating", 0.0),
    ];
    stand.list = list(w.revision + 1, true, &listed(w, "Terminating"));
    w.revision += 1;
    stand.change(w.revision, &members);
    for second in 0..30 {
        if second == 8 {
            stand.list = list(w.revision + 1, true, &listed(w, "Gone"));
            w.revision += 1;
            // Told among changes, or only by its absence in a whole list.
            if w.rng.random_bool(0.5) {
                stand.change(w.revision, &[member(&w.hosts[old], zone(old), "Gone", 0.0)]);
            } else {
                let ask = stand.asks.last().expect("an ask").0;
                stand.give(Input::Unlisted {
                    ask,
                    why: "reset".into(),
                });
            }
        }
        // Reports, also on who is gone and on who never was.
        for k in old.saturating_sub(2)..=new {
            let bad = w.rng.random_range(0..3) * w.rng.random_range(0..3);
            let text = format!(
                r#"{{"@type":"heard","az":"{}","host":"{}","n":9,"bad":{bad},"avg":200.0,"window":1000.0}}"#,
                zone(k + second),
                w.hosts[k]
            );
            stand.give(Input::Frame {
                conn: w.collector,
                bytes: Bytes::from(text),
            });
        }
        let odd = format!(
            r#"{{"@type":"heard","az":"east","host":"odd-{}","n":9,"bad":1,"avg":200.0,"window":1000.0}}"#,
            w.rng.random::<u32>()
        );
        stand.give(Input::Frame {
            conn: w.collector,
            bytes: Bytes::from(odd),
        });
        // A stranger that pings and holds on, one that says nothing.
        for say in [true, false] {
            w.conn += 1;
            stand.give(Input::Opened {
                conn: w.conn,
                peer: format!("127.0.0.1:{}", w.conn),
            });
            if say {
                let bytes = Bytes::from_static(br#"{"@type":"ping"}"#);
                stand.give(Input::Frame {
                    conn: w.conn,
                    bytes,
                });
            }
        }
        let proxy = w.rng.random_range(1..9u32);
        match w.rng.random_range(0..6) {
            0 => {
                stand.news(&format!("* left {proxy}"));
                stand.news(&format!("* joined {proxy} {} 5.0 1", zone(proxy as usize)));
            }
            1 => stand.down(Link::News),
            2 => stand.down(Link::Calls),
            3 => stand.plan.push_back(Do::Break),
            _ => {}
        }
        if w.rng.random_bool(0.1) {
            w.conn += 1;
            w.collector = w.conn;
            stand.give(Input::Opened {
                conn: w.conn,
                peer: "collector".into(),
            });
            let bytes = Bytes::from_static(br#"{"@type":"collector","az":"east"}"#);
            stand.give(Input::Frame {
                conn: w.conn,
                bytes,
            });
        }
        stand.news("*");
        let proxies: Vec<u32> = (1..9).collect();
        if !stand.calls.is_empty() && stand.calls.iter().any(|c| c.contains("mark,")) {
            stand.applied(&proxies);
        }
        stand.pass(1000.0);
    }
    // The stand's own books are not what is measured.
    let keep = stand.calls.len().saturating_sub(50);
    stand.calls.drain(..keep);
    stand.logs.clear();
    stand.closed.clear();
    stand.written.clear();
}

#[test]
fn hours_of_churn_leave_sizes_flat() {
    let mut stand = Stand::started();
    stand.standing = (1..9)
        .map(|p| format!("* joined {p} {} 5.0 0", zone(p)))
        .collect();
    (1..9).for_each(|p| stand.news(&format!("* joined {p} {} 5.0 1", zone(p))));
    let hosts = ["a1", "b1", "a2", "b2"].map(String::from).to_vec();
    let mut w = World {
        rng: ChaCha8Rng::seed_from_u64(21),
        revision: 10,
        hosts,
        conn: 1,
        collector: 1,
    };
    stand.give(Input::Opened {
        conn: 1,
        peer: "collector".into(),
    });
    stand.give(Input::Frame {
        conn: 1,
        bytes: Bytes::from_static(br#"{"@type":"collector","az":"east"}"#),
    });
    let mut most = [[0.0f64; SIZES.len()]; 2];
    // Two hours: 240 hosts come and go.
    for turn in 0..240 {
        half_minute(&mut stand, &mut w);
        let sizes = SIZES.map(|name| stand.gauge(name));
        let half = &mut most[turn / 120];
        half.iter_mut().zip(sizes).for_each(|(m, s)| *m = m.max(s));
    }
    for (k, name) in SIZES.iter().enumerate() {
        assert!(
            most[1][k] <= 1.2 * most[0][k] + 2.0,
            "{name} grows: {:?}, {:?}",
            most[0][k],
            most[1][k]
        );
    }
    let by_name = |name: &str| most[1][SIZES.iter().position(|n| *n == name).expect("a size")];
    assert!(
        by_name("hosts_known") <= 6.0 && by_name("module_entries") < 80.0,
        "{most:?}"
    );
    assert!(by_name("peers_open") < 24.0, "{most:?}");
    assert!(
        stand.session.view().withdrawn.len() <= 6,
        "{:?}",
        stand.session.view().withdrawn
    );
    assert_eq!(stand.count("invariant_failures"), 0);
}
