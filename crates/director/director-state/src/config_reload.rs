//! A configuration that is read again, and when a file that could not be used is looked at once more.

use crate::config::{ReloadedConfig, ServiceAddresses};
use crate::counter::Counter;
use crate::effect::{Effect, Severity};
use crate::step_context::StepContext;
use rushcourse_policy::interface::Ms;
use std::time::Duration;

/// A file that could not be used is looked at again after this: it may be half written.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRIES: u32 = 25;

#[derive(Default)]
pub(crate) struct ConfigReload {
    retry_at: Option<Ms>,
    failures: u32,
}

impl ConfigReload {
    /// An operator asks for a reload: a new set of retries.
    pub(crate) fn requested(&mut self, context: &mut StepContext) {
        *self = ConfigReload::default();
        context.request(Effect::ReloadConfig);
    }

    /// The file could be used. `current`: where the services were until now.
    pub(crate) fn succeeded(
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

    /// The file could not be used; the first time it is logged.
    pub(crate) fn failed(&mut self, context: &mut StepContext, reason: &str) {
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

    /// Does what is due; returns when it wants to be called again.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        if self.retry_at.is_some_and(|at| context.now >= at) {
            self.retry_at = None;
            context.request(Effect::ReloadConfig);
        }
        self.retry_at
    }
}
