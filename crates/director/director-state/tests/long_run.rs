//! Memory growth over hours of churn on a fake clock: state of removed hosts, proxies and connections must be released.

mod common;

use common::harness::Harness;
use common::platform::{last_ack_number, list, member};
use common::relay::CallOutcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_director_state::RelayLink;

/// Gauges that must not grow with the number of past hosts, proxies and connections.
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
/// Hosts that are listed at the same time.
const LIVE_HOSTS: usize = 4;
/// Duration of the run in half minutes: two hours, with one host replaced in each half minute.
const HALF_MINUTE_COUNT: usize = 240;
/// Second of a half minute at which the draining host is removed.
const GONE_AT_SECOND: usize = 8;

fn zone(index: usize) -> &'static str {
    ["east", "west"][index % 2]
}

/// A session exposed to replaced hosts, failing connections and unregistered peers.
struct Churn {
    rng: ChaCha8Rng,
    harness: Harness,
    revision: u64,
    /// All hosts so far in order of creation; the last [`LIVE_HOSTS`] are listed.
    hosts: Vec<String>,
    last_inbound: u64,
    collector: u64,
}

impl Churn {
    fn new() -> Churn {
        let mut harness = Harness::started();
        harness.relay.joined = (1..9)
            .map(|proxy| format!("* joined {proxy} {} 5.0 0", zone(proxy)))
            .collect();
        for proxy in 1..9 {
            harness.notify(&format!("* joined {proxy} {} 5.0 1", zone(proxy)));
        }
        let mut churn = Churn {
            rng: ChaCha8Rng::seed_from_u64(21),
            harness,
            revision: 10,
            hosts: ["a1", "b1", "a2", "b2"].map(String::from).to_vec(),
            last_inbound: 0,
            collector: 0,
        };
        churn.connect_collector();
        churn
    }

    /// Runs half a minute in which a host is replaced, connections fail and unregistered peers connect.
    fn run_half_minute(&mut self) {
        let now = self.harness.now;
        let (old, new) = (self.hosts.len() - LIVE_HOSTS, self.hosts.len());
        self.hosts.push(format!("s-{new:08x}"));
        let started = member(&self.hosts[new], zone(new), "Ready", now);
        self.list_hosts(old, new, "Terminating", &started);
        let draining = self.old_host(old, "Terminating");
        self.harness
            .change_list(self.revision, &[started.clone(), draining]);
        for second in 0..30 {
            if second == GONE_AT_SECOND {
                self.list_hosts(old, new, "Gone", &started);
                self.remove_host(old);
            }
            self.report(old, new, second);
            self.connect_unregistered_peers();
            self.inject_fault();
            self.replace_collector();
            self.harness.notify("*");
            if last_ack_number(&self.harness.relay.calls).is_some() {
                self.harness.acknowledge(&[1, 2, 3, 4, 5, 6, 7, 8]);
            }
            self.harness.run_for(1000.0);
        }
        self.clear_records();
    }

    fn old_host(&self, old: usize, phase: &str) -> String {
        member(&self.hosts[old], zone(old), phase, 0.0)
    }

    /// Sets the complete list to a new revision in which host `old` has this phase.
    fn list_hosts(&mut self, old: usize, new: usize, phase: &str, started: &str) {
        let mut members: Vec<String> = (old + 1..new)
            .map(|host| member(&self.hosts[host], zone(host), "Ready", 0.0))
            .collect();
        members.push(started.to_string());
        if phase != "Gone" {
            members.push(self.old_host(old, phase));
        }
        self.revision += 1;
        self.harness.discovery.list = list(self.revision, true, &members);
    }

    /// Removes host `old` by a delta, or by its absence from the complete list that follows a failed request.
    fn remove_host(&mut self, old: usize) {
        if self.rng.random_bool(0.5) {
            let gone = self.old_host(old, "Gone");
            self.harness.change_list(self.revision, &[gone]);
        } else {
            self.harness.fail_fetch("reset");
        }
    }

    /// Sends host reports, including ones on removed and unknown hosts.
    fn report(&mut self, old: usize, new: usize, second: usize) {
        for host in old.saturating_sub(2)..=new {
            let failed = self.rng.random_range(0..3) * self.rng.random_range(0..3);
            let report = format!(
                r#"{{"@type":"heard","az":"{}","host":"{}","n":9,"bad":{failed},"avg":200.0,"window":1000.0}}"#,
                zone(host + second),
                self.hosts[host]
            );
            self.harness.receive(self.collector, &report);
        }
        let unknown = format!(
            r#"{{"@type":"heard","az":"east","host":"odd-{}","n":9,"bad":1,"avg":200.0,"window":1000.0}}"#,
            self.rng.random::<u32>()
        );
        self.harness.receive(self.collector, &unknown);
    }

    /// Connects a peer that pings without registering, and one that sends nothing.
    fn connect_unregistered_peers(&mut self) {
        for pings in [true, false] {
            self.last_inbound += 1;
            self.harness.open_inbound(self.last_inbound);
            if pings {
                self.harness
                    .receive(self.last_inbound, r#"{"@type":"ping"}"#);
            }
        }
    }

    /// Lets a proxy rejoin or a connection to the relay fail, at random.
    fn inject_fault(&mut self) {
        let proxy = self.rng.random_range(1..9u32);
        match self.rng.random_range(0..6) {
            0 => {
                self.harness.notify(&format!("* left {proxy}"));
                let zone = zone(proxy as usize);
                self.harness
                    .notify(&format!("* joined {proxy} {zone} 5.0 1"));
            }
            1 => self.harness.disconnect(RelayLink::Watch),
            2 => self.harness.disconnect(RelayLink::Calls),
            3 => self
                .harness
                .relay
                .outcomes
                .push_back(CallOutcome::Disconnect),
            _ => {}
        }
    }

    fn replace_collector(&mut self) {
        if self.rng.random_bool(0.1) {
            self.connect_collector();
        }
    }

    fn connect_collector(&mut self) {
        self.last_inbound += 1;
        self.collector = self.last_inbound;
        self.harness.open_collector(self.collector, "east");
    }

    /// Limits the memory of the harness itself.
    fn clear_records(&mut self) {
        let calls = &mut self.harness.relay.calls;
        calls.drain(..calls.len().saturating_sub(50));
        self.harness.log.clear();
        self.harness.inbound.closed.clear();
        self.harness.inbound.sent.clear();
    }
}

#[test]
fn state_size_stays_flat_over_hours_of_churn() {
    let mut churn = Churn::new();
    // Maximum of each gauge in the first and the second half of the run.
    let mut peaks = [[0.0f64; SIZES.len()]; 2];
    for half_minute in 0..HALF_MINUTE_COUNT {
        churn.run_half_minute();
        let peaks = &mut peaks[half_minute / (HALF_MINUTE_COUNT / 2)];
        for (peak, name) in peaks.iter_mut().zip(SIZES) {
            *peak = peak.max(churn.harness.gauge(name));
        }
    }
    let [first, second] = peaks;
    for ((name, first), second) in SIZES.iter().zip(first).zip(second) {
        assert!(
            second <= 1.2 * first + 2.0,
            "{name} grows: {first:?}, {second:?}"
        );
    }
    let peak = |name: &str| {
        let position = SIZES.iter().position(|size| *size == name);
        second[position.expect("gauge is in SIZES")]
    };
    assert!(
        peak("hosts_known") <= 6.0 && peak("module_entries") < 80.0,
        "{peaks:?}"
    );
    assert!(peak("peers_open") < 24.0, "{peaks:?}");
    let withdrawn = churn.harness.session.view().withdrawn;
    assert!(withdrawn.len() <= 6, "{withdrawn:?}");
    assert_eq!(churn.harness.counter("invariant_failures"), 0);
}
