//! Times that all parts of the world share.

use crate::script::At;

/// Time of day at which a script begins, in ms since 1970.
pub(super) const START: f64 = 1_700_000_000_000.0;
/// ms that a message takes to its proxy, and that an answer takes back.
pub(super) const TRANSIT: At = 100.0;
/// ms after which streams are opened anew at a director that came back, and the relay tells who stands.
pub(super) const REOPEN_DELAY: At = 50.0;
