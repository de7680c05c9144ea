//! A host as this gateway knows it: its line of the endpoint table, and what this gateway's own attempts met at it
//! (passive health checking). A host that can't be connected to is ejected for a while (outlier ejection).

use rushcourse_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Weight of the newest latency in a host's mean (ours).
const NEWEST_WEIGHT: f64 = 0.15;
/// How long a host stays ejected after a connection to it could not be made; doubled each time, up to the most (ours).
const MIN_EJECTION: Duration = Duration::from_millis(300);
const MAX_EJECTION: Duration = Duration::from_millis(4_000);

/// What an attempt at a host met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostObservation {
    /// A response.
    Response {
        /// From the attempt's start to its end, in milliseconds with their fractions.
        latency_ms: f64,
    },
    /// The host rejected the request, or has no room for it: it did not run there.
    Rejected,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke, or what came is no valid response: the request may have run.
    Failed,
    /// Another incarnation answers at the host's address.
    WrongInstance,
}

impl HostObservation {
    pub(crate) fn is_failure(self) -> bool {
        !matches!(self, HostObservation::Response { .. })
    }
}

/// Since when and for how long a host is ejected.
#[derive(Clone, Debug, Default)]
struct Ejection {
    until: Timestamp,
    /// Of the last ejection; zero once a response came.
    span: Duration,
}

/// A host of one service.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHost {
    address: Arc<str>,
    is_in_own_zone: bool,
    /// Of its line in the endpoint table; 0: it has none any more.
    weight: f64,
    /// It is draining or gone.
    is_unavailable: bool,
    active_requests: u32,
    /// Moving average; 0.0 while no response came.
    mean_latency_ms: f64,
    ejection: Ejection,
}

impl UpstreamHost {
    /// A host without a line yet.
    pub(crate) fn new(address: Arc<str>, is_in_own_zone: bool) -> UpstreamHost {
        UpstreamHost {
            address,
            is_in_own_zone,
            weight: 0.0,
            is_unavailable: false,
            active_requests: 0,
            mean_latency_ms: 0.0,
            ejection: Ejection::default(),
        }
    }

    /// Takes its line of the endpoint table.
    pub(crate) fn set_line(&mut self, address: Arc<str>, weight: f64) {
        self.address = address;
        self.weight = weight;
    }

    /// The endpoint table has no line for it any more.
    pub(crate) fn remove_line(&mut self) {
        self.weight = 0.0;
    }

    /// It is draining or gone, or is back.
    pub(crate) fn set_unavailable(&mut self, is_unavailable: bool) {
        self.is_unavailable = is_unavailable;
    }

    pub(crate) fn address(&self) -> &Arc<str> {
        &self.address
    }

    pub(crate) fn is_in_own_zone(&self) -> bool {
        self.is_in_own_zone
    }

    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether new requests may go to it.
    pub(crate) fn is_available(&self) -> bool {
        self.weight > 0.0 && !self.is_unavailable
    }

    /// Whether there is a reason to know it: a line of the table, or a request that is on it.
    pub(crate) fn is_needed(&self) -> bool {
        self.weight > 0.0 || self.active_requests > 0
    }

    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejection.until
    }

    pub(crate) fn active_requests(&self) -> u32 {
        self.active_requests
    }

    /// The moving average of its latency in milliseconds, if a response came from it.
    pub(crate) fn mean_latency_ms(&self) -> Option<f64> {
        (self.mean_latency_ms > 0.0).then_some(self.mean_latency_ms)
    }

    pub(crate) fn begin_request(&mut self) {
        self.active_requests += 1;
    }

    pub(crate) fn end_request(&mut self) {
        self.active_requests = self.active_requests.saturating_sub(1);
    }

    /// Takes what an attempt met into account.
    pub(crate) fn record(&mut self, now: Timestamp, observed: HostObservation) {
        match observed {
            HostObservation::Response { latency_ms } => {
                let mean = self.mean_latency_ms().unwrap_or(latency_ms);
                self.mean_latency_ms = mean + (latency_ms - mean) * NEWEST_WEIGHT;
                self.ejection.span = Duration::ZERO;
            }
            HostObservation::Rejected => self.mean_latency_ms *= 1.0 + NEWEST_WEIGHT,
            HostObservation::ConnectFailed | HostObservation::WrongInstance => self.eject(now),
            HostObservation::Failed => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        self.ejection.span = (self.ejection.span * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejection.until = now + self.ejection.span;
    }
}
