//! One real gateway's endpoint tables: the lines of all services from a hollow controller, and requests that choose a
//! host.

use super::fleet::{host, service};
use super::{Size, process_usage};
use crate::frames::{frame, frame_bytes, message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rushcourse_messages::{EndpointWeight, Message};
use rushcourse_routing::{EndpointTables, Observed, ServiceUsage};
use rushcourse_types::Timestamp;
use std::sync::Arc;

/// Requests that choose a host.
const REQUESTS: usize = 100_000;
/// The latency that all requests meet.
const LATENCY_MS: f64 = 20.0;
/// Seed of the random numbers of load balancing.
const SEED: u64 = 88_172_645_463_325_252;
/// Weight of each line.
const WEIGHT: f32 = 4.0;
const USAGE_INTERVAL_MS: u32 = 1_000;

/// One real gateway; usage as it goes to its primary controller each second.
pub(super) const HEADING: &str =
    "hosts | services | tables KB | apply ms |     MB | choose us | usage KB/s";

/// Prints one row: a gateway at a size.
pub(super) fn measure(size: &Size) {
    let services: Vec<Arc<str>> = (0..size.services)
        .map(|number| service(number, size))
        .collect();
    let frames: Vec<Vec<u8>> = (0..size.services)
        .map(|number| table_frame(size, number, &services[number]))
        .collect();
    let table_bytes: usize = frames.iter().map(Vec::len).sum();
    let empty = process_usage::resident_mb();
    let mut tables = EndpointTables::new("zone-00");
    let ((), apply_ms) =
        process_usage::timed(|| frames.iter().for_each(|frame| apply(&mut tables, frame)));
    let resident = process_usage::resident_mb() - empty;
    let ((), choice_ms) = process_usage::timed(|| choose_hosts(&mut tables, &services));
    let usage_bytes: u64 = tables.take_usage().into_iter().map(report_bytes).sum();
    println!(
        "{:>5} | {:>8} | {:>9.0} | {:>8.0} | {:>6.1} | {:>9.2} | {:>10.1}",
        size.hosts,
        size.services,
        table_bytes as f64 / 1e3,
        apply_ms,
        resident,
        choice_ms * 1e3 / REQUESTS as f64,
        usage_bytes as f64 / 1e3,
    );
}

/// The frame of one service's whole table.
fn table_frame(size: &Size, service_number: usize, service: &Arc<str>) -> Vec<u8> {
    let hosts = (service_number..size.hosts)
        .step_by(size.services)
        .map(|number| host(number, size));
    let endpoints = hosts.map(|host| EndpointWeight {
        host,
        weight: WEIGHT,
    });
    frame(&Message::TableReplacement {
        service: service.clone(),
        revision: 1,
        endpoints: endpoints.collect(),
    })
}

fn apply(tables: &mut EndpointTables, frame: &[u8]) {
    match message(frame) {
        Message::TableReplacement {
            service, endpoints, ..
        } => tables.replace(&service, endpoints),
        other => unreachable!("a table was written: {other:?}"),
    }
}

/// Requests for all services in turn, a millisecond apart. Each ends before the next one.
fn choose_hosts(tables: &mut EndpointTables, services: &[Arc<str>]) {
    let mut random = SmallRng::seed_from_u64(SEED);
    for request in 0..REQUESTS {
        let service = &services[request % services.len()];
        let now = Timestamp::from_millis(request as u64);
        if let Some(host) = tables.choose_host(now, service, &[], || random.random()) {
            let observed = Observed::Response {
                latency_ms: LATENCY_MS,
            };
            tables.record_attempt(now, service, &host.id, observed);
        }
    }
}

fn report_bytes(usage: ServiceUsage) -> u64 {
    frame_bytes(&Message::LoadReport {
        service: usage.service,
        attempts: usage.attempts,
        failures: usage.failures,
        interval_ms: USAGE_INTERVAL_MS,
    })
}
