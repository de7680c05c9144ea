//! Positions of claims in their table. New claims are appended and expired ones are removed from the front, so that a
//! commit touches few pages.

use rushcourse_types::KeyDigest;
use std::collections::BTreeMap;

/// Maps the key of each stored claim to its position in the table.
#[derive(Debug, Default)]
pub(crate) struct ClaimPositions {
    by_key: BTreeMap<KeyDigest, ClaimPosition>,
    next_number: u64,
}

/// Where a claim is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimPosition {
    /// Key of the claim's row, and of the row of its alias.
    pub(crate) number: u64,
    /// Whether the claim has a row in the table of aliases.
    pub(crate) has_alias: bool,
}

/// Position of a new claim's row, and of the row that it replaces.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AppendResult {
    pub(crate) number: u64,
    /// Position of the earlier claim with the same key; the caller removes that row.
    pub(crate) replaced: Option<ClaimPosition>,
}

impl ClaimPositions {
    /// Registers a claim read from the table. Must be called in ascending order of positions.
    pub(crate) fn add_stored(&mut self, key: KeyDigest, position: ClaimPosition) {
        self.by_key.insert(key, position);
        self.next_number = position.number + 1;
    }

    /// Assigns the next position to a new claim, replacing an earlier claim with the same key.
    pub(crate) fn append(&mut self, key: KeyDigest, has_alias: bool) -> AppendResult {
        let number = self.next_number;
        self.next_number += 1;
        let position = ClaimPosition { number, has_alias };
        AppendResult {
            number,
            replaced: self.by_key.insert(key, position),
        }
    }

    /// Forgets a claim and returns its position, or `None` if the key is not stored.
    pub(crate) fn remove(&mut self, key: KeyDigest) -> Option<ClaimPosition> {
        self.by_key.remove(&key)
    }
}
