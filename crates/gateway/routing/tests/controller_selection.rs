//! Which controller is a gateway's primary one.

use rushcourse_messages::NodeId;
use rushcourse_routing::{ControllerSelection, PrimaryChange};

fn change(selected: u32, released: Option<u32>) -> Option<PrimaryChange> {
    Some(PrimaryChange {
        selected: NodeId(selected),
        released: released.map(NodeId),
    })
}

#[test]
fn the_primary_controller_stays_until_it_must_change() {
    let mut controllers = ControllerSelection::new(NodeId(9), "z1");
    controllers.controller_connected(NodeId(1), "z2");
    controllers.set_synchronized(NodeId(1), true);
    assert_eq!(controllers.select(), change(1, None));
    controllers.controller_connected(NodeId(2), "z1");
    controllers.set_synchronized(NodeId(2), true);
    assert_eq!(
        controllers.select(),
        None,
        "one of the own zone comes: no change while the first one is good"
    );
    controllers.set_synchronized(NodeId(1), false);
    assert_eq!(controllers.select(), change(2, Some(1)));
    controllers.set_synchronized(NodeId(2), false);
    assert_eq!(
        (controllers.select(), controllers.primary()),
        (None, Some(NodeId(2))),
        "nobody better: it stays"
    );
    controllers.controller_disconnected(NodeId(2));
    assert_eq!(controllers.primary(), None);
}
