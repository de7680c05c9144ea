//! The order in which claims arrived, as far back as it is kept.

use rushcourse_types::KeyDigest;
use std::collections::VecDeque;

/// Claims whose order of arrival is kept, for snapshots that go on where the last one ended, or that begin before a member
/// restarted (ours: 16 seconds' worth at 2,000 a second, in half a megabyte).
const MAX_RECENT_CLAIMS: usize = 32_768;

/// The last keys in the order in which their claims arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentKeys {
    keys: VecDeque<KeyDigest>,
    /// The position of the first of them, counted from this replica's start.
    first_position: u64,
}

impl RecentKeys {
    /// A claim of this key arrived.
    pub(super) fn push(&mut self, key: KeyDigest) {
        self.keys.push_back(key);
        if self.keys.len() > MAX_RECENT_CLAIMS {
            self.keys.pop_front();
            self.first_position += 1;
        }
    }

    /// The position behind the last key.
    pub(super) fn end(&self) -> u64 {
        self.first_position + self.keys.len() as u64
    }

    /// The keys from a position on; `None` if that is no longer known.
    pub(super) fn since(&self, position: u64) -> Option<impl Iterator<Item = &KeyDigest>> {
        let is_known = (self.first_position..=self.end()).contains(&position);
        is_known.then(|| {
            self.keys
                .iter()
                .skip((position - self.first_position) as usize)
        })
    }
}
