//! Times shared by all parts of the simulation, in ms.

use rushcourse_policy::interface::Ms;

/// Time of day at which each script begins, in ms since 1970.
pub(super) const START_TIME: Ms = 1_700_000_000_000.0;
/// Transit time of a message to a proxy, and of an acknowledgement back, in ms.
pub(super) const TRANSIT_TIME: Ms = 100.0;
/// Time from a restart of the director until proxies reopen their streams and the relay announces its proxies, in ms.
pub(super) const RECONNECT_DELAY: Ms = 50.0;
