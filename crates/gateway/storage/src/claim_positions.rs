//! The positions of claims in their table. They are in the order of arrival, so that a sync touches few pages and old
//! claims are removed from the front.

use rushcourse_types::KeyDigest;
use std::collections::BTreeMap;

/// The positions of all claims in the table, by their keys.
#[derive(Debug, Default)]
pub(crate) struct ClaimPositions {
    by_key: BTreeMap<KeyDigest, u64>,
    next: u64,
}

/// Where a new claim is to be written.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AppendedClaim {
    pub(crate) position: u64,
    /// The position of an earlier claim of the same key, which is to be removed.
    pub(crate) replaced: Option<u64>,
}

impl ClaimPositions {
    /// Adds a claim that the table holds, in the table's order.
    pub(crate) fn add_stored(&mut self, key: KeyDigest, position: u64) {
        self.by_key.insert(key, position);
        self.next = position + 1;
    }

    /// Assigns a position to a new claim.
    pub(crate) fn append(&mut self, key: KeyDigest) -> AppendedClaim {
        let position = self.next;
        self.next += 1;
        AppendedClaim {
            position,
            replaced: self.by_key.insert(key, position),
        }
    }

    /// Removes a claim. The position that it had, if there was one.
    pub(crate) fn remove(&mut self, key: KeyDigest) -> Option<u64> {
        self.by_key.remove(&key)
    }
}
