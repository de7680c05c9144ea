//! Script of events, independent of the fronts that handle them.

use super::BATCH_INTERVAL;
use serde_json::{Value, json};

pub const HOSTS: [ScriptHost; 6] = [
    ScriptHost::new("a1", 0),
    ScriptHost::new("a2", 0),
    ScriptHost::new("a3", 0),
    ScriptHost::new("b1", 1),
    ScriptHost::new("b2", 1),
    ScriptHost::new("b3", 1),
];
pub const ZONES: [&str; 2] = ["east", "west"];
pub const CLASSES: [&str; 2] = ["look", "pay"];

#[derive(Clone, Copy)]
pub struct ScriptHost {
    pub id: &'static str,
    pub zone: usize,
}

impl ScriptHost {
    const fn new(id: &'static str, zone: usize) -> ScriptHost {
        ScriptHost { id, zone }
    }
}

/// Entry of the list of hosts.
#[derive(Clone, Copy)]
pub struct ListedHost {
    pub host: ScriptHost,
    pub phase: &'static str,
    /// Time since the host's start, in ms; 0 if it started long ago.
    pub age: f64,
}

impl ListedHost {
    /// Entry of a ready host that started long ago.
    pub fn ready(host: ScriptHost) -> ListedHost {
        ListedHost {
            host,
            phase: "Ready",
            age: 0.0,
        }
    }

    /// Start time of the host; 0 if it started long ago.
    pub fn started_at(&self, now: f64) -> f64 {
        if self.age > 0.0 { now - self.age } else { 0.0 }
    }
}

#[derive(Clone, Copy)]
pub enum ScriptEvent {
    ProxyJoins {
        proxy: u32,
        zone: usize,
        rate: f64,
    },
    ProxyLeaves {
        proxy: u32,
    },
    /// A proxy acknowledges the last batch that requested it.
    Acknowledged {
        proxy: u32,
    },
    HostReport {
        host: ScriptHost,
        attempts: f64,
        failed: f64,
        mean_latency: f64,
    },
    Traffic {
        proxy: u32,
        class: usize,
        attempts: f64,
        failed: f64,
    },
    HostChanges(ListedHost),
}

pub struct TimedEvent {
    /// Time since the start, in ms.
    pub at: f64,
    pub event: ScriptEvent,
}

fn at(at: f64, event: ScriptEvent) -> TimedEvent {
    TimedEvent { at, event }
}

fn joins(proxy: u32, zone: usize, rate: f64) -> ScriptEvent {
    ScriptEvent::ProxyJoins { proxy, zone, rate }
}

fn acknowledged(proxy: u32) -> ScriptEvent {
    ScriptEvent::Acknowledged { proxy }
}

fn changes(id: &'static str, zone: usize, phase: &'static str, age: f64) -> ScriptEvent {
    let host = ScriptHost::new(id, zone);
    ScriptEvent::HostChanges(ListedHost { host, phase, age })
}

/// Joins, leaves, acknowledgements, host changes and reports, in order of time.
pub fn script() -> Vec<TimedEvent> {
    let mut all = vec![
        at(320.0, joins(0, 0, 6.0)),
        at(320.0, joins(1, 1, 5.0)),
        at(900.0, joins(2, 0, 4.0)),
        at(700.0, acknowledged(0)),
        at(702.0, acknowledged(1)),
        at(1300.0, acknowledged(0)),
        at(1300.0, acknowledged(2)),
    ];
    (1..25).for_each(|second| all.extend(reports(second)));
    all.extend([
        at(3100.0, changes("b2", 1, "Terminating", 0.0)),
        at(4400.0, changes("b2", 1, "Gone", 0.0)),
        at(7050.0, ScriptEvent::ProxyLeaves { proxy: 2 }),
        at(8050.0, joins(2, 0, 4.0)),
        at(9500.0, changes("a3", 0, "Ready", 1200.0)),
        at(13_000.0, changes("b2", 1, "Ready", 100.0)),
        at(11_200.0, changes("c1", 0, "Ready", 300.0)),
        at(20_000.0, ScriptEvent::ProxyLeaves { proxy: 1 }),
    ]);
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Reports of one second. One host fails from second 6 to 8, and all hosts are overloaded from second 15 to 18.
fn reports(second: u32) -> Vec<TimedEvent> {
    let begin = f64::from(second) * 1000.0;
    let mut all = Vec::new();
    for (index, host) in HOSTS.into_iter().enumerate() {
        let fails = (6..9).contains(&second) && index == 1;
        let is_overloaded = (15..19).contains(&second);
        let usual_latency = 180.0 + 10.0 * index as f64;
        let report = ScriptEvent::HostReport {
            host,
            attempts: 12.0,
            failed: if fails { 11.0 } else { 0.0 },
            mean_latency: if is_overloaded { 2600.0 } else { usual_latency },
        };
        all.push(at(begin + index as f64, report));
    }
    let traffic = |proxy, class, attempts, failed| ScriptEvent::Traffic {
        proxy,
        class,
        attempts,
        failed,
    };
    for proxy in 0..3 {
        all.push(at(begin + 10.0, traffic(proxy, 0, 20.0, 1.0)));
        all.push(at(begin + 10.0, traffic(proxy, 1, 9.0, 0.0)));
        all.push(at(begin + 400.0 + f64::from(proxy), acknowledged(proxy)));
    }
    all
}

/// Settings for both fronts.
pub fn options() -> Value {
    json!({
        "categories": [
            {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
            {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
        "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 8,
            "update-cap": 12, "counted-over-ms": 10000.0, "late-ms": 200.0, "transit-max-ms": 500.0,
            "unserved-max-ms": 7000.0, "report-every-ms": 1000.0, "level-kind": "ratio", "zonal": true,
            "base-mode": 1, "ejects": 8},
        "rules": {"drain-grace-ms": 3000.0, "start-capacity": 0.2, "cold-ms": 12000.0, "fall-multiple": 2.5,
            "overload-for-ms": 2000.0},
        "penalties": {"cross-zone": 0.12},
        "reporting": {"source": "inline"},
        "zones": ["east", "west"], "my-zone": 0, "balancers": 2, "quantum-ms": BATCH_INTERVAL, "weight-source": "rough"
    })
}
