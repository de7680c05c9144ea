//! One real gateway's tables: all services' lines from a hollow controller, and requests that pick a host.

use super::controller::host;
use super::{Size, gauge};
use rushcourse_messages::{EndpointWeight, Message, decode, encode};
use rushcourse_routing::{EndpointTables, Observed, ServiceUsage};
use rushcourse_types::Timestamp;
use std::sync::Arc;

/// Requests that are played.
const REQUESTS: usize = 100_000;
/// Bytes of a frame before its message.
const HEAD: usize = 4;

/// Numbers from 0 up to 1 by a fixed lot: xorshift.
fn chance(lot: &mut u64) -> f64 {
    *lot ^= *lot << 13;
    *lot ^= *lot >> 7;
    *lot ^= *lot << 17;
    (*lot >> 11) as f64 / (1u64 << 53) as f64
}

/// One real gateway; usage as it goes to its home controller each second.
pub const HEADING: &str = "hosts | services | tables KB | taken ms |     MB | pick us | usage KB/s";

/// Prints one row: a gateway at a size.
pub fn measure(size: &Size) {
    let names: Vec<Arc<str>> = (0..size.services)
        .map(|k| format!("service-{k:03}").into())
        .collect();
    let frames: Vec<Vec<u8>> = (0..size.services)
        .map(|k| table(size, k, &names[k]))
        .collect();
    let bytes: usize = frames.iter().map(Vec::len).sum();
    let empty = gauge::resident_mb();
    let mut tables = EndpointTables::new("zone-00");
    let ((), taken) = gauge::timed(|| frames.iter().for_each(|frame| take(&mut tables, frame)));
    let resident = gauge::resident_mb() - empty;
    let mut lot = 88_172_645_463_325_252;
    let ((), picked) = gauge::timed(|| {
        for k in 0..REQUESTS {
            let service = &names[k % names.len()];
            let now = Timestamp::from_millis(k as u64);
            if let Some(host) = tables.choose_host(now, service, &[], || chance(&mut lot)) {
                let observed = Observed::Response { latency_ms: 20.0 };
                tables.record_attempt(now, service, &host.id, observed);
            }
        }
    });
    let usage: usize = tables.take_usage().into_iter().map(usage_bytes).sum();
    println!(
        "{:>5} | {:>8} | {:>9.0} | {:>8.0} | {:>6.1} | {:>7.2} | {:>10.1}",
        size.hosts,
        size.services,
        bytes as f64 / 1e3,
        taken,
        resident,
        picked * 1e3 / REQUESTS as f64,
        usage as f64 / 1e3,
    );
}

/// The frame of one service's whole table.
fn table(size: &Size, k: usize, service: &Arc<str>) -> Vec<u8> {
    let hosts = (k..size.hosts)
        .step_by(size.services)
        .map(|h| host(h, size));
    let lines = hosts
        .map(|host| EndpointWeight { host, weight: 4.0 })
        .collect();
    frame(&Message::TableReplacement {
        service: service.clone(),
        revision: 1,
        endpoints: lines,
    })
}

fn take(tables: &mut EndpointTables, frame: &[u8]) {
    match decode(&frame[HEAD..]) {
        Ok(Message::TableReplacement {
            service,
            endpoints: lines,
            ..
        }) => tables.replace(&service, lines),
        other => unreachable!("a table was written: {other:?}"),
    }
}

fn usage_bytes(usage: ServiceUsage) -> usize {
    let report = Message::LoadReport {
        service: usage.service,
        attempts: usage.attempts,
        failures: usage.failures,
        interval_ms: 1_000,
    };
    frame(&report).len()
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a message that fits");
    bytes
}
