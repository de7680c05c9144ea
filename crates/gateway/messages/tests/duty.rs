//! States of the usage duty: legal successors, and the encoding as the value of a slot.

use rushcourse_messages::{DutyState, InvalidReport, MAX_UNDELIVERED_REPORTS, UsageReport};
use rushcourse_types::{DutySequence, Fence, NodeId, WindowNumber};

fn report(window: u64) -> UsageReport {
    UsageReport {
        window: WindowNumber(window),
        body: b"{}"[..].into(),
    }
}

fn windows(state: &DutyState) -> Vec<u64> {
    let reports = state.undelivered.iter();
    reports.map(|report| report.window.0).collect()
}

/// Guards against a fence that two holders use: it rises with each take-over, also one by the same holder, and with
/// nothing else.
#[test]
fn fence_rises_with_each_take_over_only() {
    let first = DutyState::first(NodeId(1), "a-1");
    assert_eq!((first.sequence, first.fence), (DutySequence(1), Fence(1)));
    let settled = first.settle(report(7)).expect("a new window");
    let delivered = settled.delivered(WindowNumber(7));
    assert_eq!(
        (delivered.sequence, delivered.fence),
        (DutySequence(3), Fence(1))
    );
    let second = delivered.take_over(NodeId(2), "b-1");
    assert_eq!((second.sequence, second.fence), (DutySequence(4), Fence(4)));
    assert_eq!((second.holder, &*second.holder_name), (NodeId(2), "b-1"));
    assert_eq!(second.settled_through, Some(WindowNumber(7)));
    let again = second.take_over(NodeId(2), "b-1");
    assert_eq!((again.sequence, again.fence), (DutySequence(5), Fence(5)));
}

/// Guards against a second report for a window: only windows above all settled ones are settled, delivered or not.
#[test]
fn window_is_settled_at_most_once() {
    let state = DutyState::first(NodeId(1), "a-1");
    let state = state.settle(report(0)).expect("window 0 is a window");
    let state = state.settle(report(7)).expect("a new window");
    for window in [0, 6, 7] {
        let refused = state.settle(report(window));
        assert_eq!(refused, Err(InvalidReport::WindowSettled));
    }
    let state = state.delivered(WindowNumber(7));
    assert_eq!(state.settle(report(7)), Err(InvalidReport::WindowSettled));
    let next = state.settle(report(8)).expect("a new window");
    assert_eq!(windows(&next), [0, 8]);
    let combined = next.also_delivered(WindowNumber(0));
    assert_eq!(
        (windows(&combined), combined.sequence),
        (vec![8], DutySequence(5))
    );
}

/// Guards against a state that grows without bound while the platform is down.
#[test]
fn undelivered_reports_are_bounded() {
    let mut state = DutyState::first(NodeId(1), "a-1");
    for window in 0..MAX_UNDELIVERED_REPORTS as u64 {
        state = state.settle(report(window)).expect("below the limit");
    }
    let refused = state.settle(report(1_000));
    assert_eq!(refused, Err(InvalidReport::TooManyUndelivered));
    let state = state.delivered(WindowNumber(3));
    assert!(state.settle(report(1_000)).is_ok());
}

/// Guards against a change of the encoding, which is stored on disk, and against values that no build made.
#[test]
fn value_encoding_is_stable_and_checked() {
    let state = DutyState::first(NodeId(1), "a-1").take_over(NodeId(2), "b");
    let state = state.settle(report(300)).expect("a new window");
    let bytes = [3, 2, 1, b'b', 2, 1, 0xac, 2, 1, 0xac, 2, 2, b'{', b'}'];
    assert_eq!(*state.to_value(), bytes);
    assert_eq!(DutyState::from_value(&bytes), Some(state.clone()));

    let trailing = [&bytes[..], &[0]].concat();
    assert_eq!(DutyState::from_value(&trailing), None);
    assert_eq!(DutyState::from_value(&bytes[..bytes.len() - 1]), None);
    let mut higher_fence = state.clone();
    higher_fence.fence = Fence(4);
    let mut unsettled = state.clone();
    unsettled.settled_through = Some(WindowNumber(299));
    let mut doubled = state.clone();
    doubled.undelivered.push(report(300));
    for invalid in [higher_fence, unsettled, doubled] {
        assert_eq!(DutyState::from_value(&invalid.to_value()), None);
    }
}
