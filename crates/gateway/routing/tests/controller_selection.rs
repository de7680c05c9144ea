//! Which controller is a gateway's primary one.

use rushcourse_messages::NodeId;
use rushcourse_routing::{ControllerSelection, FAILBACK_DELAY, FAILBACK_JITTER, PrimaryChange};
use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

const START: Timestamp = Timestamp::from_millis(1_000);
const JUST_BEFORE: Duration = Duration::from_millis(1);

fn change(selected: u32, released: Option<u32>) -> Option<PrimaryChange> {
    Some(PrimaryChange {
        selected: NodeId(selected),
        released: released.map(NodeId),
    })
}

/// A gateway whose first controller stands in another zone, and whose second one in its own.
fn at_home_in_another_zone() -> ControllerSelection {
    let mut controllers = ControllerSelection::new(NodeId(9), "z1");
    controllers.controller_connected(NodeId(1), "z2");
    controllers.set_synchronized(START, NodeId(1), true);
    assert_eq!(controllers.select(START), change(1, None));
    controllers.controller_connected(NodeId(2), "z1");
    controllers.set_synchronized(START, NodeId(2), true);
    controllers
}

#[test]
fn the_primary_controller_stays_until_it_must_change() {
    let mut controllers = at_home_in_another_zone();
    assert_eq!(
        controllers.select(START + (FAILBACK_DELAY - JUST_BEFORE)),
        None,
        "one of the own zone comes: no change while the first one is good and that one is new"
    );
    controllers.set_synchronized(START, NodeId(1), false);
    assert_eq!(controllers.select(START), change(2, Some(1)));
    controllers.set_synchronized(START, NodeId(2), false);
    assert_eq!(
        (controllers.select(START), controllers.primary()),
        (None, Some(NodeId(2))),
        "nobody better: it stays"
    );
    controllers.controller_disconnected(NodeId(2));
    assert_eq!(controllers.primary(), None);
}

#[test]
fn a_gateway_returns_to_the_controller_that_it_prefers() {
    let mut controllers = at_home_in_another_zone();
    let returned = START + FAILBACK_DELAY + FAILBACK_JITTER;
    assert_eq!(controllers.select(returned), change(2, Some(1)));
    assert_eq!(controllers.select(returned), None, "and stays there");
}

#[test]
fn a_preferred_controller_that_loses_its_majority_counts_as_new() {
    let mut controllers = at_home_in_another_zone();
    let again = START + FAILBACK_DELAY;
    controllers.set_synchronized(again, NodeId(2), false);
    controllers.set_synchronized(again, NodeId(2), true);
    assert_eq!(
        controllers.select(START + FAILBACK_DELAY + FAILBACK_JITTER),
        None
    );
    let returned = again + FAILBACK_DELAY + FAILBACK_JITTER;
    assert_eq!(controllers.select(returned), change(2, Some(1)));
}

/// No controller has a majority for a moment, and the first one that has it again gets all gateways. Soon after they are
/// spread again, a few at a time.
#[test]
fn gateways_that_gathered_at_one_controller_spread_again() {
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
    let mut most_at_once = 0;
    let step = Duration::from_millis(100);
    let mut now = START;
    while now < START + FAILBACK_DELAY + FAILBACK_JITTER {
        now += step;
        let changes = gateways
            .iter_mut()
            .filter_map(|gateway| gateway.select(now));
        most_at_once = most_at_once.max(changes.count());
    }
    let mut at: BTreeMap<NodeId, u32> = BTreeMap::new();
    for gateway in &gateways {
        *at.entry(gateway.primary().expect("one")).or_default() += 1;
    }
    let fair = GATEWAYS / CONTROLLERS;
    assert_eq!(at.len(), CONTROLLERS as usize, "{at:?}");
    assert!(at.values().all(|count| *count < fair * 2), "{at:?}");
    assert!(most_at_once < 30, "{most_at_once} in a tenth of a second");
}
