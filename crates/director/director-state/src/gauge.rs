//! Gauges as exported to monitoring.

/// The current value of a gauge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaugeSample {
    /// Metric name, unique among the gauges of a session.
    pub name: &'static str,
    /// Help text, exported with the metric.
    pub help: &'static str,
    /// Current value; ages are in seconds, and -1 if the event has not occurred yet.
    pub value: f64,
}
