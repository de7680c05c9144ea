//! What one real controller of nine costs: a join of a gateway, calm, a drain of a host.

use super::calm_traffic::{LOAD_REPORT_INTERVAL_MS, MAX_CALM, calm_traffic, ticks};
use super::fleet::host;
use super::real_controller::{JOIN_SETTLED, RealController, Traffic};
use super::{Size, process_usage};
use rushcourse_cluster::Input;
use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::CallSequence;
use std::time::Duration;

/// Processor time after which a calm ends sooner, in milliseconds.
const MAX_CALM_PROCESSOR_MS: f64 = 3_000.0;

/// One real controller of nine. A join with all that it sets off; KB and KB/s as counted in frames.
pub(super) const HEADING: &str = "gateways | primary | hosts | services |     MB | hosts ms | sessions ms | join ms | join KB | join KB peers | calm s | processor ms/s | steps/s | KB/s to peers | from peers | to gateways | from gateways | drain KB";

/// What was measured at one size. Times are of the processor, in milliseconds.
struct Measurement {
    resident_mb: f64,
    hosts_ms: f64,
    sessions_ms: f64,
    join_ms: f64,
    join: Traffic,
    calm_length: Duration,
    calm_ms: f64,
    calm: Traffic,
    drain: Traffic,
}

/// Prints one row: a controller at a size.
pub(super) fn measure(size: &Size) {
    let mut controller = RealController::new(*size);
    let measurement = run(&mut controller, size);
    print_row(size, controller.primary_gateways(), &measurement);
}

fn run(controller: &mut RealController, size: &Size) -> Measurement {
    let empty = process_usage::resident_mb();
    let ((), hosts_ms) = process_usage::timed(|| controller.connect_to_peers());
    let ((), sessions_ms) = process_usage::timed(|| controller.open_all_sessions_but_one());
    let resident_mb = process_usage::resident_mb() - empty;
    controller.take_traffic();
    let ((), join_ms) = process_usage::timed(|| {
        controller.join();
        controller.pass(JOIN_SETTLED);
    });
    let join = controller.take_traffic();
    // Making the frames is no work of the controller.
    let primary_gateways = controller.primary_gateways();
    let ((), frames_ms) = process_usage::timed(|| drop(calm_traffic(size, primary_gateways)));
    let (calm_length, calm_ms) = process_usage::timed(|| run_calm(controller, size));
    let calm = controller.take_traffic();
    controller.step(Input::HostRequest(HostRecord {
        sequence: CallSequence(u64::MAX),
        state: HostState::Draining,
        ..host(0, size)
    }));
    Measurement {
        resident_mb,
        hosts_ms,
        sessions_ms,
        join_ms,
        join,
        calm_length,
        calm_ms: (calm_ms - frames_ms).max(0.0),
        calm,
        drain: controller.take_traffic(),
    }
}

/// Runs a calm until its end or until it has used too much processor time. Returns how long it was.
fn run_calm(controller: &mut RealController, size: &Size) -> Duration {
    let frames = calm_traffic(size, controller.primary_gateways());
    let mut frames = frames.iter().peekable();
    let (start, used_ms) = (controller.now(), process_usage::processor_ms());
    for at_ms in ticks() {
        let passed = Duration::from_millis(at_ms);
        controller.advance_to(start + passed);
        while let Some(frame) = frames.next_if(|frame| frame.at_ms <= at_ms) {
            controller.receive(frame.from, &frame.bytes);
        }
        controller.tick();
        // Whole seconds only, so that each has its heartbeats and its load reports.
        if at_ms.is_multiple_of(LOAD_REPORT_INTERVAL_MS)
            && process_usage::processor_ms() - used_ms > MAX_CALM_PROCESSOR_MS
        {
            return passed;
        }
    }
    MAX_CALM
}

fn print_row(size: &Size, primary_gateways: u64, measurement: &Measurement) {
    let Measurement { join, calm, .. } = measurement;
    let seconds = measurement.calm_length.as_secs_f64();
    let kilobytes_per_second = |bytes: u64| bytes as f64 / 1e3 / seconds;
    println!(
        "{:>8} | {:>7} | {:>5} | {:>8} | {:>6.1} | {:>8.0} | {:>11.0} | {:>7.0} | {:>7.0} | {:>13.1} | {:>6.0} | {:>14.0} | {:>7.0} | {:>13.1} | {:>10.1} | {:>11.1} | {:>13.1} | {:>8.1}",
        size.gateways,
        primary_gateways,
        size.hosts,
        size.services,
        measurement.resident_mb,
        measurement.hosts_ms,
        measurement.sessions_ms,
        measurement.join_ms,
        join.to_gateways as f64 / 1e3,
        join.to_peers as f64 / 1e3,
        seconds,
        measurement.calm_ms / seconds,
        calm.steps as f64 / seconds,
        kilobytes_per_second(calm.to_peers),
        kilobytes_per_second(calm.from_peers),
        kilobytes_per_second(calm.to_gateways),
        kilobytes_per_second(calm.from_gateways),
        measurement.drain.to_gateways as f64 / 1e3,
    );
}
