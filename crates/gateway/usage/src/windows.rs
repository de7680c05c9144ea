//! Report windows: consecutive spans of the wall clock, numbered from the start of 1970.

use rushcourse_types::{WallTime, WindowNumber};
use std::time::Duration;

/// Shortest window length. Shorter ones are raised to it.
const MIN_LENGTH: Duration = Duration::from_millis(100);

/// The division of wall-clock time into report windows of equal length.
#[derive(Clone, Copy, Debug)]
pub struct ReportWindows {
    length_ms: u64,
}

impl ReportWindows {
    /// Creates windows of this length, at least 100 ms. Window `k` starts `k` lengths after the start of 1970.
    pub fn new(length: Duration) -> ReportWindows {
        ReportWindows {
            length_ms: length.max(MIN_LENGTH).as_millis() as u64,
        }
    }

    /// The window that contains this time.
    pub fn at(&self, time: WallTime) -> WindowNumber {
        WindowNumber(time.0 / self.length_ms)
    }

    /// The first instant after a window.
    pub fn end_of(&self, window: WindowNumber) -> WallTime {
        WallTime(window.0.saturating_add(1).saturating_mul(self.length_ms))
    }
}
