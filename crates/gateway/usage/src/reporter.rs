//! The state machine of the reporting duty in one controller. It proposes changes of the agreed [`DutyState`], and sends
//! reports while it is the holder.
//!
//! Each report is settled first: its bytes become part of the agreed state, and only one report is ever settled for a
//! window. A successor therefore finds every report that may have been sent, and sends it again unchanged under its own
//! fence, unless its delivery was agreed on too.

use crate::delivery::{Delivery, DeliveryOutcome};
use crate::ledger::UsageLedger;
use crate::report::build_report;
use crate::tenure::{ConnectedController, Tenure};
use crate::windows::ReportWindows;
use rushcourse_messages::{DutyState, UsageCounts, UsageReport};
use rushcourse_types::{DutySequence, Fence, NodeId, Timestamp, WallTime, WindowNumber};
use std::time::Duration;

/// Time after which a proposal that was not agreed on is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Part of the permitted lateness after which counts that only this controller may have are passed on to the others.
const RELAY_SHARE: f64 = 0.08;
/// Part of the permitted lateness after which a report is settled if the counts of all gateways are there.
const COMPLETE_SETTLE_SHARE: f64 = 0.2;
/// Part of the permitted lateness after which a report is settled without the counts of gateways that are unreachable.
const INCOMPLETE_SETTLE_SHARE: f64 = 0.7;
/// Quorum contact needed before a report is settled, so that gateways can send their counts to a restarted controller.
const SETTLE_CONTACT: Duration = Duration::from_millis(1_500);
/// Time after the decision to send a report within which it must leave. A process that stalls for longer, and may have
/// been replaced meanwhile, sends nothing.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Parameters of a [`UsageReporter`].
#[derive(Clone, Debug)]
pub struct ReporterSetup {
    /// Node id of this controller.
    pub node: NodeId,
    /// Name of this controller, under which it calls the platform.
    pub name: String,
    /// Length of a report window.
    pub window: Duration,
    /// Time after the end of a window by which its report is due.
    pub lateness: Duration,
    /// Time for which a lost holder is waited for.
    pub lease_duration: Duration,
}

/// What the controller knows of the others at the time of a step.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// Whether this controller has quorum contact.
    pub has_quorum_contact: bool,
    /// Other controllers with open sessions.
    pub connected: &'a [ConnectedController],
    /// Whether this process is shutting down.
    pub is_shutting_down: bool,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PostCall {
    /// Name of the holder.
    pub holder: String,
    /// The holder's fence.
    pub fence: Fence,
    /// The report to send.
    pub report: UsageReport,
    /// Nothing may be sent at or after this time.
    pub send_before: Timestamp,
}

/// An action for the caller of [`UsageReporter::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose this successor of the agreed state.
    Propose(DutyState),
    /// Send a report, and pass the result to [`UsageReporter::finish_delivery`].
    Post(PostCall),
    /// Pass counts on to all other controllers.
    Relay(UsageCounts),
}

#[derive(Clone, Copy, Debug)]
struct PendingProposal {
    sequence: DutySequence,
    proposed_at: Timestamp,
}

/// The reporting duty as seen by one controller.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    setup: ReporterSetup,
    windows: ReportWindows,
    ledger: UsageLedger,
    tenure: Tenure,
    delivery: Delivery,
    duty: Option<DutyState>,
    proposal: Option<PendingProposal>,
    /// The last window whose unfinished counts were passed on.
    relayed_through: Option<WindowNumber>,
}

impl UsageReporter {
    /// Creates a reporter that knows neither counts nor an agreed state.
    pub fn new(setup: ReporterSetup) -> UsageReporter {
        UsageReporter {
            windows: ReportWindows::new(setup.window),
            ledger: UsageLedger::default(),
            tenure: Tenure::new(setup.node, setup.lease_duration),
            delivery: Delivery::default(),
            duty: None,
            proposal: None,
            relayed_through: None,
            setup,
        }
    }

    /// Records counts of a gateway, whether from the gateway itself or passed on by another controller.
    pub fn record_counts(&mut self, wall_time: WallTime, counts: UsageCounts) {
        self.ledger.record(self.windows.at(wall_time), counts);
    }

    /// Records a newly agreed state. Older ones than the newest known are ignored.
    pub fn duty_committed(&mut self, duty: DutyState) {
        let is_newer = self
            .duty
            .as_ref()
            .is_none_or(|known| known.sequence < duty.sequence);
        if is_newer {
            if let Some(settled) = duty.settled_through {
                self.ledger.forget_before(settled);
            }
            self.duty = Some(duty);
        }
    }

    /// Records the outcome of a call to the platform.
    pub fn finish_delivery(
        &mut self,
        now: Timestamp,
        fence: Fence,
        window: WindowNumber,
        outcome: DeliveryOutcome,
    ) {
        self.delivery.finish(now, fence, window, outcome);
    }

    /// Whether this controller holds the duty by the newest state that it knows.
    pub fn is_holder(&self) -> bool {
        let duty = self.duty.as_ref();
        duty.is_some_and(|duty| duty.holder == self.setup.node)
    }

    /// Performs the work that is due. Must be called periodically.
    pub fn step(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        surroundings: Surroundings<'_>,
    ) -> Vec<Effect> {
        if !surroundings.has_quorum_contact {
            self.tenure.contact_lost();
            return Vec::new();
        }
        let mut effects = self.relay_unfinished(wall_time);
        let successor = self.next_state(now, wall_time, surroundings);
        effects.extend(successor.and_then(|state| self.propose(now, state)));
        if !surroundings.is_shutting_down {
            effects.extend(self.post(now));
        }
        effects
    }

    /// Passes on the counts of a window whose gateways were lost before they sent the final ones to all controllers.
    fn relay_unfinished(&mut self, wall_time: WallTime) -> Vec<Effect> {
        let delay = self.setup.lateness.mul_f64(RELAY_SHARE);
        let ended = self.ended_windows(wall_time, delay, self.relayed_through);
        let Some(newest) = ended.last() else {
            return Vec::new();
        };
        self.relayed_through = Some(*newest);
        let unfinished = ended
            .iter()
            .flat_map(|window| self.ledger.unfinished(*window));
        unfinished.map(Effect::Relay).collect()
    }

    /// Windows after `after` with counts that ended at least `delay` ago.
    fn ended_windows(
        &self,
        wall_time: WallTime,
        delay: Duration,
        after: Option<WindowNumber>,
    ) -> Vec<WindowNumber> {
        let ended_by = wall_time.saturating_sub(delay);
        let windows = self.ledger.windows_after(after);
        windows
            .filter(|window| self.windows.end_of(*window) <= ended_by)
            .collect()
    }

    /// The state to propose next, `None` if the agreed one needs no change by this controller.
    fn next_state(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        surroundings: Surroundings<'_>,
    ) -> Option<DutyState> {
        let connected = surroundings.connected;
        let takes_over = self
            .tenure
            .should_take_over(now, self.duty.as_ref(), connected);
        let Some(duty) = &self.duty else {
            let may_hold = takes_over && !surroundings.is_shutting_down;
            return may_hold.then(|| DutyState::first(self.setup.node, &self.setup.name));
        };
        if duty.holder != self.setup.node {
            let may_hold = takes_over && !surroundings.is_shutting_down;
            return may_hold.then(|| duty.take_over(self.setup.node, &self.setup.name));
        }
        if surroundings.is_shutting_down {
            let successor = connected.iter().find(|other| !other.is_shutting_down)?;
            return Some(duty.take_over(successor.node, &successor.name));
        }
        if self.delivery.is_refused(duty.fence) {
            return Some(duty.take_over(self.setup.node, &self.setup.name));
        }
        let settled = self.settlement(now, wall_time, duty);
        match (settled, self.delivery.first_delivered(duty)) {
            (Some(state), Some(window)) => Some(state.also_delivered(window)),
            (Some(state), None) => Some(state),
            (None, delivered) => delivered.map(|window| duty.delivered(window)),
        }
    }

    /// The state with the report of the oldest window that is due, if there is one.
    fn settlement(
        &self,
        now: Timestamp,
        wall_time: WallTime,
        duty: &DutyState,
    ) -> Option<DutyState> {
        if !self.tenure.has_contact_for(now, SETTLE_CONTACT) {
            return None;
        }
        let delay = self.setup.lateness.mul_f64(COMPLETE_SETTLE_SHARE);
        let ended = self.ended_windows(wall_time, delay, duty.settled_through);
        let window = ended
            .into_iter()
            .find(|window| self.ledger.has_requests(*window))?;
        let is_due = self.ledger.is_complete(window) || self.is_overdue(wall_time, window);
        if !is_due {
            return None;
        }
        let totals = self.ledger.totals(window);
        duty.settle(build_report(window, &totals)).ok()
    }

    /// Whether a report no longer waits for the counts of unreachable gateways.
    fn is_overdue(&self, wall_time: WallTime, window: WindowNumber) -> bool {
        let delay = self.setup.lateness.mul_f64(INCOMPLETE_SETTLE_SHARE);
        self.windows.end_of(window) <= wall_time.saturating_sub(delay)
    }

    /// Proposes a state unless the same proposal was made a short time ago.
    fn propose(&mut self, now: Timestamp, state: DutyState) -> Option<Effect> {
        let is_pending = self.proposal.is_some_and(|pending| {
            pending.sequence == state.sequence && now < pending.proposed_at + PROPOSAL_TIMEOUT
        });
        if is_pending {
            return None;
        }
        self.proposal = Some(PendingProposal {
            sequence: state.sequence,
            proposed_at: now,
        });
        Some(Effect::Propose(state))
    }

    /// Sends the next report that is due, if this controller is the holder.
    fn post(&mut self, now: Timestamp) -> Option<Effect> {
        let duty = self.duty.as_ref()?;
        if duty.holder != self.setup.node {
            return None;
        }
        let report = self.delivery.start_next(now, duty)?;
        Some(Effect::Post(PostCall {
            holder: duty.holder_name.clone(),
            fence: duty.fence,
            report,
            send_before: now + SEND_TIMEOUT,
        }))
    }
}
