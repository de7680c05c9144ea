//! Counts of executed requests per tenant, and their reports to controllers.

use super::GatewayState;
use rushcourse_messages::Message;
use rushcourse_types::{NodeId, Timestamp};
use rushcourse_usage::StartedRequest;
use std::sync::Arc;
use std::time::Duration;

/// Interval between reports of counts that have changed.
const COUNTS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of intervals between two reports of the current window to the primary controller.
const INTERVALS_PER_PROGRESS: u64 = 2;

impl GatewayState {
    /// Counts a request of a tenant that is being sent to a host. `None` if it is not counted.
    pub(crate) fn start_usage(&self, tenant: Option<&Arc<str>>) -> Option<StartedRequest> {
        let tenant = tenant?;
        let mut usage = self.usage.borrow_mut();
        let usage = usage.as_mut()?;
        let window = usage.windows.at(self.clock.wall_time());
        Some(usage.counter.start(window, tenant))
    }

    /// Takes back a request that its host did not execute.
    pub(crate) fn retract_usage(&self, request: Option<StartedRequest>) {
        let mut usage = self.usage.borrow_mut();
        if let (Some(usage), Some(request)) = (usage.as_mut(), request) {
            usage.counter.retract(&request);
        }
    }

    /// Sends the counts of ended windows to all controllers, and those of the current one to the primary controller,
    /// which passes them on if this gateway is lost. A draining gateway sends all counts to all controllers.
    pub(super) fn report_usage(&self, now: Timestamp) {
        let mut usage = self.usage.borrow_mut();
        let Some(usage) = usage.as_mut() else {
            return;
        };
        if now < usage.reported_at + COUNTS_INTERVAL {
            return;
        }
        usage.reported_at = now;
        usage.reports += 1;
        let current = usage.windows.at(self.clock.wall_time());
        let control_plane = self.control_plane.borrow();
        for counts in usage.counter.take_ended(current) {
            control_plane.send_to_controllers(&Message::UsageCounts(counts));
        }
        let is_draining = self.drain_schedule().is_some();
        if !is_draining && !usage.reports.is_multiple_of(INTERVALS_PER_PROGRESS) {
            return;
        }
        let Some(counts) = usage.counter.take_progress(current) else {
            return;
        };
        let message = Message::UsageCounts(counts);
        if is_draining {
            control_plane.send_to_controllers(&message);
        } else if let Some(primary) = control_plane.primary() {
            control_plane.sessions().send(primary, &message);
        }
    }

    /// Sends the counts of ended windows to a controller that may have missed them.
    pub(super) fn resend_usage(&self, controller: NodeId) {
        let usage = self.usage.borrow();
        let Some(usage) = usage.as_ref() else {
            return;
        };
        let current = usage.windows.at(self.clock.wall_time());
        let control_plane = self.control_plane.borrow();
        for counts in usage.counter.ended(current) {
            let message = Message::UsageCounts(counts);
            control_plane.sessions().send(controller, &message);
        }
    }
}
