//! Resource versions that the proxy rejected. A rejected version is sent again after a delay, or replaced at once when
//! the resource changes.

use super::pending::Versions;
use rushcourse_policy::interface::{ClassId, Ms};

/// Bounds of the exponential backoff before a rejected version is sent again, in ms.
const FIRST_RESEND_DELAY: Ms = 5000.0;
const MAX_RESEND_DELAY: Ms = 60_000.0;
/// Caps the exponent of the backoff.
const MAX_DOUBLINGS: u32 = 10;

/// Rejected versions of one stream.
#[derive(Debug, Default)]
pub(super) struct Rejections {
    /// The last rejected version of each class.
    versions: Versions,
    /// NACKs since everything sent was last accepted.
    consecutive_nacks: u32,
    resend_at: Ms,
}

impl Rejections {
    /// Whether all rejected versions have been replaced, accepted or sent again.
    pub(super) fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    pub(super) fn resend_at(&self) -> Ms {
        self.resend_at
    }

    /// Whether this version of the class is the rejected one.
    pub(super) fn contains(&self, class: ClassId, version: &str) -> bool {
        self.versions
            .get(&class)
            .is_some_and(|rejected| rejected == version)
    }

    /// Whether any version of the class is rejected.
    pub(super) fn has_class(&self, class: ClassId) -> bool {
        self.versions.contains_key(&class)
    }

    pub(super) fn add(&mut self, class: ClassId, version: String) {
        self.versions.insert(class, version);
    }

    /// Schedules the resend of rejected versions; called for each NACK.
    pub(super) fn back_off(&mut self, now: Ms) {
        let doublings = self.consecutive_nacks.min(MAX_DOUBLINGS);
        let delay = FIRST_RESEND_DELAY * 2f64.powi(doublings as i32);
        self.consecutive_nacks += 1;
        self.resend_at = now + delay.min(MAX_RESEND_DELAY);
    }

    /// Removes a class; called when it is sent again, or accepted in another version.
    pub(super) fn remove(&mut self, class: ClassId) {
        self.versions.remove(&class);
    }

    /// Drops classes that the proxy no longer subscribes to.
    pub(super) fn retain(&mut self, classes: &[ClassId]) {
        self.versions.retain(|class, _| classes.contains(class));
    }

    /// Removes all rejections and resets the backoff.
    pub(super) fn clear(&mut self) {
        self.versions.clear();
        self.consecutive_nacks = 0;
    }

    /// Resets the backoff if no rejection is left; called after an ACK.
    pub(super) fn reset_delay_if_empty(&mut self) {
        if self.versions.is_empty() {
            self.consecutive_nacks = 0;
        }
    }
}
