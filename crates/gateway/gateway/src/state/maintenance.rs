//! Periodic work of the gateway: timeouts, reconnects and load reports.

use super::GatewayState;
use rushcourse_messages::Message;
use rushcourse_types::Timestamp;
use std::time::Duration;

/// Interval between reports of each service's attempts and failures.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the interval stated in a report, applied to the first report and after a stall of the process.
const MAX_REPORTED_INTERVAL: Duration = Duration::from_secs(10);

impl GatewayState {
    /// Runs all periodic work that is due at `now`.
    pub(crate) fn tick(&self, now: Timestamp) {
        if let Some(line) = self.local_responses.borrow_mut().take_log_line(now) {
            log::info!("{line}");
        }
        self.operations.borrow_mut().resolve_due_claims(now);
        self.control_plane.borrow_mut().request_configuration(now);
        self.control_plane.borrow_mut().select_primary(now);
        self.control_plane.borrow_mut().maintain_lease(now);
        self.operations.borrow_mut().expire(now);
        self.operations.borrow_mut().maintain_replication(now);
        self.replicate_responses(now);
        self.maintain_sessions(now);
        self.pools.borrow_mut().sweep(now);
        self.report_load(now);
        self.report_usage(now);
    }

    fn maintain_sessions(&self, now: Timestamp) {
        let mut control_plane = self.control_plane.borrow_mut();
        let sessions = control_plane.sessions_mut();
        sessions.dial_disconnected_controllers();
        sessions.close_idle_gateway_sessions(now);
    }

    /// Reports attempts and failures to the primary controller. Without a primary controller the counts are discarded.
    fn report_load(&self, now: Timestamp) {
        let last_report = self.last_load_report.get();
        if now < last_report + LOAD_REPORT_INTERVAL {
            return;
        }
        self.last_load_report.set(now);
        let interval = (now - last_report).min(MAX_REPORTED_INTERVAL);
        let usages = self.endpoints.borrow_mut().take_usage();
        let control_plane = self.control_plane.borrow();
        let Some(primary) = control_plane.primary() else {
            return;
        };
        for usage in usages {
            let report = Message::LoadReport {
                service: usage.service,
                attempts: usage.attempts,
                failures: usage.failures,
                interval_ms: interval.as_millis() as u32,
            };
            control_plane.sessions().send(primary, &report);
        }
    }
}
