//! Shutdown after SIGTERM: its schedule, and a record of the requests that were pending when it ended them.

use hyper::StatusCode;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the grace period after which pending requests get a local response. Hosts have five sixths of the grace
/// period to respond.
const RESPONSE_FRACTION: f64 = 0.85;
/// Fraction of the grace period after which the process exits even with open connections, so that it exits before the
/// platform kills it.
const EXIT_FRACTION: f64 = 0.93;
/// How long a draining process keeps connections open. The platform polls readiness once a second and stops sending
/// clients after two failed polls.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(2_300);

/// How long a draining process accepts requests, at most half of the grace period. By then the platform has stopped
/// sending clients, and a host that gets a later request may not have time to finish it.
const ADMISSION_PERIOD: Duration = Duration::from_secs(3);

/// Points in time of a shutdown, in this order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainSchedule {
    /// Connections are closed after their current request from now on.
    pub(crate) connections_close_at: Instant,
    /// Requests that arrive later are rejected.
    pub(crate) admission_ends_at: Instant,
    /// Requests that are still pending get a local response.
    pub(crate) responses_due_at: Instant,
    /// The process exits even if connections are still open, which are then reset or truncated.
    pub(crate) exits_at: Instant,
}

impl DrainSchedule {
    /// Creates the schedule of a shutdown that starts now. `grace_period` is the time from SIGTERM until the platform
    /// kills the process.
    pub(crate) fn new(started_at: Instant, grace_period: Duration) -> DrainSchedule {
        let response_delay = grace_period.mul_f64(RESPONSE_FRACTION);
        DrainSchedule {
            connections_close_at: started_at + CONNECTION_CLOSE_DELAY.min(response_delay / 2),
            admission_ends_at: started_at + ADMISSION_PERIOD.min(grace_period / 2),
            responses_due_at: started_at + response_delay,
            exits_at: started_at + grace_period.mul_f64(EXIT_FRACTION),
        }
    }
}

/// Requests that were pending when responses became due, by the kind of their response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndedRequests {
    /// 503: not executed.
    rejected: u32,
    /// 504: may have been executed.
    timed_out: u32,
    /// Other responses, including those of hosts that arrived at the last moment.
    other: u32,
    longest_wait: Duration,
}

impl EndedRequests {
    /// Records the response to a request that had waited for `waited`.
    pub(crate) fn record(&mut self, status: StatusCode, waited: Duration) {
        let count = match status {
            StatusCode::SERVICE_UNAVAILABLE => &mut self.rejected,
            StatusCode::GATEWAY_TIMEOUT => &mut self.timed_out,
            _ => &mut self.other,
        };
        *count += 1;
        self.longest_wait = self.longest_wait.max(waited);
    }
}

/// The fields of the log line at exit.
impl fmt::Display for EndedRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ended = self.rejected + self.timed_out + self.other;
        write!(
            f,
            "ended_at_drain_end={ended} rejected={} timed_out={} other={} longest_wait_ms={}",
            self.rejected,
            self.timed_out,
            self.other,
            self.longest_wait.as_millis()
        )
    }
}
