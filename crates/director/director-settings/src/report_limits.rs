//! Range checks for the numbers in load reports, whether they arrive from collectors or over gRPC. A number that is out
//! of range invalidates its report.

use rushcourse_policy::interface::{Ms, Settings};
use std::fmt;

/// Longest time that a report may cover, in ms. A report covers the time since the previous one of its host or proxy.
pub const MAX_SPAN: Ms = 600_000.0;
/// Upper bound of a mean latency, as a multiple of the longest deadline; no client waits that long.
const MAX_LATENCY_IN_DEADLINES: f64 = 4.0;
/// Upper bound of the attempts per ms in a report, far above what one host can serve.
const MAX_ATTEMPTS_PER_MS: f64 = 100.0;

/// The number of a report that is out of range; displayed with the field's name in the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfRange {
    /// The time that the report covers (`window`).
    Span,
    /// The number of attempts (`n`).
    Attempts,
    /// The number of failed attempts (`bad`).
    Failed,
}

impl OutOfRange {
    /// A message for the log.
    pub fn reason(self) -> &'static str {
        match self {
            OutOfRange::Span => "window is out of range",
            OutOfRange::Attempts => "n is out of range",
            OutOfRange::Failed => "bad is out of range",
        }
    }
}

impl fmt::Display for OutOfRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for OutOfRange {}

/// Checks the numbers that all kinds of reports have in common.
///
/// # Errors
/// The first number that is out of range.
pub fn check_counts(attempts: f64, failed: f64, span: Ms) -> Result<(), OutOfRange> {
    if !(span > 0.0 && span <= MAX_SPAN) {
        return Err(OutOfRange::Span);
    }
    let possible = 0.0..=MAX_ATTEMPTS_PER_MS * span;
    if !possible.contains(&attempts) {
        Err(OutOfRange::Attempts)
    } else if !possible.contains(&failed) {
        Err(OutOfRange::Failed)
    } else {
        Ok(())
    }
}

/// Whether `mean_latency` is between 0 and four times the longest deadline of all request classes.
pub fn is_plausible_mean(mean_latency: Ms, settings: &Settings) -> bool {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let longest = deadlines.fold(0.0, f64::max);
    mean_latency >= 0.0 && mean_latency <= MAX_LATENCY_IN_DEADLINES * longest
}
