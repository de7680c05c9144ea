//! Bounds of the replicated state of the usage duty.

use rushcourse_messages::{Ballot, DutyState, Message, Proposal, Slot, UsageReport, encode};
use rushcourse_types::{Epoch, NodeId, WindowNumber};

/// Body of a report of some 20,000 tenants.
const BODY_BYTES: usize = 300_000;
const WINDOWS: u64 = 100;

/// Guards against a duty that stands still for good: a state too large for a frame is accepted by its proposer alone,
/// which has to propose the same state again in each later ballot of the slot.
#[test]
fn duty_state_with_the_most_reports_fits_in_a_frame() {
    let mut state = DutyState::first(NodeId(1), "core-1");
    for window in 1..=WINDOWS {
        let report = UsageReport {
            window: WindowNumber(window),
            body: vec![b'x'; BODY_BYTES].into(),
        };
        state = state.settle(report).unwrap_or(state);
    }
    let accept = Message::Accept {
        epoch: Epoch(1),
        slot: Slot::UsageDuty(state.sequence),
        proposal: Proposal {
            ballot: Ballot::default(),
            value: state.to_value(),
        },
    };
    let encoded = encode(&accept, &mut Vec::new());
    assert!(encoded.is_ok(), "{encoded:?}");
}
