//! Helpers for tests of usage counts and reports.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use rushcourse_messages::{DutyState, TenantCount, UsageCounts};
use rushcourse_types::{Incarnation, NodeId, Timestamp, WallTime, WindowNumber};
use rushcourse_usage::{
    ConnectedController, Effect, PostCall, ReportWindows, ReporterSetup, Surroundings,
    UsageReporter,
};
use std::time::Duration;

pub const WINDOW: Duration = Duration::from_secs(5);
pub const LATENESS: Duration = Duration::from_secs(10);
pub const LEASE: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);
/// Wall-clock time at the start of a test; the start of window 200.
const START_MS: u64 = 1_000_000;

/// The window that starts with the test.
pub const FIRST: WindowNumber = WindowNumber(200);

/// Counts of gateway `gateway` for tenant "t", taken after the end of the window.
pub fn final_counts(gateway: u32, window: WindowNumber, requests: u32) -> UsageCounts {
    UsageCounts {
        gateway: NodeId(gateway),
        incarnation: Incarnation(u64::from(gateway)),
        window,
        revision: 1,
        has_ended: true,
        counts: vec![TenantCount {
            tenant: "t".into(),
            requests,
        }],
    }
}

/// Counts that a gateway sent before the end of the window.
pub fn early_counts(gateway: u32, window: WindowNumber, requests: u32) -> UsageCounts {
    UsageCounts {
        has_ended: false,
        revision: 0,
        ..final_counts(gateway, window, requests)
    }
}

pub fn other(node: u32) -> ConnectedController {
    ConnectedController {
        node: NodeId(node),
        name: format!("core-{node}"),
        is_shutting_down: false,
    }
}

/// One controller with its reporter, on a fake clock.
pub struct Node {
    pub reporter: UsageReporter,
    pub connected: Vec<ConnectedController>,
    pub has_quorum_contact: bool,
    pub is_shutting_down: bool,
    elapsed: Duration,
}

impl Node {
    pub fn new(node: u32, connected: &[u32]) -> Node {
        let setup = ReporterSetup {
            node: NodeId(node),
            name: format!("core-{node}"),
            window: WINDOW,
            lateness: LATENESS,
            lease_duration: LEASE,
        };
        Node {
            reporter: UsageReporter::new(setup),
            connected: connected.iter().copied().map(other).collect(),
            has_quorum_contact: true,
            is_shutting_down: false,
            elapsed: Duration::ZERO,
        }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000) + self.elapsed
    }

    fn wall_time(&self) -> WallTime {
        WallTime(START_MS + self.elapsed.as_millis() as u64)
    }

    /// Records counts as of the end of their window, whatever the time of the test.
    pub fn record_counts(&mut self, counts: UsageCounts) {
        let received_at = ReportWindows::new(WINDOW).end_of(counts.window);
        self.reporter.record_counts(received_at, counts);
    }

    pub fn step(&mut self) -> Vec<Effect> {
        let surroundings = Surroundings {
            has_quorum_contact: self.has_quorum_contact,
            connected: &self.connected,
            is_shutting_down: self.is_shutting_down,
        };
        self.reporter
            .step(self.now(), self.wall_time(), surroundings)
    }

    /// Steps until this time since the start of the test and returns all effects.
    pub fn run_until(&mut self, end: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.elapsed < end {
            self.elapsed += STEP;
            effects.extend(self.step());
        }
        effects
    }

    /// As `run_until`, where every proposed state is agreed on at once. Returns the other effects.
    pub fn run_with_agreement(&mut self, end: Duration) -> Vec<Effect> {
        let mut others = Vec::new();
        while self.elapsed < end {
            self.elapsed += STEP;
            for effect in self.step() {
                match effect {
                    Effect::Propose(state) => self.reporter.duty_committed(state),
                    other => others.push(other),
                }
            }
        }
        others
    }
}

/// The state in which node `holder` has just become the first holder.
pub fn first_duty(holder: u32) -> DutyState {
    DutyState::first(NodeId(holder), &format!("core-{holder}"))
}

pub fn proposals(effects: &[Effect]) -> Vec<&DutyState> {
    fn state(effect: &Effect) -> Option<&DutyState> {
        match effect {
            Effect::Propose(state) => Some(state),
            _ => None,
        }
    }
    effects.iter().filter_map(state).collect()
}

pub fn posts(effects: &[Effect]) -> Vec<&PostCall> {
    fn call(effect: &Effect) -> Option<&PostCall> {
        match effect {
            Effect::Post(call) => Some(call),
            _ => None,
        }
    }
    effects.iter().filter_map(call).collect()
}
