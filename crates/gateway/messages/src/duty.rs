//! The replicated state of the usage duty: which controller reports usage to the platform, under which fence, and which
//! reports are settled. The states form a chain; each is chosen by ballots as the value of a slot
//! (`Slot::UsageDuty`), and only the methods of [`DutyState`] make the next one.

use rushcourse_types::{DutySequence, Fence, NodeId, WindowNumber};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum number of settled reports that wait for delivery. With windows of 5 s it covers an outage of the platform of
/// more than five minutes.
pub const MAX_UNDELIVERED_REPORTS: usize = 64;
/// Maximum size in bytes of all reports that wait for delivery, so that a state fits in a frame with room to spare.
pub const MAX_UNDELIVERED_BYTES: usize = 4 << 20;

/// The usage report of one window. Its bytes never change once it is settled, so every delivery of it, by whatever
/// holder, is an exact repeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window that the report covers.
    pub window: WindowNumber,
    /// The exact body of the call to the platform.
    pub body: Arc<[u8]>,
}

/// One state in the chain of states of the usage duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyState {
    /// The position in the chain; the first state has position 1.
    pub sequence: DutySequence,
    /// The controller that holds the duty.
    pub holder: NodeId,
    /// The name of the holder, as in `Duty-Holder`.
    pub holder_name: String,
    /// The position of the state with which the holder took over. Positions are never reused, so no other holder has
    /// the same fence, and later holders have higher ones.
    pub fence: Fence,
    /// The highest window whose report is settled; `None` before the first one. Reports of this window and of earlier
    /// ones are never made again.
    pub settled_through: Option<WindowNumber>,
    /// Settled reports that are not known to be delivered, in strictly ascending order of their windows; at most
    /// [`MAX_UNDELIVERED_REPORTS`].
    pub undelivered: Vec<UsageReport>,
}

/// The reason why a report can't be settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidReport {
    /// The window or a later one is settled already.
    WindowSettled,
    /// [`MAX_UNDELIVERED_REPORTS`] reports wait for delivery, or with this one they would exceed
    /// [`MAX_UNDELIVERED_BYTES`].
    TooManyUndelivered,
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidReport::WindowSettled => "the window or a later one is settled already",
            InvalidReport::TooManyUndelivered => "too many reports wait for delivery",
        })
    }
}

impl std::error::Error for InvalidReport {}

impl DutyState {
    /// The first state of the chain.
    pub fn first(holder: NodeId, holder_name: &str) -> DutyState {
        let sequence = DutySequence::NONE.next();
        DutyState {
            sequence,
            holder,
            holder_name: holder_name.to_owned(),
            fence: Fence(sequence.0),
            settled_through: None,
            undelivered: Vec::new(),
        }
    }

    /// The next state, in which `holder` holds the duty under a new fence. The holder may be the present one, which
    /// thereby gets a new fence.
    #[must_use]
    pub fn take_over(&self, holder: NodeId, holder_name: &str) -> DutyState {
        let sequence = self.sequence.next();
        DutyState {
            sequence,
            holder,
            holder_name: holder_name.to_owned(),
            fence: Fence(sequence.0),
            ..self.clone()
        }
    }

    /// The next state, in which the report is settled and waits for delivery.
    ///
    /// # Errors
    /// [`InvalidReport`] if the window is not above [`DutyState::settled_through`], or too many reports wait.
    pub fn settle(&self, report: UsageReport) -> Result<DutyState, InvalidReport> {
        if self.settled_through >= Some(report.window) {
            return Err(InvalidReport::WindowSettled);
        }
        let waiting = self.undelivered.iter();
        let waiting_bytes: usize = waiting.map(|report| report.body.len()).sum();
        if self.undelivered.len() >= MAX_UNDELIVERED_REPORTS
            || waiting_bytes + report.body.len() > MAX_UNDELIVERED_BYTES
        {
            return Err(InvalidReport::TooManyUndelivered);
        }
        let mut next = self.clone();
        next.sequence = self.sequence.next();
        next.settled_through = Some(report.window);
        next.undelivered.push(report);
        Ok(next)
    }

    /// The next state, in which the report of the window no longer waits for delivery.
    #[must_use]
    pub fn delivered(&self, window: WindowNumber) -> DutyState {
        let mut next = self.clone();
        next.sequence = self.sequence.next();
        next.also_delivered(window)
    }

    /// This state, changed so that the report of the window no longer waits for delivery. Combines a delivery with the
    /// change that made this state; not for a state that was proposed already.
    #[must_use]
    pub fn also_delivered(mut self, window: WindowNumber) -> DutyState {
        self.undelivered.retain(|report| report.window != window);
        self
    }

    /// Encodes the state as the value of a slot (postcard). The encoding is also stored on disk.
    pub fn to_value(&self) -> Arc<[u8]> {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    /// Decodes the value of a slot. Returns `None` if the bytes are malformed or have trailing data, or if the state is
    /// not one that the methods of this type make.
    pub fn from_value(value: &[u8]) -> Option<DutyState> {
        let (state, rest): (DutyState, &[u8]) = postcard::take_from_bytes(value).ok()?;
        (rest.is_empty() && state.is_valid()).then_some(state)
    }

    fn is_valid(&self) -> bool {
        let reports = &self.undelivered;
        let ascending = reports
            .windows(2)
            .all(|pair| pair[0].window < pair[1].window);
        let all_settled = reports
            .iter()
            .all(|report| Some(report.window) <= self.settled_through);
        let has_fence = !self.fence.is_none() && self.fence.0 <= self.sequence.0;
        has_fence && ascending && all_settled && reports.len() <= MAX_UNDELIVERED_REPORTS
    }
}
