//! What arrives at the real controller in calm: heartbeats of its own hosts and, by its peers, of all others; load
//! reports of the gateways that it is the primary controller of.

use super::Size;
use super::fleet::{host, peer, service};
use super::real_controller::{HEARTBEAT_INTERVAL, Sender, TICK_INTERVAL};
use crate::frames::frame;
use rushcourse_messages::{Heartbeat, HostRecord, Message};
use rushcourse_types::{CallSequence, SessionId};
use std::time::Duration;

/// Calm that is played at most.
pub(super) const MAX_CALM: Duration = Duration::from_secs(6);
/// Between two messages of a peer about heartbeats, in milliseconds.
const PEER_INTERVAL_MS: u64 = 400;
/// Between two load reports of a gateway, in milliseconds.
pub(super) const LOAD_REPORT_INTERVAL_MS: u64 = 1_000;
/// Attempts that a gateway reports for a service: any number, since what the policy makes of them is of no matter here.
const REPORTED_ATTEMPTS: u32 = 1;
/// Spreads the heartbeats of hosts over their interval, in milliseconds.
const HEARTBEAT_SPACING_MS: u64 = 37;
const HEARTBEAT_INTERVAL_MS: u64 = HEARTBEAT_INTERVAL.as_millis() as u64;
const TICK_MS: u64 = TICK_INTERVAL.as_millis() as u64;

/// A frame that arrives so many milliseconds after the start of the calm.
pub(super) struct ScheduledFrame {
    pub(super) at_ms: u64,
    pub(super) from: Sender,
    pub(super) bytes: Vec<u8>,
}

/// Moments of the ticks of a calm, in milliseconds from its start.
pub(super) fn ticks() -> impl Iterator<Item = u64> {
    (TICK_MS..=MAX_CALM.as_millis() as u64).step_by(TICK_MS as usize)
}

/// All frames of a calm, in the order in which they arrive. `primary_gateways`: gateways that take their tables from the
/// real controller, their sessions counting from 1 on, the last of which sends nothing.
pub(super) fn calm_traffic(size: &Size, primary_gateways: u64) -> Vec<ScheduledFrame> {
    let mut frames = Vec::new();
    for at_ms in ticks() {
        let mut schedule = |from: Sender, message: &Message| {
            let bytes = frame(message);
            frames.push(ScheduledFrame { at_ms, from, bytes });
        };
        for index in (0..size.hosts).step_by(size.controllers) {
            if is_due(index, at_ms) {
                schedule(Sender::Host, &host_heartbeat(index, size, at_ms));
            }
        }
        if at_ms.is_multiple_of(PEER_INTERVAL_MS) {
            for index in 1..size.controllers {
                let heartbeats = peer_heartbeats(index, size, at_ms);
                schedule(Sender::Peer(peer(index - 1)), &heartbeats);
            }
        }
        if at_ms.is_multiple_of(LOAD_REPORT_INTERVAL_MS) {
            for session in (1..primary_gateways).map(SessionId) {
                for report in load_reports(size) {
                    schedule(Sender::Gateway(session), &report);
                }
            }
        }
    }
    frames
}

/// Whether a host sends its heartbeat within this tick.
fn is_due(host: usize, at_ms: u64) -> bool {
    let due_ms = host as u64 * HEARTBEAT_SPACING_MS % HEARTBEAT_INTERVAL_MS;
    due_ms / TICK_MS == (at_ms % HEARTBEAT_INTERVAL_MS) / TICK_MS
}

fn host_heartbeat(index: usize, size: &Size, at_ms: u64) -> Message {
    Message::HostUpdates(vec![HostRecord {
        sequence: CallSequence(1 + at_ms),
        ..host(index, size)
    }])
}

/// Heartbeats that one controller got since its last message: of its share of the hosts, in turn.
fn peer_heartbeats(controller: usize, size: &Size, at_ms: u64) -> Message {
    let share = (controller..size.hosts).step_by(size.controllers);
    let called = share.filter(|host| {
        (*host as u64 * HEARTBEAT_SPACING_MS + at_ms) % HEARTBEAT_INTERVAL_MS < PEER_INTERVAL_MS
    });
    let heartbeats = called.map(|index| Heartbeat {
        host: host(index, size).id,
        sequence: CallSequence(1 + at_ms),
    });
    Message::Heartbeats(heartbeats.collect())
}

fn load_reports(size: &Size) -> impl Iterator<Item = Message> {
    (0..size.services).map(|index| Message::LoadReport {
        service: service(index, size),
        attempts: REPORTED_ATTEMPTS,
        failures: 0,
        interval_ms: LOAD_REPORT_INTERVAL_MS as u32,
    })
}
