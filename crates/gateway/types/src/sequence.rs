//! Epochs, versions and other monotonically increasing numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! sequence_numbers {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Zero, the initial value before the first number (1) is assigned.
            pub const NONE: $name = $name(0);

            /// True for [`Self::NONE`], when no number has been assigned.
            pub const fn is_none(self) -> bool {
                self.0 == 0
            }

            /// The successor, saturating at `u64::MAX`.
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

sequence_numbers! {
    /// The number of a voting set. Votes, promises, claims and reads carry it and are valid only within that voting
    /// set, which fences off nodes that still use an older one.
    Epoch,
    /// The version of a configuration, assigned by the operator who submits it.
    ConfigurationVersion,
    /// Generation of a controller's state file. It is stored in the file and increases with every durable write that
    /// the controller relies on. A file with a lower generation than peers have seen is an outdated copy.
    Generation,
    /// Sequence number of a host's requests (`call_sequence` in heartbeats). Controllers use it to discard requests
    /// that arrive out of order.
    CallSequence,
    /// Identifies a session with another node within this process. Never sent over the wire.
    SessionId,
    /// Identifies an operator request that is waiting for its response within the controller. Never sent over the wire.
    Ticket,
    /// Matches a response from another node to its request. Assigned by the requesting node.
    RequestToken,
    /// Number of a part of a stored response that a gateway sends to one controller. The controller names it once the
    /// part is on its disk.
    ReplicaSequence,
    /// Position of a state in the chain of states of the usage duty. At most one state is chosen for each position.
    DutySequence,
    /// Fencing token of a holder of the usage duty (`Fence-Number`). Rises with each take-over, and no two holders ever
    /// have the same one.
    Fence,
}

/// The number of a reporting window: window k starts k times `report_window_s` after the Unix epoch, and zero is a window
/// like any other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The following window, saturating at `u64::MAX`.
    #[must_use]
    pub const fn next(self) -> WindowNumber {
        WindowNumber(self.0.saturating_add(1))
    }
}

impl fmt::Display for WindowNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
