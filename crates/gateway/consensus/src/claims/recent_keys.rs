//! The order in which recent claims arrived.

use rushcourse_types::KeyDigest;
use std::collections::VecDeque;

/// Number of claims whose order of arrival is kept, for snapshots that continue an earlier one or start at a recovery
/// point. A snapshot that starts further back contains all claims.
const MAX_RECENT_CLAIMS: usize = 32_768;

/// Keys of the most recent claims, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentKeys {
    keys: VecDeque<KeyDigest>,
    /// Position of the first key in the sequence of all claims since this replica's start.
    first_position: u64,
}

impl RecentKeys {
    /// Appends the key of a claim that arrived.
    pub(super) fn push(&mut self, key: KeyDigest) {
        self.keys.push_back(key);
        if self.keys.len() > MAX_RECENT_CLAIMS {
            self.keys.pop_front();
            self.first_position += 1;
        }
    }

    /// Position after the last key.
    pub(super) fn end(&self) -> u64 {
        self.first_position + self.keys.len() as u64
    }

    /// The keys from a position on; `None` if that position is no longer kept.
    pub(super) fn since(&self, position: u64) -> Option<impl Iterator<Item = &KeyDigest>> {
        let is_known = (self.first_position..=self.end()).contains(&position);
        is_known.then(|| {
            self.keys
                .iter()
                .skip((position - self.first_position) as usize)
        })
    }
}
