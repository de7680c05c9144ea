//! A host of one service: its endpoint table entry plus what this gateway's own attempts show about it (passive health
//! checking). A host that refuses connections is ejected for a limited time (outlier ejection).

use rushcourse_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Weight of the newest sample in the exponential moving average of a host's latency.
const LATENCY_SMOOTHING_FACTOR: f64 = 0.15;
/// First ejection time after a connection failure. Each consecutive ejection doubles it, up to [`MAX_EJECTION_TIME`].
const MIN_EJECTION_TIME: Duration = Duration::from_millis(300);
const MAX_EJECTION_TIME: Duration = Duration::from_millis(4_000);

/// The result of an attempt, as far as it concerns the health and load of the host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostObservation {
    /// The host responded, or the attempt ran into its timeout.
    Response {
        /// Time from the start to the end of the attempt, in milliseconds.
        latency_ms: f64,
    },
    /// The host did not run the request because it rejected it or has no capacity for it. Raises the mean latency.
    Rejected,
    /// No connection could be established, so the request did not run. Ejects the host.
    ConnectFailed,
    /// The connection broke or the response was invalid; the request may have run.
    Failed,
    /// A different instance serves the host's address, so the request did not run. Ejects the host.
    WrongInstance,
}

impl HostObservation {
    pub(crate) fn is_failure(self) -> bool {
        !matches!(self, HostObservation::Response { .. })
    }
}

#[derive(Clone, Debug, Default)]
struct Ejection {
    until: Timestamp,
    /// Length of the last ejection, from which the next one is computed. Reset to zero by a response.
    duration: Duration,
}

/// A host of one service.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHost {
    address: Arc<str>,
    is_in_own_zone: bool,
    /// Weight in the endpoint table, or 0 if the table no longer contains the host.
    weight: f64,
    /// Whether the host is draining or gone.
    is_unavailable: bool,
    active_requests: u32,
    /// Exponential moving average, or 0.0 before the first response.
    mean_latency_ms: f64,
    ejection: Ejection,
}

impl UpstreamHost {
    /// Creates a host with weight 0, which is not available until [`UpstreamHost::set_endpoint`] is called.
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

    /// Sets address and weight from the host's endpoint table entry.
    pub(crate) fn set_endpoint(&mut self, address: Arc<str>, weight: f64) {
        self.address = address;
        self.weight = weight;
    }

    /// Marks the host as no longer listed in the endpoint table. It stays known while requests are active.
    pub(crate) fn remove_endpoint(&mut self) {
        self.weight = 0.0;
    }

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

    /// Whether new requests may be sent to the host. Ejection is not considered.
    pub(crate) fn is_available(&self) -> bool {
        self.weight > 0.0 && !self.is_unavailable
    }

    /// Whether the endpoint table lists the host or a request to it is still active.
    pub(crate) fn is_in_use(&self) -> bool {
        self.weight > 0.0 || self.active_requests > 0
    }

    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejection.until
    }

    pub(crate) fn active_requests(&self) -> u32 {
        self.active_requests
    }

    /// The moving average of the host's latency in milliseconds, or `None` before its first response.
    pub(crate) fn mean_latency_ms(&self) -> Option<f64> {
        (self.mean_latency_ms > 0.0).then_some(self.mean_latency_ms)
    }

    pub(crate) fn begin_request(&mut self) {
        self.active_requests += 1;
    }

    pub(crate) fn end_request(&mut self) {
        self.active_requests = self.active_requests.saturating_sub(1);
    }

    /// Updates the mean latency or ejects the host, depending on the result of an attempt.
    pub(crate) fn record(&mut self, now: Timestamp, observation: HostObservation) {
        match observation {
            HostObservation::Response { latency_ms } => {
                let mean = self.mean_latency_ms().unwrap_or(latency_ms);
                self.mean_latency_ms = mean + (latency_ms - mean) * LATENCY_SMOOTHING_FACTOR;
                self.ejection.duration = Duration::ZERO;
            }
            HostObservation::Rejected => self.mean_latency_ms *= 1.0 + LATENCY_SMOOTHING_FACTOR,
            HostObservation::ConnectFailed | HostObservation::WrongInstance => self.eject(now),
            HostObservation::Failed => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        self.ejection.duration =
            (self.ejection.duration * 2).clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
        self.ejection.until = now + self.ejection.duration;
    }
}
