//! Runs of gateways whose sessions were closed, until it is certain enough that they have ended.

use rushcourse_storage::GatewayRun;
use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the end of the last session until a gateway counts as ended. Gateways that were cut off for a moment are
/// back by then.
const END_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of runs; further ones are not recorded.
const MAX_RUNS: usize = 4_096;

/// Runs of gateways that may have ended.
#[derive(Debug, Default)]
pub(crate) struct EndedGateways {
    due: BTreeMap<GatewayRun, Timestamp>,
}

impl EndedGateways {
    /// Records that a session of a run was closed.
    pub(crate) fn session_closed(&mut self, now: Timestamp, run: GatewayRun) {
        if self.due.len() < MAX_RUNS {
            self.due.insert(run, now + END_DELAY);
        }
    }

    /// Removes and returns the runs whose delay is over and that have no session for which `is_connected` holds.
    pub(crate) fn take_ended(
        &mut self,
        now: Timestamp,
        is_connected: impl Fn(GatewayRun) -> bool,
    ) -> Vec<GatewayRun> {
        let is_due = |(run, due): (&GatewayRun, &Timestamp)| (now >= *due).then_some(*run);
        let due: Vec<GatewayRun> = self.due.iter().filter_map(is_due).collect();
        for run in &due {
            self.due.remove(run);
        }
        due.into_iter().filter(|run| !is_connected(*run)).collect()
    }
}
