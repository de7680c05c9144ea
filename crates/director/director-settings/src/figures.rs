//! Ranges that figures of reports must lie in, whichever way they come. What lies outside spoils its report.

use rushcourse_policy::interface::{Ms, Settings};

/// ms that a report covers at most: it goes back to the last one of its host or proxy, which may be long ago.
pub const WINDOW_MOST: Ms = 600_000.0;
/// A good answer takes at most so many times the longest deadline: later, nobody waits for it.
const DEADLINES_MOST: f64 = 4.0;
/// Tries a ms that a zone's proxies, or one of them, can make at most: far beyond what one host can serve.
const TRIES_MOST: f64 = 100.0;

/// What spoils the figures that reports of every kind have, if anything does.
pub fn spoilt(n: f64, bad: f64, window: Ms) -> Option<&'static str> {
    if !(window > 0.0 && window <= WINDOW_MOST) {
        return Some("window is out of range");
    }
    let most = 0.0..=TRIES_MOST * window;
    if !most.contains(&n) {
        Some("n is out of range")
    } else if !most.contains(&bad) {
        Some("bad is out of range")
    } else {
        None
    }
}

/// Whether a mean time of good answers may be.
pub fn is_mean(mean: Ms, settings: &Settings) -> bool {
    let deadline = settings
        .classes
        .iter()
        .map(|c| c.deadline)
        .fold(0.0, f64::max);
    mean >= 0.0 && mean <= DEADLINES_MOST * deadline
}
