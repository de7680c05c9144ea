//! Positions of claims in their table. New claims are appended and expired ones are removed from the front, so that a
//! commit touches few pages.

use rushcourse_types::KeyDigest;
use std::collections::BTreeMap;

/// Maps the key of each stored claim to its position in the table.
#[derive(Debug, Default)]
pub(crate) struct ClaimPositions {
    by_key: BTreeMap<KeyDigest, u64>,
    next_position: u64,
}

/// Position of a new claim's row, and of the row that it replaces.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AppendResult {
    pub(crate) position: u64,
    /// Position of the earlier claim with the same key; the caller removes that row.
    pub(crate) replaced_position: Option<u64>,
}

impl ClaimPositions {
    /// Registers a claim read from the table. Must be called in ascending order of positions.
    pub(crate) fn add_stored(&mut self, key: KeyDigest, position: u64) {
        self.by_key.insert(key, position);
        self.next_position = position + 1;
    }

    /// Assigns the next position to a new claim, replacing an earlier claim with the same key.
    pub(crate) fn append(&mut self, key: KeyDigest) -> AppendResult {
        let position = self.next_position;
        self.next_position += 1;
        AppendResult {
            position,
            replaced_position: self.by_key.insert(key, position),
        }
    }

    /// Forgets a claim and returns the position of its row, or `None` if the key is not stored.
    pub(crate) fn remove(&mut self, key: KeyDigest) -> Option<u64> {
        self.by_key.remove(&key)
    }
}
