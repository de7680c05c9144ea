//! How traffic grows with the number of gateways, and whether it stays within its limits.

use crate::simulated_cluster::{SimulatedCluster, Size, Traffic};
use rushcourse_messages::HostState;
use std::time::Duration;

/// Gateways and hosts that are measured.
const GATEWAYS: [usize; 4] = [8, 20, 40, 80];
const HOSTS: [usize; 2] = [30, 255];
const CONTROLLERS: usize = 5;
const SERVICES: usize = 3;
const ZONES: usize = 5;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long all gateways but one are there before the last one joins: each has its tables from the controller that it
/// prefers by then (`rushcourse_routing::FAILBACK_DELAY`).
const BEFORE_JOIN: Duration = Duration::from_secs(10);
/// How long what a join sets off may take.
const AFTER_JOIN: Duration = Duration::from_secs(15);
/// Seconds of calm that are counted.
const CALM_S: u64 = 20;
/// Endpoints that each table has at most, less one: tables are subsets of under thirty hosts.
const MAX_TABLE_ENDPOINTS: usize = 30;
/// What one gateway receives may grow by this from 8 of them to 80: numbers grow by a digit, nothing else.
const MAX_GROWTH: f64 = 1.25;

/// The traffic at one size.
struct Measurement {
    size: Size,
    /// Of [`CALM_S`] without a change.
    calm: Traffic,
    /// Of one host that drains.
    drain: Traffic,
    /// Of one gateway that joins.
    join: Traffic,
}

/// How something grew with the gateways, and how much it may have.
struct Growth {
    what: &'static str,
    factor: f64,
    limit: f64,
}

/// Prints the traffic at all sizes and how it grows. Returns whether it stays within its limits.
pub fn check() -> bool {
    print_headings();
    let mut pairs = Vec::new();
    for hosts in HOSTS {
        let measurements = GATEWAYS.map(|gateways| {
            let measurement = measure(gateways, hosts);
            print_row(&measurement);
            measurement
        });
        let [few, .., many] = measurements;
        pairs.push((few, many));
    }
    let mut is_within = true;
    for (few, many) in &pairs {
        for growth in growths(few, many) {
            is_within &= print_growth(few, many, &growth);
        }
    }
    is_within
}

fn measure(gateways: usize, hosts: usize) -> Measurement {
    let size = Size {
        controllers: CONTROLLERS,
        gateways,
        hosts,
        services: SERVICES,
        zones: ZONES,
        heartbeat_interval: HEARTBEAT_INTERVAL,
    };
    let last = gateways - 1;
    let mut cluster = SimulatedCluster::new(size);
    (0..last).for_each(|gateway| cluster.join(gateway));
    cluster.run(BEFORE_JOIN);
    cluster.take_traffic();
    cluster.join(last);
    let join = cluster.take_traffic();
    cluster.run(AFTER_JOIN);
    cluster.take_traffic();
    cluster.run(Duration::from_secs(CALM_S));
    let calm = cluster.take_traffic();
    cluster.host_request(1, HostState::Draining);
    let drain = cluster.take_traffic();
    let mut tables = cluster.largest_tables().into_values();
    assert!(
        tables.all(|endpoints| (1..MAX_TABLE_ENDPOINTS).contains(&endpoints)),
        "tables of under thirty hosts"
    );
    Measurement {
        size,
        calm,
        drain,
        join,
    }
}

fn print_headings() {
    println!(
        "{CONTROLLERS} controllers, {SERVICES} services, heartbeats each {} s. Bytes, in frames; a join and a drain without \
         what follows a second later.",
        HEARTBEAT_INTERVAL.as_secs_f64()
    );
    println!(
        "{:>8} {:>6} | {:>15} {:>15} {:>15} {:>12} | {:>12} {:>12} | {:>12} {:>12}",
        "gateways",
        "hosts",
        "controllers B/s",
        "to gateways B/s",
        "of gateways B/s",
        "steps/s",
        "drain: B",
        "to one B",
        "join: B",
        "to it B"
    );
}

fn print_row(measurement: &Measurement) {
    let Measurement {
        size,
        calm,
        drain,
        join,
    } = measurement;
    println!(
        "{:>8} {:>6} | {:>15} {:>15} {:>15} {:>12} | {:>12} {:>12} | {:>12} {:>12}",
        size.gateways,
        size.hosts,
        calm.between_controllers / CALM_S,
        calm.to_gateways / CALM_S,
        calm.from_gateways / CALM_S,
        calm.steps / CALM_S,
        drain.total(),
        drain.max_to_one_gateway,
        join.total(),
        join.max_to_one_gateway,
    );
}

/// How the traffic grows from few to many gateways.
fn growths(few: &Measurement, many: &Measurement) -> [Growth; 5] {
    let gateway_factor = many.size.gateways as f64 / few.size.gateways as f64;
    let factor = |few: u64, many: u64| many as f64 / (few as f64).max(1.0);
    [
        Growth {
            what: "a drain, to one gateway",
            factor: factor(few.drain.max_to_one_gateway, many.drain.max_to_one_gateway),
            limit: MAX_GROWTH,
        },
        Growth {
            what: "a join, to the one that joins",
            factor: factor(few.join.max_to_one_gateway, many.join.max_to_one_gateway),
            limit: MAX_GROWTH,
        },
        Growth {
            what: "calm, of all gateways",
            factor: factor(few.calm.from_gateways, many.calm.from_gateways),
            limit: gateway_factor * MAX_GROWTH,
        },
        Growth {
            what: "calm, between controllers",
            factor: factor(few.calm.between_controllers, many.calm.between_controllers),
            limit: MAX_GROWTH,
        },
        Growth {
            what: "steps of controllers in calm",
            factor: factor(few.calm.steps, many.calm.steps),
            limit: gateway_factor * MAX_GROWTH,
        },
    ]
}

/// Prints how something grew. Returns whether it stays within its limit.
fn print_growth(few: &Measurement, many: &Measurement, growth: &Growth) -> bool {
    let Growth {
        what,
        factor,
        limit,
    } = growth;
    println!(
        "{} hosts, {} to {} gateways: {what}: x {factor:.2}, at most {limit:.2}",
        few.size.hosts, few.size.gateways, many.size.gateways
    );
    let is_within = factor <= limit;
    if !is_within {
        println!("EXCEEDED: {what} grew {factor:.2} times");
    }
    is_within
}
