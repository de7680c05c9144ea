//! Seconds of reports by a script.

use super::{HOSTS, Harness, host_report, traffic};
use rushcourse_policy::interface::{ClassId, Event, Ms, ProxyId, ZoneId};

/// How a host serves.
#[derive(Clone, Copy)]
pub struct Service {
    pub failed_part: f64,
    /// Mean latency of its good answers.
    pub latency: Ms,
}

pub const HEALTHY: Service = service(0.0, 200.0);
pub const OVERLOADED: Service = service(0.5, 900.0);

pub const fn service(failed_part: f64, latency: Ms) -> Service {
    Service { failed_part, latency }
}

/// What proxies of a zone observe at a host within a second.
#[derive(Clone, Copy)]
pub struct Observed {
    pub attempts: f64,
    pub failed: f64,
    /// Mean latency of the successful ones.
    pub latency: Ms,
}

pub const fn observed(attempts: f64, failed: f64, latency: Ms) -> Observed {
    Observed { attempts, failed, latency }
}

/// What clients ask of the proxies of both zones within a second, half of each.
pub fn demand(attempts: f64) -> Vec<Event> {
    let of_proxy = |proxy| move |class| traffic(proxy, class, attempts / 2.0);
    (0..2).map(of_proxy(1)).chain((0..2).map(of_proxy(2))).collect()
}

/// A second: what clients ask, and what proxies of each zone observe at each host.
pub fn second(asked: f64, observe: impl Fn(ZoneId, &str) -> Observed) -> Vec<Event> {
    let mut events = demand(asked);
    for (zone, host) in [0, 1].into_iter().flat_map(|zone| HOSTS.map(|host| (zone, host))) {
        let Observed { attempts, failed, latency } = observe(zone, host);
        events.push(host_report(zone, host, attempts, failed, latency));
    }
    events
}

/// Some seconds: each host gets so many attempts of each zone and serves them in some way.
pub fn run(harness: &mut Harness, seconds: usize, attempts: f64, serve: impl Fn(&str) -> Service) {
    for _ in 0..seconds {
        harness.handle(second(attempts * 6.0, |_, host| {
            let Service { failed_part, latency } = serve(host);
            observed(attempts, failed_part * attempts, latency)
        }));
        for _ in 0..4 {
            harness.advance(250.0);
            if harness.last_ack_number.is_some() {
                harness.acknowledge(&[1, 2]);
            }
        }
    }
}

/// The admission level of a class at a proxy.
pub fn level(harness: &Harness, proxy: ProxyId, class: ClassId) -> f64 {
    let table = harness.bindings[&(proxy, 0)];
    harness.admission.get(&(table, 1 << class)).map_or(1.0, |(quota, _)| *quota)
}
