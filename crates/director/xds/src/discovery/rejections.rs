//! Versions that the proxy has rejected. What was rejected goes out again after a delay, or at once when its content
//! has changed.

use super::pending::Versions;
use rushcourse_policy::interface::{ClassId, Ms};

/// First and longest delay before a rejected version is sent again as it was, in ms.
const FIRST_RESEND_DELAY: Ms = 5000.0;
const MAX_RESEND_DELAY: Ms = 60_000.0;
/// Doublings after which the delay grows no more.
const MAX_DOUBLINGS: u32 = 10;

/// The rejections of one stream.
#[derive(Debug, Default)]
pub(super) struct Rejections {
    /// By class: the version that was rejected last.
    versions: Versions,
    /// NACKs without an ACK of all in between.
    consecutive: u32,
    resend_at: Ms,
}

impl Rejections {
    /// Whether nothing is rejected that has not been sent again.
    pub(super) fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// When rejected versions are sent again as they were.
    pub(super) fn resend_at(&self) -> Ms {
        self.resend_at
    }

    /// Whether just this version of a class was rejected.
    pub(super) fn contains(&self, class: ClassId, version: &str) -> bool {
        self.versions
            .get(&class)
            .is_some_and(|rejected| rejected == version)
    }

    /// Whether a class was rejected, in this version or an earlier one.
    pub(super) fn has_class(&self, class: ClassId) -> bool {
        self.versions.contains_key(&class)
    }

    /// A class's version was rejected.
    pub(super) fn add(&mut self, class: ClassId, version: String) {
        self.versions.insert(class, version);
    }

    /// A NACK came: the delay grows.
    pub(super) fn back_off(&mut self, now: Ms) {
        let doublings = self.consecutive.min(MAX_DOUBLINGS);
        let delay = FIRST_RESEND_DELAY * 2f64.powi(doublings as i32);
        self.consecutive += 1;
        self.resend_at = now + delay.min(MAX_RESEND_DELAY);
    }

    /// A class was sent again, or was accepted in another version.
    pub(super) fn remove(&mut self, class: ClassId) {
        self.versions.remove(&class);
    }

    /// Keeps the classes that the proxy is still subscribed to.
    pub(super) fn retain(&mut self, classes: &[ClassId]) {
        self.versions.retain(|class, _| classes.contains(class));
    }

    /// All was accepted.
    pub(super) fn clear(&mut self) {
        self.versions.clear();
        self.consecutive = 0;
    }

    /// An ACK came: the delay starts anew if nothing is rejected any more.
    pub(super) fn reset_delay_if_empty(&mut self) {
        if self.versions.is_empty() {
            self.consecutive = 0;
        }
    }
}
