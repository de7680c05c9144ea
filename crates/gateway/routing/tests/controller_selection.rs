//! Selection of a gateway's primary controller: failover, failback and redistribution.

use rushcourse_messages::NodeId;
use rushcourse_routing::{ControllerSelection, FAILBACK_DELAY, FAILBACK_JITTER, PrimaryChange};
use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

const START: Timestamp = Timestamp::from_millis(1_000);
const ONE_MILLISECOND: Duration = Duration::from_millis(1);

fn change(selected: u32, released: Option<u32>) -> Option<PrimaryChange> {
    Some(PrimaryChange {
        selected: NodeId(selected),
        released: released.map(NodeId),
    })
}

/// A gateway whose primary, controller 1, is in another zone, and whose preferred controller 2 has just connected.
fn with_primary_in_another_zone() -> ControllerSelection {
    let mut controllers = ControllerSelection::new(NodeId(9), "z1");
    controllers.controller_connected(NodeId(1), "z2");
    controllers.set_synchronized(START, NodeId(1), true);
    assert_eq!(controllers.select(START), change(1, None));
    controllers.controller_connected(NodeId(2), "z1");
    controllers.set_synchronized(START, NodeId(2), true);
    controllers
}

#[test]
fn synchronized_primary_is_kept_until_it_fails() {
    let mut controllers = with_primary_in_another_zone();
    assert_eq!(
        controllers.select(START + (FAILBACK_DELAY - ONE_MILLISECOND)),
        None,
        "no failback before the failback delay has passed"
    );
    controllers.set_synchronized(START, NodeId(1), false);
    assert_eq!(controllers.select(START), change(2, Some(1)));
    controllers.set_synchronized(START, NodeId(2), false);
    assert_eq!(
        (controllers.select(START), controllers.primary()),
        (None, Some(NodeId(2))),
        "the primary is kept while no controller is synchronized"
    );
    controllers.controller_disconnected(NodeId(2));
    assert_eq!(controllers.primary(), None);
}

#[test]
fn gateway_fails_back_to_its_preferred_controller() {
    let mut controllers = with_primary_in_another_zone();
    let failback_at = START + FAILBACK_DELAY + FAILBACK_JITTER;
    assert_eq!(controllers.select(failback_at), change(2, Some(1)));
    assert_eq!(controllers.select(failback_at), None, "no further change");
}

#[test]
fn loss_of_quorum_restarts_the_failback_delay() {
    let mut controllers = with_primary_in_another_zone();
    let resynchronized_at = START + FAILBACK_DELAY;
    controllers.set_synchronized(resynchronized_at, NodeId(2), false);
    controllers.set_synchronized(resynchronized_at, NodeId(2), true);
    assert_eq!(
        controllers.select(START + FAILBACK_DELAY + FAILBACK_JITTER),
        None
    );
    let failback_at = resynchronized_at + FAILBACK_DELAY + FAILBACK_JITTER;
    assert_eq!(controllers.select(failback_at), change(2, Some(1)));
}

/// After a loss of quorum, all gateways select the first controller that regains it. They must then move to their
/// preferred controllers gradually.
#[test]
fn gateways_redistribute_after_a_loss_of_quorum() {
    const GATEWAYS: u32 = 400;
    const CONTROLLERS: u32 = 5;
    let mut gateways: Vec<ControllerSelection> = (0..GATEWAYS)
        .map(|number| ControllerSelection::new(NodeId(100 + number), "z9"))
        .collect();
    for gateway in &mut gateways {
        for controller in 1..=CONTROLLERS {
            gateway.controller_connected(NodeId(controller), "z1");
        }
        gateway.set_synchronized(START, NodeId(3), true);
        assert_eq!(gateway.select(START), change(3, None));
        for controller in 1..=CONTROLLERS {
            gateway.set_synchronized(START, NodeId(controller), true);
        }
    }
    let mut max_changes_per_step = 0;
    let step = Duration::from_millis(100);
    let mut now = START;
    while now < START + FAILBACK_DELAY + FAILBACK_JITTER {
        now += step;
        let changes = gateways
            .iter_mut()
            .filter_map(|gateway| gateway.select(now));
        max_changes_per_step = max_changes_per_step.max(changes.count());
    }
    let mut gateway_counts: BTreeMap<NodeId, u32> = BTreeMap::new();
    for gateway in &gateways {
        *gateway_counts
            .entry(gateway.primary().expect("a primary"))
            .or_default() += 1;
    }
    let even_share = GATEWAYS / CONTROLLERS;
    assert_eq!(
        gateway_counts.len(),
        CONTROLLERS as usize,
        "{gateway_counts:?}"
    );
    assert!(
        gateway_counts.values().all(|count| *count < even_share * 2),
        "{gateway_counts:?}"
    );
    assert!(
        max_changes_per_step < 30,
        "{max_changes_per_step} changes within 100 ms"
    );
}
