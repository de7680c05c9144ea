//! The process's one clock: Unix time in ms at the start, and from there on a clock that never goes back. Times in the
//! membership list are Unix times too, so they need no mapping.

use rushcourse_policy::interface::Ms;
use std::time::{Duration, Instant, SystemTime};

/// The longest span from the start that is mapped to an `Instant`, in ms: about 30 years.
const MAX_SPAN: Ms = 1e12;

/// Maps the steady clock to times in ms.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    /// Unix time at the start, in ms.
    started_at: Ms,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: since_epoch.as_secs_f64() * 1000.0,
            start: Instant::now(),
        }
    }

    /// Now, in ms.
    pub(crate) fn now(&self) -> Ms {
        self.started_at + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// When a time of this clock comes.
    pub(crate) fn instant(&self, at: Ms) -> Instant {
        let span = (at - self.started_at).clamp(0.0, MAX_SPAN);
        self.start + Duration::from_secs_f64(span / 1000.0)
    }
}
