//! The counts of one gateway: requests of each tenant that hosts began to execute, by report window.
//!
//! Counts are cumulative and carry a revision, so that a message that is repeated or arrives late neither adds to them
//! nor takes anything away. A request counts from the moment it is sent to a host, and is taken back if the host
//! reports that it did not execute it.

use rushcourse_messages::{TenantCount, UsageCounts};
use rushcourse_types::{Incarnation, NodeId, WindowNumber};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of windows that are kept. Older ones are dropped, whether or not they were sent.
const MAX_WINDOWS: usize = 4;

/// A request that was counted; needed to take it back.
#[derive(Clone, Debug)]
pub struct StartedRequest {
    window: WindowNumber,
    tenant: Arc<str>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: BTreeMap<Arc<str>, u32>,
    revision: u64,
    /// Whether the counts have changed since they were last taken.
    has_changed: bool,
    /// Whether counts were taken after the end of the window.
    is_reported: bool,
}

/// Counts of the requests that this process has sent to hosts.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    gateway: NodeId,
    incarnation: Incarnation,
    windows: BTreeMap<WindowNumber, Window>,
}

impl UsageCounter {
    /// Creates a counter without counts.
    pub fn new(gateway: NodeId, incarnation: Incarnation) -> UsageCounter {
        UsageCounter {
            gateway,
            incarnation,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request that is being sent to a host in `window`.
    pub fn start(&mut self, window: WindowNumber, tenant: &Arc<str>) -> StartedRequest {
        let counts = self.windows.entry(window).or_default();
        *counts.requests.entry(tenant.clone()).or_default() += 1;
        counts.has_changed = true;
        self.drop_old_windows();
        StartedRequest {
            window,
            tenant: tenant.clone(),
        }
    }

    fn drop_old_windows(&mut self) {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Takes back a request that its host did not execute. Has no effect once its window was dropped.
    pub fn retract(&mut self, request: &StartedRequest) {
        let Some(window) = self.windows.get_mut(&request.window) else {
            return;
        };
        if let Some(count) = window.requests.get_mut(&request.tenant) {
            *count = count.saturating_sub(1);
            window.has_changed = true;
        }
    }

    /// Takes the counts of a window that has not ended, if they have changed since they were last taken.
    pub fn take_progress(&mut self, window: WindowNumber) -> Option<UsageCounts> {
        let (gateway, incarnation) = (self.gateway, self.incarnation);
        let counts = self.windows.get_mut(&window)?;
        let is_due = std::mem::take(&mut counts.has_changed);
        is_due.then(|| counts.next_message(gateway, incarnation, window, false))
    }

    /// Takes the counts of all windows before `current` that have changed since they were taken after their end. Those of
    /// the window just before are taken once even if it had no requests, so that controllers don't wait for them.
    pub fn take_ended(&mut self, current: WindowNumber) -> Vec<UsageCounts> {
        let (gateway, incarnation) = (self.gateway, self.incarnation);
        self.windows
            .entry(WindowNumber(current.0.saturating_sub(1)))
            .or_default();
        self.drop_old_windows();
        let mut messages = Vec::new();
        for (window, counts) in self.windows.range_mut(..current) {
            let is_first = !std::mem::replace(&mut counts.is_reported, true);
            let has_changed = std::mem::take(&mut counts.has_changed);
            if is_first || has_changed {
                messages.push(counts.next_message(gateway, incarnation, *window, true));
            }
        }
        messages
    }

    /// The counts of all windows before `current` that are kept, for a controller that may lack them.
    pub fn ended(&self, current: WindowNumber) -> Vec<UsageCounts> {
        let (gateway, incarnation) = (self.gateway, self.incarnation);
        let ended = self.windows.range(..current);
        ended
            .map(|(window, counts)| counts.message(gateway, incarnation, *window, true))
            .collect()
    }
}

impl Window {
    fn next_message(
        &mut self,
        gateway: NodeId,
        incarnation: Incarnation,
        window: WindowNumber,
        has_ended: bool,
    ) -> UsageCounts {
        self.revision += 1;
        self.message(gateway, incarnation, window, has_ended)
    }

    fn message(
        &self,
        gateway: NodeId,
        incarnation: Incarnation,
        window: WindowNumber,
        has_ended: bool,
    ) -> UsageCounts {
        let counts = self.requests.iter().map(|(tenant, requests)| TenantCount {
            tenant: tenant.clone(),
            requests: *requests,
        });
        UsageCounts {
            gateway,
            incarnation,
            window,
            revision: self.revision,
            has_ended,
            counts: counts.collect(),
        }
    }
}
