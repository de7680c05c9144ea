//! Numbers that the policy gives its batches of actions. Once a proxy holds what a batch asked for, the policy is given
//! its number back. They have nothing to do with the nonces of responses, which ACKs and NACKs name.

use rushcourse_policy::interface::Ms;

/// ms for a response to leave; later, the policy is told what is not applied.
pub(super) const SEND_DELAY_TOLERATED: Ms = 500.0;

/// Consecutive numbers that one response stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AckRange {
    /// The oldest.
    pub(crate) first: u16,
    /// The newest.
    pub(crate) last: u16,
}

impl AckRange {
    /// One number.
    pub(crate) fn of(ack_number: u16) -> AckRange {
        AckRange {
            first: ack_number,
            last: ack_number,
        }
    }

    /// The range that spans both.
    fn join(self, other: AckRange) -> AckRange {
        AckRange {
            first: if is_newer(self.first, other.first) {
                other.first
            } else {
                self.first
            },
            last: if is_newer(self.last, other.last) {
                self.last
            } else {
                other.last
            },
        }
    }
}

/// The range that spans both, or the one that there is.
pub(crate) fn join(a: Option<AckRange>, b: Option<AckRange>) -> Option<AckRange> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.join(b)),
        (a, b) => a.or(b),
    }
}

/// Whether a number came after another: numbers begin anew after the largest.
fn is_newer(number: u16, other: u16) -> bool {
    number.wrapping_sub(other) < u16::MAX / 2
}

/// Numbers of batches whose response has not been sent.
#[derive(Debug, Default)]
pub(super) struct UnsentAcks {
    range: Option<AckRange>,
    /// When the first of them came.
    since: Ms,
}

impl UnsentAcks {
    /// All of them.
    pub(super) fn range(&self) -> Option<AckRange> {
        self.range
    }

    /// All of them, which are handed over to a response.
    pub(super) fn take(&mut self) -> Option<AckRange> {
        self.range.take()
    }

    /// A batch came under this number.
    pub(super) fn add(&mut self, now: Ms, ack_number: u16) {
        self.start(now);
        self.range = join(self.range, Some(AckRange::of(ack_number)));
    }

    /// These numbers rested on a response that was rejected: they are older than those that have come since.
    pub(super) fn restore(&mut self, now: Ms, acks: AckRange) {
        self.start(now);
        self.range = join(Some(acks), self.range);
    }

    fn start(&mut self, now: Ms) {
        if self.range.is_none() {
            self.since = now;
        }
    }

    /// Whether they have waited for longer than a response may.
    pub(super) fn are_late(&self, now: Ms) -> bool {
        self.range.is_some() && now - self.since >= SEND_DELAY_TOLERATED
    }
}
