//! The counts that a controller has received from gateways, by report window.

use rushcourse_messages::UsageCounts;
use rushcourse_types::{Incarnation, NodeId, WindowNumber};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Windows before the current one that are kept, whether or not they were reported.
const MAX_PAST_WINDOWS: u64 = 32;
/// Windows after the current one that are accepted, for gateways whose clock is ahead.
const MAX_FUTURE_WINDOWS: u64 = 1;
/// Limit of gateway processes per window; counts of further ones are ignored.
const MAX_PROCESSES: usize = 8_192;

/// One run of a gateway process. The counts of successive runs of a gateway add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GatewayProcess {
    gateway: NodeId,
    incarnation: Incarnation,
}

/// The newest counts of each gateway process in each window.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowNumber, BTreeMap<GatewayProcess, UsageCounts>>,
}

impl UsageLedger {
    /// Records counts unless newer ones of the same process and window are there. `current` is the window by this
    /// controller's clock; counts of windows far from it are ignored, so that a gateway with a wrong clock can't displace
    /// the counts of others.
    pub fn record(&mut self, current: WindowNumber, counts: UsageCounts) {
        let oldest = WindowNumber(current.0.saturating_sub(MAX_PAST_WINDOWS));
        let newest = WindowNumber(current.0.saturating_add(MAX_FUTURE_WINDOWS));
        if !(oldest..=newest).contains(&counts.window) {
            return;
        }
        self.windows.retain(|window, _| *window >= oldest);
        let process = GatewayProcess {
            gateway: counts.gateway,
            incarnation: counts.incarnation,
        };
        let processes = self.windows.entry(counts.window).or_default();
        let newest = processes.get(&process);
        let is_newer = newest.is_none_or(|newest| newest.revision <= counts.revision);
        if is_newer && (newest.is_some() || processes.len() < MAX_PROCESSES) {
            processes.insert(process, counts);
        }
    }

    /// Requests of each tenant in a window, summed over all gateways. Tenants without requests are left out.
    pub fn totals(&self, window: WindowNumber) -> BTreeMap<Arc<str>, u64> {
        let mut totals: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let processes = self.windows.get(&window).into_iter().flatten();
        for count in processes.flat_map(|(_, counts)| &counts.counts) {
            if count.requests > 0 {
                *totals.entry(count.tenant.clone()).or_default() += u64::from(count.requests);
            }
        }
        totals
    }

    /// The windows above `settled` in which requests were counted, in ascending order.
    pub fn windows_after(
        &self,
        settled: Option<WindowNumber>,
    ) -> impl Iterator<Item = WindowNumber> + '_ {
        let windows = self.windows.keys().copied();
        windows.filter(move |window| settled.is_none_or(|settled| *window > settled))
    }

    /// Whether requests were counted in a window.
    pub fn has_requests(&self, window: WindowNumber) -> bool {
        let processes = self.windows.get(&window).into_iter().flatten();
        let mut counts = processes.flat_map(|(_, counts)| &counts.counts);
        counts.any(|count| count.requests > 0)
    }

    /// Whether every gateway that counted in this window or in the one before has sent its counts after the end of this
    /// window. Of a gateway that has restarted, the new process is enough.
    pub fn is_complete(&self, window: WindowNumber) -> bool {
        let current = self.windows.get(&window).into_iter().flatten();
        let finished: BTreeSet<NodeId> = current
            .filter(|(_, counts)| counts.has_ended)
            .map(|(process, _)| process.gateway)
            .collect();
        let before = WindowNumber(window.0.saturating_sub(1));
        let mut known = self.windows.range(before..=window);
        known.all(|(_, processes)| {
            let mut processes = processes.keys();
            processes.all(|process| finished.contains(&process.gateway))
        })
    }

    /// Drops the counts of windows before this one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows.retain(|kept, _| *kept >= window);
    }

    /// Counts in a window that their gateway has sent before the window ended, and not since. Only the primary
    /// controller of a gateway has these.
    pub fn unfinished(&self, window: WindowNumber) -> Vec<UsageCounts> {
        let processes = self.windows.get(&window).into_iter().flatten();
        let unfinished = processes.filter(|(_, counts)| !counts.has_ended);
        unfinished.map(|(_, counts)| counts.clone()).collect()
    }
}
