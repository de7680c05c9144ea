//! Properties under random valid inputs and faults with fixed seeds: at most one call is in flight (asserted by the harness),
//! the order of calls is kept, queues are bounded and no invariant is violated.

mod common;

use common::harness::{Harness, session_limits};
use common::platform::{HOSTS, all_members, last_ack_number, list, member};
use common::relay::CallOutcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_director_state::{InboundId, Input, RelayLink};
use std::collections::BTreeSet;

/// Number of proxies; their identifiers start at 0.
const PROXIES: u32 = 8;

fn random_outcome(rng: &mut ChaCha8Rng) -> CallOutcome {
    match rng.random_range(0..7) {
        0 => CallOutcome::Disconnect,
        1 => CallOutcome::Silence,
        2 => CallOutcome::reply("BUSY"),
        3 => CallOutcome::Reply(format!("OK {}", rng.random_range(0..4))),
        4 => CallOutcome::reply("what?"),
        _ => CallOutcome::Accept,
    }
}

fn zone(proxy: u32) -> &'static str {
    ["east", "west"][proxy as usize % 2]
}

/// A session with the state of its simulated environment.
struct RandomRun {
    rng: ChaCha8Rng,
    harness: Harness,
    joined: BTreeSet<u32>,
    revision: u64,
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        RandomRun {
            rng: ChaCha8Rng::seed_from_u64(seed),
            harness: Harness::started(),
            joined: BTreeSet::new(),
            revision: 10,
        }
    }

    /// Applies one random input or fault.
    fn step(&mut self) {
        let proxy = self.rng.random_range(0..PROXIES);
        match self.rng.random_range(0..14) {
            0 | 1 if !self.joined.contains(&proxy) => self.join(proxy),
            2 if self.joined.remove(&proxy) => self.harness.notify(&format!("* left {proxy}")),
            3 if last_ack_number(&self.harness.relay.calls).is_some() => {
                let ack_number = self.harness.ack_number();
                let line = format!("* applied {proxy} {ack_number} 200.0");
                self.harness.notify(&line);
            }
            4 | 5 => self.change_host(),
            6 => self.harness.notify("*"),
            7 => self.harness.disconnect(RelayLink::Watch),
            8 => self.harness.disconnect(RelayLink::Calls),
            9 => {
                let outcome = random_outcome(&mut self.rng);
                self.harness.relay.outcomes.push_back(outcome);
            }
            10 => self.connect_peer(),
            11 => self.report(proxy),
            12 => self.harness.relay.is_reachable = self.rng.random_bool(0.7),
            _ => self.harness.fail_fetch("reset"),
        }
        self.harness.relay.joined = self
            .joined
            .iter()
            .map(|proxy| format!("* joined {proxy} {} 5.0 0", zone(*proxy)))
            .collect();
    }

    fn join(&mut self, proxy: u32) {
        self.joined.insert(proxy);
        let is_fresh = self.rng.random_range(0..2);
        let line = format!("* joined {proxy} {} 5.0 {is_fresh}", zone(proxy));
        self.harness.notify(&line);
    }

    fn change_host(&mut self) {
        let (id, zone) = HOSTS[self.rng.random_range(0..4)];
        let phases = ["Ready", "Ready", "Terminating", "Gone", "Odd"];
        let phase = phases[self.rng.random_range(0..5)];
        self.revision += 1;
        let started_at = if self.rng.random_bool(0.3) {
            self.harness.now - 500.0
        } else {
            0.0
        };
        let changed = member(id, zone, phase, started_at);
        self.harness.change_list(self.revision, &[changed]);
    }

    fn connect_peer(&mut self) {
        let number = self.rng.random_range(1..6);
        let closed = self.harness.inbound.closed.len() as u64;
        self.harness.handle(Input::InboundOpened {
            inbound: InboundId(number + closed * 10),
            peer: "x".into(),
        });
    }

    fn report(&mut self, proxy: u32) {
        let (attempts, failed) = (self.rng.random_range(0..30), self.rng.random_range(0..30));
        let report = format!(
            r#"{{"@type":"heard","az":"{}","host":"a1","n":{attempts},"bad":{failed},"avg":900}}"#,
            zone(proxy)
        );
        let inbound = self.rng.random_range(1..40);
        self.harness.receive(inbound, &report);
    }

    fn assert_bounds(&self) {
        assert!(self.harness.gauge("calls_waiting") <= 256.0);
        assert!(self.harness.gauge("events_waiting") <= 8192.0);
        let max_inbound = session_limits().max_inbound as f64;
        assert!(self.harness.gauge("peers_open") <= max_inbound);
        assert!(self.harness.gauge("timers_pending") <= 4096.0);
    }

    /// Makes the relay reachable and runs until all pending work is completed.
    fn recover(&mut self) {
        self.harness.relay.is_reachable = true;
        self.harness.relay.outcomes.clear();
        self.harness.run_for(3000.0);
        self.harness.notify("*");
        self.harness.run_for(500.0);
    }
}

#[test]
fn order_and_bounds_hold_for_random_inputs() {
    for seed in 0..60 {
        let mut run = RandomRun::new(seed);
        for _ in 0..400 {
            run.step();
            run.harness.discovery.list = list(run.revision, true, &all_members());
            let ms = run.rng.random_range(0.0..120.0);
            run.harness.run_for(ms);
            run.assert_bounds();
        }
        // After the faults end, all queued calls are sent and the joined proxies are known.
        run.recover();
        let harness = &run.harness;
        assert_eq!(harness.gauge("calls_waiting"), 0.0, "seed {seed}");
        assert_eq!(
            harness.gauge("proxies_joined"),
            run.joined.len() as f64,
            "seed {seed}"
        );
        assert_eq!(harness.counter("invariant_failures"), 0, "seed {seed}");
        assert_ack_numbers_in_order(&harness.relay.calls, seed);
    }
}

/// Asserts that acknowledgement numbers never decrease; a resent call keeps its number.
fn assert_ack_numbers_in_order(calls: &[String], seed: u64) {
    let numbers: Vec<u16> = calls
        .iter()
        .flat_map(|call| call.split(';'))
        .filter_map(|order| order.strip_prefix("mark,")?.split(',').next()?.parse().ok())
        .collect();
    assert!(
        numbers.windows(2).all(|pair| pair[1] >= pair[0]),
        "seed {seed}: {numbers:?}"
    );
}

/// Returns all calls and log lines of a random run.
fn run_random(seed: u64) -> (Vec<String>, Vec<String>) {
    let mut run = RandomRun::new(seed);
    for _ in 0..200 {
        run.step();
        run.harness.run_for(50.0);
    }
    (run.harness.relay.calls, run.harness.log)
}

#[test]
fn identical_inputs_produce_identical_calls() {
    assert_eq!(run_random(5), run_random(5));
}
