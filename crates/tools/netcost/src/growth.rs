//! Growth of traffic with the number of gateways, and its limits.

use crate::simulated_cluster::{ClusterSize, SimulatedCluster, Traffic};
use rushcourse_messages::HostState;
use std::time::Duration;

/// Cluster sizes: every number of gateways is combined with every number of hosts.
const GATEWAY_COUNTS: [usize; 4] = [8, 20, 40, 80];
const HOST_COUNTS: [usize; 2] = [30, 255];
const CONTROLLERS: usize = 5;
const SERVICES: usize = 3;
const ZONES: usize = 5;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Bound on revocation that the gateways' leases keep.
const REVOCATION: Duration = Duration::from_secs(5);

/// Time that all gateways but one run before the last one joins, so that each receives its tables from its preferred
/// controller by then (`rushcourse_routing::FAILBACK_DELAY`).
const WARM_UP_BEFORE_JOIN: Duration = Duration::from_secs(10);
/// Time until the traffic that follows a join has ended.
const SETTLE_AFTER_JOIN: Duration = Duration::from_secs(15);
/// Length of the steady-state measurement in seconds.
const STEADY_STATE_S: u64 = 20;
/// Exclusive upper bound of the endpoints in a table; tables are subsets of fewer than thirty hosts.
const TABLE_ENDPOINT_LIMIT: usize = 30;
/// Maximum growth factor of the traffic to one gateway from the smallest to the largest cluster. Allows for longer
/// encodings of larger numbers.
const MAX_GROWTH: f64 = 1.25;

/// Traffic of one simulated cluster.
struct Measurement {
    size: ClusterSize,
    /// Traffic of [`STEADY_STATE_S`] seconds without changes.
    steady_state: Traffic,
    /// Traffic caused by the drain of one host.
    drain: Traffic,
    /// Traffic caused by the join of one gateway.
    join: Traffic,
}

/// Growth factor of one kind of traffic from the smallest to the largest cluster, and its limit.
struct Growth {
    label: &'static str,
    factor: f64,
    limit: f64,
}

/// Prints the traffic and its growth for all cluster sizes. Returns whether all growth is within the limits.
pub fn check() -> bool {
    print_headings();
    let mut pairs = Vec::new();
    for hosts in HOST_COUNTS {
        let measurements = GATEWAY_COUNTS.map(|gateways| {
            let measurement = measure(gateways, hosts);
            print_row(&measurement);
            measurement
        });
        let [smallest, .., largest] = measurements;
        pairs.push((smallest, largest));
    }
    let mut is_within_limits = true;
    for (smallest, largest) in &pairs {
        for growth in growths(smallest, largest) {
            is_within_limits &= print_growth(smallest, largest, &growth);
        }
    }
    is_within_limits
}

fn measure(gateways: usize, hosts: usize) -> Measurement {
    let size = ClusterSize {
        controllers: CONTROLLERS,
        gateways,
        hosts,
        services: SERVICES,
        zones: ZONES,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        revocation: REVOCATION,
    };
    let last = gateways - 1;
    let mut cluster = SimulatedCluster::new(size);
    (0..last).for_each(|gateway| cluster.join(gateway));
    cluster.run(WARM_UP_BEFORE_JOIN);
    cluster.take_traffic();
    cluster.join(last);
    let join = cluster.take_traffic();
    cluster.run(SETTLE_AFTER_JOIN);
    cluster.take_traffic();
    cluster.run(Duration::from_secs(STEADY_STATE_S));
    let steady_state = cluster.take_traffic();
    cluster.host_request(1, HostState::Draining);
    let drain = cluster.take_traffic();
    let mut tables = cluster.largest_tables().into_values();
    assert!(
        tables.all(|endpoints| (1..TABLE_ENDPOINT_LIMIT).contains(&endpoints)),
        "each table has at least 1 and fewer than {TABLE_ENDPOINT_LIMIT} endpoints"
    );
    Measurement {
        size,
        steady_state,
        drain,
        join,
    }
}

fn print_headings() {
    println!(
        "{CONTROLLERS} controllers, {SERVICES} services, heartbeat interval {} s. Bytes include frame headers; a join \
         and a drain are counted until no message is in flight.",
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
        steady_state,
        drain,
        join,
    } = measurement;
    println!(
        "{:>8} {:>6} | {:>15} {:>15} {:>15} {:>12} | {:>12} {:>12} | {:>12} {:>12}",
        size.gateways,
        size.hosts,
        steady_state.between_controllers / STEADY_STATE_S,
        steady_state.to_gateways / STEADY_STATE_S,
        steady_state.from_gateways / STEADY_STATE_S,
        steady_state.steps / STEADY_STATE_S,
        drain.total(),
        drain.max_to_one_gateway,
        join.total(),
        join.max_to_one_gateway,
    );
}

/// Computes the growth of each kind of traffic between two clusters.
fn growths(smallest: &Measurement, largest: &Measurement) -> [Growth; 5] {
    let gateway_factor = largest.size.gateways as f64 / smallest.size.gateways as f64;
    let factor = |smallest: u64, largest: u64| largest as f64 / (smallest as f64).max(1.0);
    [
        Growth {
            label: "drain, to one gateway",
            factor: factor(
                smallest.drain.max_to_one_gateway,
                largest.drain.max_to_one_gateway,
            ),
            limit: MAX_GROWTH,
        },
        Growth {
            label: "join, to the joining gateway",
            factor: factor(
                smallest.join.max_to_one_gateway,
                largest.join.max_to_one_gateway,
            ),
            limit: MAX_GROWTH,
        },
        Growth {
            label: "steady state, from all gateways",
            factor: factor(
                smallest.steady_state.from_gateways,
                largest.steady_state.from_gateways,
            ),
            limit: gateway_factor * MAX_GROWTH,
        },
        Growth {
            label: "steady state, between controllers",
            factor: factor(
                smallest.steady_state.between_controllers,
                largest.steady_state.between_controllers,
            ),
            limit: MAX_GROWTH,
        },
        Growth {
            label: "steady state, steps of controllers",
            factor: factor(smallest.steady_state.steps, largest.steady_state.steps),
            limit: gateway_factor * MAX_GROWTH,
        },
    ]
}

/// Prints one growth factor. Returns whether it is within its limit.
fn print_growth(smallest: &Measurement, largest: &Measurement, growth: &Growth) -> bool {
    let Growth {
        label,
        factor,
        limit,
    } = growth;
    println!(
        "{} hosts, {} to {} gateways: {label}: x {factor:.2}, limit {limit:.2}",
        smallest.size.hosts, smallest.size.gateways, largest.size.gateways
    );
    let is_within_limits = factor <= limit;
    if !is_within_limits {
        println!("EXCEEDED: {label} grew by a factor of {factor:.2}");
    }
    is_within_limits
}
