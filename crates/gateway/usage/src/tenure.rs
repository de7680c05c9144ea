//! Which controller should hold the duty.
//!
//! A holder keeps it as long as it is connected. Another controller takes over once it has not been connected to the
//! holder for the lease duration, measured by its own steady clock and only while it has quorum contact. Voters
//! additionally refuse a takeover while they are connected to the holder (`rushcourse-consensus`).

use rushcourse_messages::DutyState;
use rushcourse_types::{Fence, NodeId, Timestamp};
use std::time::Duration;

/// Quorum contact needed before the first holder is proposed, so that most controllers are connected by then.
const FIRST_HOLDER_DELAY: Duration = Duration::from_secs(1);
/// Delay added for each connected controller with a lower node id, so that controllers don't compete.
const DELAY_PER_RANK: Duration = Duration::from_millis(400);
/// Added to the lease duration before a takeover, for differences between clocks.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);

/// Another controller with an open session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectedController {
    /// Its node id.
    pub node: NodeId,
    /// Its node name, which the platform is told.
    pub name: String,
    /// Whether it has announced that its process is shutting down.
    pub is_shutting_down: bool,
}

/// How long this controller has been waiting to become the holder.
#[derive(Clone, Debug)]
pub struct Tenure {
    local: NodeId,
    takeover_delay: Duration,
    contact_since: Option<Timestamp>,
    missing_holder: Option<MissingHolder>,
}

/// A holder without a session to this controller.
#[derive(Clone, Copy, Debug)]
struct MissingHolder {
    fence: Fence,
    since: Timestamp,
}

impl Tenure {
    /// Creates the state of the controller `local`. `lease_duration` is the time that has to pass before another
    /// holder acts after one that was lost.
    pub fn new(local: NodeId, lease_duration: Duration) -> Tenure {
        Tenure {
            local,
            takeover_delay: lease_duration + TAKEOVER_MARGIN,
            contact_since: None,
            missing_holder: None,
        }
    }

    /// Records that this controller has no quorum contact. What it observed before no longer counts.
    pub fn contact_lost(&mut self) {
        self.contact_since = None;
        self.missing_holder = None;
    }

    /// Whether there has been quorum contact for this long.
    pub fn has_contact_for(&self, now: Timestamp, duration: Duration) -> bool {
        self.contact_since
            .is_some_and(|since| now >= since + duration)
    }

    /// Whether this controller should propose itself as holder. `duty` is the newest agreed state, and `connected` are
    /// the other controllers with open sessions. Must be called periodically while there is quorum contact.
    pub fn should_take_over(
        &mut self,
        now: Timestamp,
        duty: Option<&DutyState>,
        connected: &[ConnectedController],
    ) -> bool {
        let contact_since = *self.contact_since.get_or_insert(now);
        let rank_delay = DELAY_PER_RANK * self.rank(connected);
        let Some(duty) = duty else {
            return now >= contact_since + FIRST_HOLDER_DELAY + rank_delay;
        };
        let is_present =
            duty.holder == self.local || connected.iter().any(|other| other.node == duty.holder);
        if is_present {
            self.missing_holder = None;
            return false;
        }
        let missing = self
            .missing_holder
            .filter(|missing| missing.fence == duty.fence)
            .unwrap_or(MissingHolder {
                fence: duty.fence,
                since: now,
            });
        self.missing_holder = Some(missing);
        now >= missing.since + self.takeover_delay + rank_delay
    }

    /// Number of connected controllers with a lower node id.
    fn rank(&self, connected: &[ConnectedController]) -> u32 {
        let lower = connected.iter().filter(|other| other.node < self.local);
        lower.count() as u32
    }
}
