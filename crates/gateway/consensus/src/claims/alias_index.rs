//! Finds the claims that hold an alias.

use rushcourse_types::{KeyAlias, KeyDigest};
use std::collections::BTreeMap;

/// An operation that holds an alias.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AliasHolder {
    key: KeyDigest,
    is_shared: bool,
}

/// The keys of the claimed operations with an alias, by its digest. Several operations may share one.
#[derive(Clone, Debug, Default)]
pub(super) struct AliasIndex {
    holders: BTreeMap<KeyDigest, Vec<AliasHolder>>,
}

impl AliasIndex {
    /// Adds the alias of a claimed operation, if it has one.
    pub(super) fn insert(&mut self, key: KeyDigest, alias: Option<KeyAlias>) {
        let Some(KeyAlias { digest, is_shared }) = alias else {
            return;
        };
        let holder = AliasHolder { key, is_shared };
        self.holders.entry(digest).or_default().push(holder);
    }

    /// Removes the alias of an operation that is no longer claimed.
    pub(super) fn remove(&mut self, key: KeyDigest, alias: Option<KeyAlias>) {
        let Some(KeyAlias { digest, .. }) = alias else {
            return;
        };
        let Some(holders) = self.holders.get_mut(&digest) else {
            return;
        };
        holders.retain(|holder| holder.key != key);
        if holders.is_empty() {
            self.holders.remove(&digest);
        }
    }

    /// Returns the key of an operation other than `key` whose alias conflicts with a digest of that operation.
    pub(super) fn conflicting(&self, key: KeyDigest, digest: KeyAlias) -> Option<KeyDigest> {
        let excludes = |holder: &&AliasHolder| {
            let alias = KeyAlias {
                digest: digest.digest,
                is_shared: holder.is_shared,
            };
            holder.key != key && alias.conflicts_with(digest)
        };
        let holders = self.holders.get(&digest.digest)?;
        holders.iter().find(excludes).map(|holder| holder.key)
    }
}
