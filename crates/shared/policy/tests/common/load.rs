//! Scripted reports of proxies, one second at a time.

use super::{HOSTS, Harness, host_report, traffic};
use rushcourse_policy::interface::{ClassId, Event, Ms, ProxyId, ZoneId};

/// Response behavior of a host.
#[derive(Clone, Copy)]
pub struct Service {
    pub failure_ratio: f64,
    /// Mean latency of the successful responses.
    pub latency: Ms,
}

pub const HEALTHY: Service = service(0.0, 200.0);
pub const OVERLOADED: Service = service(0.5, 900.0);

pub const fn service(failure_ratio: f64, latency: Ms) -> Service {
    Service { failure_ratio, latency }
}

/// Attempts of a zone's proxies at a host within one second.
#[derive(Clone, Copy)]
pub struct Observed {
    pub attempts: f64,
    pub failed: f64,
    /// Mean latency of the successful attempts.
    pub latency: Ms,
}

pub const fn observed(attempts: f64, failed: f64, latency: Ms) -> Observed {
    Observed { attempts, failed, latency }
}

/// Traffic reports of one second: proxies 1 and 2 get half of `attempts` each in both classes.
pub fn demand(attempts: f64) -> Vec<Event> {
    let of_proxy = |proxy| move |class| traffic(proxy, class, attempts / 2.0);
    (0..2).map(of_proxy(1)).chain((0..2).map(of_proxy(2))).collect()
}

/// Traffic reports, and the host reports that `observe` returns for each zone and host, of one second.
pub fn one_second_of_reports(requests: f64, observe: impl Fn(ZoneId, &str) -> Observed) -> Vec<Event> {
    let mut events = demand(requests);
    for (zone, host) in [0, 1].into_iter().flat_map(|zone| HOSTS.map(|host| (zone, host))) {
        let Observed { attempts, failed, latency } = observe(zone, host);
        events.push(host_report(zone, host, attempts, failed, latency));
    }
    events
}

/// Reports for several seconds, in each of which every host gets `attempts` from each zone. Proxies acknowledge
/// all batches.
pub fn run(harness: &mut Harness, seconds: usize, attempts: f64, serve: impl Fn(&str) -> Service) {
    for _ in 0..seconds {
        harness.handle(one_second_of_reports(attempts * 6.0, |_, host| {
            let Service { failure_ratio, latency } = serve(host);
            observed(attempts, failure_ratio * attempts, latency)
        }));
        for _ in 0..4 {
            harness.advance(250.0);
            if harness.last_ack_number.is_some() {
                harness.acknowledge(&[1, 2]);
            }
        }
    }
}

/// The quota of a class at a proxy; 1 if none was sent.
pub fn level(harness: &Harness, proxy: ProxyId, class: ClassId) -> f64 {
    let table = harness.bindings[&(proxy, 0)];
    harness.admission.get(&(table, 1 << class)).map_or(1.0, |(quota, _)| *quota)
}
