//! Times that all parts of the world share, in ms.

use rushcourse_policy::interface::Ms;

/// Time of day at which a script begins, since 1970.
pub(super) const START: Ms = 1_700_000_000_000.0;
/// How long a message takes to its proxy, and an acknowledgement back.
pub(super) const TRANSIT: Ms = 100.0;
/// After this time streams are opened anew at a director that came back, and the relay says who is joined.
pub(super) const REOPEN_DELAY: Ms = 50.0;
