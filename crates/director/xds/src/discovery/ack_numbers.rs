//! Ack numbers: the policy numbers its batches of actions, and gets a number back once the proxy has applied the
//! batches up to it. They are independent of the nonces that ACKs and NACKs of responses carry.

use rushcourse_policy::interface::Ms;

/// Longest wait for a response to be sent, in ms. After it, the policy is informed that its actions aren't applied.
pub(super) const MAX_SEND_DELAY: Ms = 500.0;

/// A range of consecutive ack numbers, which may wrap around.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AckRange {
    /// The oldest number of the range.
    pub(crate) first: u16,
    /// The newest number of the range.
    pub(crate) last: u16,
}

impl AckRange {
    pub(crate) fn single(ack_number: u16) -> AckRange {
        AckRange {
            first: ack_number,
            last: ack_number,
        }
    }

    /// The smallest range that contains both.
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

/// The smallest range that contains both, or the only one present.
pub(crate) fn join(a: Option<AckRange>, b: Option<AckRange>) -> Option<AckRange> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.join(b)),
        (a, b) => a.or(b),
    }
}

/// Compares ack numbers modulo 2^16, so that the order survives a wraparound.
fn is_newer(number: u16, other: u16) -> bool {
    number.wrapping_sub(other) < u16::MAX / 2
}

/// Ack numbers of batches for which no response has been sent.
#[derive(Debug, Default)]
pub(super) struct UnsentAcks {
    range: Option<AckRange>,
    /// When the range became non-empty.
    since: Ms,
}

impl UnsentAcks {
    pub(super) fn range(&self) -> Option<AckRange> {
        self.range
    }

    /// Empties the range and returns it; called when a response is sent.
    pub(super) fn take(&mut self) -> Option<AckRange> {
        self.range.take()
    }

    /// Adds the number of a new batch.
    pub(super) fn add(&mut self, now: Ms, ack_number: u16) {
        self.start_if_empty(now);
        self.range = join(self.range, Some(AckRange::single(ack_number)));
    }

    /// Puts back the numbers of a rejected response. They are older than those in the range.
    pub(super) fn restore(&mut self, now: Ms, acks: AckRange) {
        self.start_if_empty(now);
        self.range = join(Some(acks), self.range);
    }

    fn start_if_empty(&mut self, now: Ms) {
        if self.range.is_none() {
            self.since = now;
        }
    }

    /// Whether the oldest batch has waited for longer than `MAX_SEND_DELAY`.
    pub(super) fn is_overdue(&self, now: Ms) -> bool {
        self.range.is_some() && now - self.since >= MAX_SEND_DELAY
    }
}
