//! Where claims stand in their table. They stand in the order in which they came, so that a sync touches few pages and
//! old ones leave from the front.

use rushcourse_types::KeyDigest;
use std::collections::BTreeMap;

/// The places of claims by their keys.
#[derive(Debug, Default)]
pub(crate) struct ClaimPlaces {
    places: BTreeMap<KeyDigest, u64>,
    next: u64,
}

impl ClaimPlaces {
    /// A claim that the table holds, read in the table's order.
    pub(crate) fn found(&mut self, key: KeyDigest, place: u64) {
        self.places.insert(key, place);
        self.next = place + 1;
    }

    /// The place of a new claim, and that of an earlier claim of its key, which is to be removed.
    pub(crate) fn add(&mut self, key: KeyDigest) -> (u64, Option<u64>) {
        let place = self.next;
        self.next += 1;
        (place, self.places.insert(key, place))
    }

    /// The place of a claim that is to be removed.
    pub(crate) fn remove(&mut self, key: KeyDigest) -> Option<u64> {
        self.places.remove(&key)
    }
}
