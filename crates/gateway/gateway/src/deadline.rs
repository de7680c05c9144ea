//! The deadline of a request, which a shutdown of the process may bring forward.

use crate::drain::DrainSchedule;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Error of [`Deadline::bound`]: the deadline passed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlinePassed;

/// Deadline of one request: its own, or the time at which a draining process answers pending requests if that is
/// sooner.
pub(crate) struct Deadline {
    /// The client's deadline less a transit margin, or the route's timeout if that is sooner.
    expires_at: Instant,
    /// `None` until the process drains.
    drain: watch::Receiver<Option<DrainSchedule>>,
}

impl Deadline {
    pub(crate) fn new(
        expires_at: Instant,
        drain: watch::Receiver<Option<DrainSchedule>>,
    ) -> Deadline {
        Deadline { expires_at, drain }
    }

    /// Returns the deadline without regard to a shutdown, which lets responses go on that have begun.
    pub(crate) fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Returns the deadline as known now; a later SIGTERM may bring it forward.
    pub(crate) fn at(&self) -> Instant {
        let schedule = *self.drain.borrow();
        schedule.map_or(self.expires_at, |schedule| {
            self.expires_at.min(schedule.responses_due_at)
        })
    }

    pub(crate) fn has_passed(&self) -> bool {
        Instant::now() >= self.at()
    }

    /// Returns the time until the deadline, zero if it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.at().saturating_duration_since(Instant::now())
    }

    /// Runs a future until the deadline.
    ///
    /// # Errors
    /// [`DeadlinePassed`] if the future is not complete by then. It has been dropped.
    pub(crate) async fn bound<F: Future>(&self, future: F) -> Result<F::Output, DeadlinePassed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.passed() => Err(DeadlinePassed),
        }
    }

    async fn passed(&self) {
        let mut drain = self.drain.clone();
        let drain_started = drain.wait_for(Option::is_some);
        let is_draining = timeout_at(self.expires_at, drain_started).await.is_ok();
        if is_draining {
            sleep_until(self.at()).await;
        }
    }
}
