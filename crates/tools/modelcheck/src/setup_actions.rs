//! Actions that bring a world into the initial state of some scenes.

use crate::actions::{
    Action::{self, DeliverAll, Wait},
    break_session, deliver, isolate, pause, put, sync_batch, wipe_disk,
};

/// All controllers have been up for longer than the delay after which a member that lost its disk requests snapshots.
#[rustfmt::skip]
pub(crate) const LONG_UPTIME: [Action; 10] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
];

/// Member 3 is isolated, and standby 4 has installed snapshots: the replacement is proposed on the next `Wait`.
#[rustfmt::skip]
pub(crate) const CHANGE_DUE: [Action; 17] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    isolate(3), Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
];

/// The replacement of member 3 by standby 4 has been proposed; the prepare messages are in flight.
#[rustfmt::skip]
pub(crate) const CHANGE_PROPOSED: [Action; 18] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    isolate(3), Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait,
];

/// Standby 4 has replaced member 3 and votes; the gateways have not received the new voting set.
#[rustfmt::skip]
pub(crate) const CHANGE_ADOPTED: [Action; 21] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    isolate(3), Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    Wait, DeliverAll, Wait, DeliverAll,
];

/// A majority has promised the ballot of submission 5. Members 1 and 2 have voted for it and received each other's
/// votes, members 4 and 5 have lost their sessions with 1, and the messages from 1 to 3 are in flight. Then 1 is
/// paused, and 2 loses its disk and installs the snapshots of the others.
#[rustfmt::skip]
pub(crate) const MEMBER_PAUSED: [Action; 27] = [
    put(5), deliver(1, 2), deliver(1, 3), sync_batch(1), sync_batch(2), sync_batch(3),
    deliver(2, 1), deliver(3, 1), sync_batch(1), deliver(1, 2), sync_batch(2), deliver(2, 1),
    break_session(1, 4), break_session(1, 5), pause(1), wipe_disk(2),
    DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
];
