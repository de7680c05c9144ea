//! The ranges that the numbers of load reports must lie in, whichever way reports come. A number outside makes its
//! report invalid.

use rushcourse_policy::interface::{Ms, Settings};
use std::fmt;

/// The longest span of a report: it goes back to the last one of its host or proxy, which may be long ago.
pub const MAX_SPAN: Ms = 600_000.0;
/// A successful attempt takes at most so many times the longest deadline: later, nobody waits for it.
const MAX_DEADLINES: f64 = 4.0;
/// Attempts per millisecond that the proxies of a zone, or one of them, can make at most: far beyond what one host can
/// serve.
const MAX_ATTEMPTS_PER_MS: f64 = 100.0;

/// The number of a report that is out of range. It is shown by its name in the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfRange {
    /// The span that the report covers.
    Span,
    /// Attempts.
    Attempts,
    /// Failed attempts.
    Failed,
}

impl OutOfRange {
    /// What is wrong, in words.
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

/// Checks the numbers that reports of every kind have.
///
/// # Errors
/// The first of them that is out of range.
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

/// Whether successful attempts can have taken this long on average.
pub fn is_plausible_mean(mean_latency: Ms, settings: &Settings) -> bool {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let longest = deadlines.fold(0.0, f64::max);
    mean_latency >= 0.0 && mean_latency <= MAX_DEADLINES * longest
}
