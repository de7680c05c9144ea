//! Epochs, versions and other numbers that only rise.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Before the first one: what a node holds that has none yet.
            pub const NONE: $name = $name(0);

            /// Whether there is none yet.
            pub const fn is_none(self) -> bool {
                self.0 == 0
            }

            /// The number that follows.
            #[must_use]
            pub const fn next(self) -> $name {
                $name(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// The number of a voting set. Votes, promises, claims and reads carry it, and count in that set alone (fencing).
    Epoch,
    /// The version of a configuration, as its operator numbered it.
    ConfigurationVersion,
    /// Rises with each batch that a controller's state file takes and that something rests on; stored with it. A state
    /// file of a lower generation than others have heard of is an older copy.
    Generation,
    /// Rises with each call of a host (`call_sequence` in its heartbeats), so that a late call is known.
    CallSequence,
    /// A session between two nodes, as one of its ends counts it. Never sent.
    SessionId,
    /// A call of an operator that waits for its answer, as the controller counts it. Never sent.
    Ticket,
    /// Binds an answer between nodes to its question; counted by the one who asks.
    RequestToken,
}
