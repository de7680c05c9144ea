//! Configuration reloads, with retries while the file is invalid.

use crate::config::{ReloadedConfig, ServiceAddresses};
use crate::counter::Counter;
use crate::effect::{Effect, Severity};
use crate::step_context::StepContext;
use rushcourse_policy::interface::Ms;
use std::time::Duration;

/// Delay before an invalid file is read again; it may have been read while it was being written.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRIES: u32 = 25;

#[derive(Default)]
pub(crate) struct ConfigReload {
    retry_at: Option<Ms>,
    failures: u32,
}

impl ConfigReload {
    /// Handles a reload request of an operator, which restarts the count of retries.
    pub(crate) fn on_requested(&mut self, context: &mut StepContext) {
        *self = ConfigReload::default();
        context.request(Effect::ReloadConfig);
    }

    /// Logs a successful reload. `current` holds the addresses used so far.
    pub(crate) fn on_succeeded(
        &mut self,
        context: &mut StepContext,
        current: ServiceAddresses,
        reloaded: &ReloadedConfig,
    ) {
        *self = ConfigReload::default();
        context.count(Counter::Reloads);
        let addresses = reloaded.addresses;
        context.log(Severity::Info, "reload", || {
            let moved = if addresses == current {
                "; nothing has moved"
            } else {
                ""
            };
            format!(
                "relay {}, discovery {}{moved}",
                addresses.relay, addresses.discovery
            )
        });
        for line in &reloaded.needs_restart {
            context.log(Severity::Warning, "reload", || line.clone());
        }
    }

    /// Schedules a retry after a failed reload. Only the first failure since the request is counted and logged.
    pub(crate) fn on_failed(&mut self, context: &mut StepContext, reason: &str) {
        if self.failures == 0 {
            context.count(Counter::ReloadsFailed);
            context.log(Severity::Error, "reload", || {
                format!("{reason}; nothing is changed")
            });
        }
        self.failures += 1;
        let may_retry = self.failures <= MAX_RETRIES;
        self.retry_at = may_retry.then(|| context.after(RETRY_DELAY));
    }

    /// Requests the retry if it is due; returns the time of the next one.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        if self.retry_at.is_some_and(|at| context.now >= at) {
            self.retry_at = None;
            context.request(Effect::ReloadConfig);
        }
        self.retry_at
    }
}
