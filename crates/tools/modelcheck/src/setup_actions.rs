//! What happens in some scenes before the exploring begins.

use crate::actions::{
    Action::{self, DeliverAll, Wait},
    break_session, deliver, isolate, pause, put, sync_batch, wipe_disk,
};

/// All controllers have been up for longer than one that lost its disk stays silent.
#[rustfmt::skip]
pub(crate) const LONG_UPTIME: [Action; 10] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
];

/// Member 3 is cut off, and standby 4 has its snapshots: at the next wait the change is proposed.
#[rustfmt::skip]
pub(crate) const CHANGE_DUE: [Action; 17] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    isolate(3), Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
];

/// The change has just been proposed: what asks for promises is on the way.
#[rustfmt::skip]
pub(crate) const CHANGE_PROPOSED: [Action; 18] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    isolate(3), Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait,
];

/// The change is made, and the new member votes; gateways do not know of it yet.
#[rustfmt::skip]
pub(crate) const CHANGE_ADOPTED: [Action; 21] = [
    Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    isolate(3), Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    Wait, DeliverAll, Wait, DeliverAll,
];

/// Text 5 has its promises; members 1 and 2 voted for it and know so of each other, 4 and 5 were cut off from it, and
/// what 1 sent to 3 is on the way. Then 1 stands still, and 2 loses its disk and installs the others' snapshots.
#[rustfmt::skip]
pub(crate) const MEMBER_PAUSED: [Action; 27] = [
    put(5), deliver(1, 2), deliver(1, 3), sync_batch(1), sync_batch(2), sync_batch(3),
    deliver(2, 1), deliver(3, 1), sync_batch(1), deliver(1, 2), sync_batch(2), deliver(2, 1),
    break_session(1, 4), break_session(1, 5), pause(1), wipe_disk(2),
    DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
];
